#ifndef RUNNER_SCRIPT_H
#define RUNNER_SCRIPT_H

/*
 * Interpreter of test scripts: one command with its arguments on each line,
 * "#" starts a comment line. Each script_*.c file registers a table of commands
 * before main() runs.
 */

#include "runner/world.h"

struct script {
	const char *path;
	char *dir;
	uint32_t line;
	struct world *world;
	GPtrArray *errors;
	gchar **words; /* of the current line; the first is the command */
	uint32_t word_count;
};

struct script_command {
	const char *name;	/* unique among all tables */
	uint32_t min_arg_count; /* words after the name */
	void (*run)(struct script *script);
};

struct script_table {
	const struct script_command *commands;
	uint32_t command_count;
	struct script_table *next;
};

void script_register(struct script_table *table);

#define SCRIPT_REGISTER(commands_)                                             \
	static void __attribute__((constructor)) commands_##_register(void)    \
	{                                                                      \
		static struct script_table table = {                           \
			.commands = (commands_),                               \
			.command_count = G_N_ELEMENTS(commands_),              \
		};                                                             \
                                                                               \
		script_register(&table);                                       \
	}

/* Adds an error with the path and line of the script. */
void script_fail(struct script *script, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/* A word of the current line; empty if the line has fewer words. */
const char *script_word(const struct script *script, uint32_t index);

/* Value of "key=value" among the words, or NULL. */
const char *script_option(const struct script *script, const char *key);

uint64_t script_number(const struct script *script, const char *key,
		       uint64_t default_value);

/* Parses "250us", "20ms", "3s" or "2m"; 0 after an error. */
int64_t script_duration_us(struct script *script, const char *text);

int64_t script_option_us(struct script *script, const char *key,
			 int64_t default_us);

/* Copies the value of an option, if there is one. */
void script_copy_option(struct script *script, const char *key, char *to,
			size_t size_bytes);

/* The node that a word names; NULL after an error. */
struct node *script_node(struct script *script, uint32_t index);

/* The node that word 1 names; NULL after an error, also if it was killed. */
struct node *script_running_node(struct script *script);

/* Runs one line, which is modified; for commands that run other commands. */
void script_run_line(struct script *script, char *line);

/* Runs a script and returns its world, or NULL if it can't be read. */
struct world *script_run(const char *path, GPtrArray *errors);

#endif
