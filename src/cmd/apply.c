/* The apply command: changes the configuration of the fleet. */

#include <stdio.h>
#include <string.h>

#include "cmd/client.h"
#include "cmd/diff.h"
#include "kernel/plugin.h"

/* An entry instance responds within 10 s per file. */
#define WAIT_PER_FILE_US (10 * USEC_PER_SEC)
#define WAIT_EXTRA_US (5 * USEC_PER_SEC)

struct apply_arguments {
	struct client_options client;
	GPtrArray *paths;	 /* of char * */
	GPtrArray *removed;	 /* of char *: names of files */
	const char *base_offset; /* that the current file must have, or NULL */
	int dry_run;
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct apply_arguments *arguments = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &arguments->client;
		return 0;
	case 'n':
		arguments->dry_run = 1;
		return 0;
	case 'r':
		g_ptr_array_add(arguments->removed, arg);
		return 0;
	case 'b':
		arguments->base_offset = arg;
		return 0;
	case ARGP_KEY_ARG:
		g_ptr_array_add(arguments->paths, arg);
		return 0;
	case ARGP_KEY_END:
		if (!arguments->paths->len && !arguments->removed->len)
			argp_error(state, "no file is given");
		if (arguments->base_offset &&
		    arguments->paths->len + arguments->removed->len != 1)
			argp_error(state, "--base goes with one file only");
		if (arguments->base_offset &&
		    !g_ascii_string_to_unsigned(arguments->base_offset, 10, 0,
						INT64_MAX, NULL, NULL))
			argp_error(state, "--base: expected an offset");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void add_base_offset(json_t *file, const char *base_offset)
{
	if (base_offset)
		json_object_set_new(file, "base_offset",
				    json_integer((json_int_t)g_ascii_strtoull(
					    base_offset, NULL, 10)));
}

static bool add_file(json_t *files, const char *path, const char *base_offset)
{
	GError *error = NULL;
	gchar *text;
	gsize size_bytes;
	gchar *name;
	json_t *file;

	if (!g_file_get_contents(path, &text, &size_bytes, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return false;
	}
	name = g_path_get_basename(path);
	file = json_pack("{s:s, s:s%}", "name", name, "text", text, size_bytes);
	if (file) {
		add_base_offset(file, base_offset);
		json_array_append_new(files, file);
	} else {
		fprintf(stderr, "%s: expected UTF-8 text\n", path);
	}
	g_free(name);
	g_free(text);
	return file != NULL;
}

/* NULL if a file can't be read. */
static json_t *make_request(const struct apply_arguments *arguments)
{
	json_t *files = json_array();
	bool read = true;

	for (guint i = 0; i < arguments->paths->len; i++)
		read &= add_file(files, arguments->paths->pdata[i],
				 arguments->base_offset);
	for (guint i = 0; i < arguments->removed->len; i++) {
		json_t *file =
			json_pack("{s:s, s:b}", "name",
				  arguments->removed->pdata[i], "remove", 1);

		add_base_offset(file, arguments->base_offset);
		json_array_append_new(files, file);
	}
	if (read)
		return json_pack("{s:o, s:b}", "files", files, "dry_run",
				 arguments->dry_run);
	json_decref(files);
	return NULL;
}

/* New text of a file in the request; "" if the file is to be removed. */
static const char *requested_text(const json_t *request, const char *name)
{
	const json_t *files = json_object_get(request, "files");

	for (size_t i = 0; i < json_array_size(files); i++) {
		const json_t *file = json_array_get(files, i);

		if (!strcmp(client_text(file, "name"), name))
			return client_text(file, "text");
	}
	return "";
}

static void print_dry_run(const json_t *request, const json_t *response)
{
	const json_t *files = json_object_get(response, "files");

	for (size_t i = 0; i < json_array_size(files); i++) {
		const json_t *file = json_array_get(files, i);
		const char *name = client_text(file, "name");
		GString *diff = diff_text(client_text(file, "current"),
					  requested_text(request, name));

		printf("%s: would %s, base offset %" JSON_INTEGER_FORMAT "%s\n",
		       name, client_text(file, "change"),
		       json_integer_value(json_object_get(file, "base_offset")),
		       diff->len ? "" : ", no difference");
		fputs(diff->str, stdout);
		g_string_free(diff, TRUE);
	}
}

static void print_outcome(const json_t *response)
{
	const json_t *files = json_object_get(response, "files");

	for (size_t i = 0; i < json_array_size(files); i++) {
		const json_t *file = json_array_get(files, i);
		const json_t *offset = json_object_get(file, "offset");

		printf("%s: %s", client_text(file, "name"),
		       client_text(file, "outcome"));
		if (offset)
			printf(" at offset %" JSON_INTEGER_FORMAT,
			       json_integer_value(offset));
		if (*client_text(file, "reason"))
			printf(": %s", client_text(file, "reason"));
		putchar('\n');
	}
	if (*client_text(response, "note"))
		printf("%s\n", client_text(response, "note"));
	if (*client_text(response, "ask_again"))
		printf("%s\n", client_text(response, "ask_again"));
}

static enum exit_code report(const struct apply_arguments *arguments,
			     const json_t *request,
			     const struct client_call *call)
{
	const char *outcome = client_text(call->response, "outcome");

	if (!json_object_get(call->response, "files")) {
		enum exit_code code = client_report(call);

		if (code == EXIT_UNKNOWN)
			fprintf(stderr, "the outcome is unknown; \"status\" "
					"lists the offset of each file\n");
		return code;
	}
	if (arguments->dry_run) {
		print_dry_run(request, call->response);
		return EXIT_DONE;
	}
	print_outcome(call->response);
	if (!strcmp(outcome, "accepted"))
		return EXIT_DONE;
	return !strcmp(outcome, "rejected") ? EXIT_REJECTED : EXIT_UNKNOWN;
}

static enum exit_code send_request(const struct apply_arguments *arguments,
				   const json_t *request)
{
	guint file_count = arguments->paths->len + arguments->removed->len;
	char *body = json_dumps(request, JSON_COMPACT);
	struct client_call *call = client_call_first(
		&arguments->client, "POST", "/v1/apply", body,
		file_count * WAIT_PER_FILE_US + WAIT_EXTRA_US);
	enum exit_code code = report(arguments, request, call);

	client_call_free(call);
	free(body);
	return code;
}

static int apply_run(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "dry-run", 'n', NULL, 0,
		  "check the files and print a diff, but change nothing", 0 },
		{ "remove", 'r', "NAME", 0,
		  "remove the current file of this name; may be repeated", 0 },
		{ "base", 'b', "OFFSET", 0,
		  "reject the change unless the current file has this offset; "
		  "0: there must be no such file",
		  0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = options,
		.parser = parse,
		.args_doc = "[FILE...]",
		.doc = "Checks declaration files together, then applies them "
		       "one by one.",
		.children = client_parsers,
	};
	struct apply_arguments arguments = {
		.paths = g_ptr_array_new(),
		.removed = g_ptr_array_new(),
	};
	enum exit_code code = EXIT_REJECTED;
	json_t *request;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	request = make_request(&arguments);
	if (request)
		code = send_request(&arguments, request);
	json_decref(request);
	client_options_clear(&arguments.client);
	g_ptr_array_unref(arguments.paths);
	g_ptr_array_unref(arguments.removed);
	return code;
}

static const struct command_ops apply_ops = {
	.summary = "change the configuration of the fleet",
	.run = apply_run,
};

static const struct plugin apply_plugin = {
	.name = "apply",
	.kind = PLUGIN_COMMAND,
	.ops = &apply_ops,
};

PLUGIN_REGISTER(apply_plugin)
