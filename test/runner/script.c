
#include "runner/script.h"

#include <stdarg.h>
#include <string.h>

#define WORDS_MAX_COUNT 64

static struct script_table *tables;

void script_register(struct script_table *table)
{
	table->next = tables;
	tables = table;
}

void script_fail(struct script *script, const char *format, ...)
{
	va_list args;
	char *text;

	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(
		script->errors,
		g_strdup_printf("%s:%u: %s", script->path, script->line, text));
	g_free(text);
}

const char *script_word(const struct script *script, uint32_t index)
{
	return index < script->word_count ? script->words[index] : "";
}

const char *script_option(const struct script *script, const char *key)
{
	size_t length_bytes = strlen(key);

	for (uint32_t i = 1; i < script->word_count; i++) {
		if (!strncmp(script->words[i], key, length_bytes) &&
		    script->words[i][length_bytes] == '=')
			return script->words[i] + length_bytes + 1;
	}
	return NULL;
}

uint64_t script_number(const struct script *script, const char *key,
		       uint64_t default_value)
{
	const char *text = script_option(script, key);

	return text ? g_ascii_strtoull(text, NULL, 10) : default_value;
}

int64_t script_duration_us(struct script *script, const char *text)
{
	static const struct {
		const char *unit;
		int64_t us;
	} units[] = {
		{ "us", 1 },
		{ "ms", USEC_PER_MSEC },
		{ "s", USEC_PER_SEC },
		{ "m", 60 * USEC_PER_SEC },
	};
	gchar *end = NULL;
	double value = g_ascii_strtod(text, &end);

	for (uint32_t i = 0; i < G_N_ELEMENTS(units); i++) {
		if (!strcmp(end, units[i].unit))
			return (int64_t)(value * (double)units[i].us);
	}
	script_fail(script, "expected a duration such as 20ms, not \"%s\"",
		    text);
	return 0;
}

int64_t script_option_us(struct script *script, const char *key,
			 int64_t default_us)
{
	const char *text = script_option(script, key);

	return text ? script_duration_us(script, text) : default_us;
}

void script_copy_option(struct script *script, const char *key, char *to,
			size_t size_bytes)
{
	const char *text = script_option(script, key);

	if (text && !name_copy(to, size_bytes, text))
		script_fail(script, "%s is too long", key);
}

struct node *script_node(struct script *script, uint32_t index)
{
	struct node *node =
		world_node(script->world, script_word(script, index));

	if (!node)
		script_fail(script, "no node is called \"%s\"",
			    script_word(script, index));
	return node;
}

struct node *script_running_node(struct script *script)
{
	struct node *node = world_node(script->world, script_word(script, 1));

	if (node && node->kernel)
		return node;
	script_fail(script, "no node called \"%s\" is running",
		    script_word(script, 1));
	return NULL;
}

static const struct script_command *find_command(const char *name)
{
	for (const struct script_table *table = tables; table;
	     table = table->next) {
		for (uint32_t i = 0; i < table->command_count; i++) {
			if (!strcmp(table->commands[i].name, name))
				return &table->commands[i];
		}
	}
	return NULL;
}

void script_run_line(struct script *script, char *line)
{
	gchar **outer_words = script->words;
	uint32_t outer_word_count = script->word_count;
	const struct script_command *command;

	g_strstrip(line);
	if (!line[0] || line[0] == '#')
		return;
	script->words = g_strsplit_set(line, " \t", WORDS_MAX_COUNT);
	script->word_count = g_strv_length(script->words);
	command = find_command(script->words[0]);
	if (!command)
		script_fail(script, "no command is called \"%s\"",
			    script->words[0]);
	else if (script->word_count <= command->min_arg_count)
		script_fail(script, "%s needs at least %u arguments",
			    command->name, command->min_arg_count);
	else
		command->run(script);
	g_strfreev(script->words);
	script->words = outer_words;
	script->word_count = outer_word_count;
}

struct world *script_run(const char *path, GPtrArray *errors)
{
	struct script script = { .path = path, .errors = errors };
	gchar *text = NULL;
	gchar **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL)) {
		g_ptr_array_add(errors,
				g_strdup_printf("%s can't be read", path));
		return NULL;
	}
	script.dir = g_path_get_dirname(path);
	script.world = world_new(1);
	lines = g_strsplit(text, "\n", -1);
	for (uint32_t i = 0; lines[i]; i++) {
		script.line = i + 1;
		script_run_line(&script, lines[i]);
	}
	g_strfreev(lines);
	g_free(text);
	g_free(script.dir);
	return script.world;
}
