/* Commands that advance time, repeat commands and select what is printed. */

#include <string.h>

#include "runner/script.h"

/* print EVENT_TYPE ...: prints events of these types from now on. */
static void cmd_print(struct script *script)
{
	for (uint32_t i = 1; i < script->word_count; i++) {
		uint32_t type = 0;

		while (type < EVENT_TYPE_COUNT &&
		       strcmp(event_type_name(type), script->words[i]) != 0)
			type++;
		if (type == EVENT_TYPE_COUNT)
			script_fail(script, "no event type is called \"%s\"",
				    script->words[i]);
		else
			script->world->printed_event_types |= EVENT_BIT(type);
	}
}

/* hide: prints no events from now on. */
static void cmd_hide(struct script *script)
{
	script->world->printed_event_types = 0;
}

/* note TEXT: prints the text. */
static void cmd_note(struct script *script)
{
	char *text = g_strjoinv(" ", script->words + 1);

	world_print(script->world, "%10.3f -- %s",
		    (double)script->world->now_us / USEC_PER_MSEC, text);
	g_free(text);
}

/* at TIME: runs until this time since the start of the script. */
static void cmd_at(struct script *script)
{
	int64_t until_us = script_duration_us(script, script_word(script, 1));

	if (until_us < script->world->now_us)
		script_fail(script, "%s has already passed",
			    script_word(script, 1));
	else
		world_run_until(script->world, until_us);
}

/* wait TIME */
static void cmd_wait(struct script *script)
{
	world_run_until(
		script->world,
		script->world->now_us +
			script_duration_us(script, script_word(script, 1)));
}

/* repeat COUNT INTERVAL COMMAND...: replaces "%" by 1, 2, ... COUNT. */
static void cmd_repeat(struct script *script)
{
	struct world *world = script->world;
	uint64_t count = g_ascii_strtoull(script_word(script, 1), NULL, 10);
	int64_t every_us = script_duration_us(script, script_word(script, 2));
	char *line = g_strjoinv(" ", script->words + 3);
	gchar **parts = g_strsplit(line, "%", -1);

	for (uint64_t i = 0; i < count; i++) {
		char *count_text = g_strdup_printf("%" G_GUINT64_FORMAT, i + 1);
		char *copy = g_strjoinv(count_text, parts);

		script_run_line(script, copy);
		g_free(copy);
		g_free(count_text);
		world_run_until(world, world->now_us + every_us);
	}
	g_strfreev(parts);
	g_free(line);
}

static const struct script_command commands[] = {
	{ "at", 1, cmd_at },	     { "hide", 0, cmd_hide },
	{ "note", 1, cmd_note },     { "print", 1, cmd_print },
	{ "repeat", 3, cmd_repeat }, { "wait", 1, cmd_wait },
};

SCRIPT_REGISTER(commands)
