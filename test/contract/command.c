/* The client commands against a real operator interface. */

#include <argp.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cmd/command.h"
#include "cmd/diff.h"
#include "contract/fake_log.h"

#define ARGUMENTS_MAX_COUNT 16

struct command_test {
	struct contract *contract;
	struct fake_log log;
	char *work_dir; /* of the declaration files */
	char *server;
	char *dead_server; /* refuses connections */
	int dead_fd;
};

static void write_file(const struct command_test *test, const char *name,
		       const char *text)
{
	char *path = g_build_filename(test->work_dir, name, NULL);

	CU_ASSERT_TRUE_FATAL(g_file_set_contents(path, text, -1, NULL));
	g_free(path);
}

static void setup(struct command_test *test)
{
	uint16_t port;

	*test = (struct command_test){ .contract = contract_new() };
	contract_start(test->contract, PLUGIN_DECIDE, "replay");
	contract_start(test->contract, PLUGIN_FRONT, "operator_http");
	fake_log_start(&test->log, test->contract);
	contract_join(test->contract, "e1", 7);
	contract_declare(test->contract, "old.yaml", "members: [{name: old}]");
	test->work_dir = g_dir_make_tmp("contract-XXXXXX", NULL);
	test->server = g_strdup_printf("127.0.0.1:%u",
				       contract_operator_port(test->contract));
	test->dead_fd = contract_bind(&port);
	test->dead_server = g_strdup_printf("127.0.0.1:%u", port);
	write_file(test, "a.yaml", "members: [{name: m}]\n");
	write_file(test, "bad.yaml", "colour: red\n");
	write_file(test, "old.yaml", "members:\n- name: new\n");
	write_file(test, "wrong-token", "another\n");
}

static void teardown(struct command_test *test)
{
	static const char *const names[] = { "a.yaml", "bad.yaml", "old.yaml",
					     "wrong-token" };

	for (gsize i = 0; i < G_N_ELEMENTS(names); i++) {
		char *path = g_build_filename(test->work_dir, names[i], NULL);

		unlink(path);
		g_free(path);
	}
	rmdir(test->work_dir);
	close(test->dead_fd);
	contract_free(test->contract);
	if (test->log.silent)
		record_unref(test->log.silent);
	g_free(test->work_dir);
	g_free(test->server);
	g_free(test->dead_server);
}

/*
 * Ends the child before a sanitizer's leak check, which would report what the
 * parent has allocated and change the exit code.
 */
static void end_child(int status, void *data)
{
	(void)data;
	fflush(NULL);
	_exit(status);
}

/* Runs in a child process: the command blocks while this loop serves it. */
static void run_child(const struct command_test *test, int out_fd, char **argv)
{
	const struct plugin *plugin = plugin_find(PLUGIN_COMMAND, argv[0]);
	const struct command_ops *ops = plugin->ops;

	dup2(out_fd, STDOUT_FILENO);
	dup2(out_fd, STDERR_FILENO);
	if (chdir(test->work_dir) != 0)
		_exit(99);
	argp_err_exit_status = EXIT_USAGE;
	on_exit(end_child, NULL);
	exit(ops->run((int)g_strv_length(argv), argv));
}

/* Returns the exit code; sets output to what the command printed. */
static int run_command(struct command_test *test, char **argv, GString *output)
{
	int pair[2];
	int status = 0;
	struct raw_conn *conn;
	pid_t child;

	CU_ASSERT_EQUAL_FATAL(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair), 0);
	fflush(stdout);
	child = fork();
	CU_ASSERT_FATAL(child >= 0);
	if (!child)
		run_child(test, pair[1], argv);
	close(pair[1]);
	conn = raw_conn_new(test->contract->ev, pair[0]);
	if (!raw_conn_wait_closed(conn))
		kill(child, SIGKILL);
	waitpid(child, &status, 0);
	g_string_assign(output, conn->received->str);
	raw_conn_free(conn);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Replaces "$s" by the server, "$d" by dead_server, "$t" by the token file. */
static char **make_arguments(const struct command_test *test, const char *line)
{
	char **argv = g_strsplit(line, " ", ARGUMENTS_MAX_COUNT);

	for (char **at = argv; *at; at++) {
		const char *value = NULL;

		if (!strcmp(*at, "$s"))
			value = test->server;
		else if (!strcmp(*at, "$d"))
			value = test->dead_server;
		else if (!strcmp(*at, "$t"))
			value = test->contract->token_path;
		if (!value)
			continue;
		g_free(*at);
		*at = g_strdup(value);
	}
	return argv;
}

struct command_case {
	const char *line;
	enum log_mode mode;
	int code;
	const char *parts[3]; /* substrings of the output */
};

static const struct command_case command_cases[] = {
	{ "apply --server $s --token-file $t a.yaml",
	  LOG_ACCEPTS,
	  EXIT_DONE,
	  { "a.yaml: accepted at offset 4" } },
	{ "apply --server $d --server $s --token-file $t a.yaml old.yaml",
	  LOG_ACCEPTS,
	  EXIT_DONE,
	  { "a.yaml: accepted at offset 4", "old.yaml: accepted at offset 5",
	    "each file is one change" } },
	{ "apply --server $s --token-file $t --remove old.yaml",
	  LOG_ACCEPTS,
	  EXIT_DONE,
	  { "old.yaml: accepted at offset 4" } },
	{ "apply --server $s --token-file $t bad.yaml",
	  LOG_ACCEPTS,
	  EXIT_REJECTED,
	  { "bad.yaml:1: colour: unknown key" } },
	{ "apply --server $s --token-file $t --base 2 old.yaml",
	  LOG_ACCEPTS,
	  EXIT_REJECTED,
	  { "conflict" } },
	{ "apply --server $s --token-file $t old.yaml",
	  LOG_CONFLICT,
	  EXIT_REJECTED,
	  { "old.yaml: rejected: conflict: file is at offset 4" } },
	{ "apply --server $s --token-file wrong-token a.yaml",
	  LOG_ACCEPTS,
	  EXIT_REJECTED,
	  { "a valid bearer token is required" } },
	{ "apply --server $s --token-file $t missing.yaml",
	  LOG_ACCEPTS,
	  EXIT_REJECTED,
	  { "missing.yaml" } },
	{ "apply --server $d --token-file $t a.yaml",
	  LOG_ACCEPTS,
	  EXIT_UNREACHABLE,
	  { "connect" } },
	{ "apply --server $s --token-file $t --dry-run a.yaml old.yaml",
	  LOG_ACCEPTS,
	  EXIT_DONE,
	  { "a.yaml: would add, base offset 0\n@ line 1\n"
	    "+members: [{name: m}]\n",
	    "old.yaml: would replace, base offset 3\n@ line 1\n"
	    "-members: [{name: old}]\n+members:\n+- name: new\n" } },
	{ "apply --server $s --token-file $t",
	  LOG_ACCEPTS,
	  EXIT_USAGE,
	  { "no file is given" } },
	{ "apply --token-file $t a.yaml",
	  LOG_ACCEPTS,
	  EXIT_USAGE,
	  { "--server is missing" } },
	{ "apply --server $s a.yaml",
	  LOG_ACCEPTS,
	  EXIT_USAGE,
	  { "--token-file is missing" } },
	{ "apply --server $s --token-file $t --base 1 a.yaml old.yaml",
	  LOG_ACCEPTS,
	  EXIT_USAGE,
	  { "--base goes with one file" } },
	{ "status --server $s --token-file $t",
	  LOG_ACCEPTS,
	  EXIT_DONE,
	  { "this is e1", "file old.yaml: offset 3" } },
	{ "status --server $s --server $d --token-file $t --json",
	  LOG_ACCEPTS,
	  EXIT_UNREACHABLE,
	  { "{\"entry\":\"e1\"" } },
	{ "drain --server $s --token-file $t",
	  LOG_ACCEPTS,
	  EXIT_DONE,
	  { "draining, ends within" } },
	{ "drain --server $d --token-file $t",
	  LOG_ACCEPTS,
	  EXIT_UNREACHABLE,
	  { "connect" } },
	{ "timeline --server $s --token-file $t --request x",
	  LOG_ACCEPTS,
	  EXIT_REJECTED,
	  { "request: expected ID or ENTRY/ID" } },
	{ "timeline --server $d --token-file $t",
	  LOG_ACCEPTS,
	  EXIT_UNREACHABLE,
	  { "connect" } },
};

/* Guards against a wrong exit code or output, on which scripts rely. */
static void test_commands(void)
{
	GString *output = g_string_new(NULL);

	for (gsize i = 0; i < G_N_ELEMENTS(command_cases); i++) {
		const struct command_case *test_case = &command_cases[i];
		struct command_test test;
		char **argv;
		int code;

		setup(&test);
		test.log.mode = test_case->mode;
		argv = make_arguments(&test, test_case->line);
		code = run_command(&test, argv, output);
		if (code != test_case->code)
			printf("\n    %s: exit code %d, output:\n%s\n",
			       test_case->line, code, output->str);
		CU_ASSERT_EQUAL(code, test_case->code);
		for (gsize k = 0; k < G_N_ELEMENTS(test_case->parts); k++) {
			if (test_case->parts[k] &&
			    !strstr(output->str, test_case->parts[k]))
				printf("\n    %s: expected \"%s\" in:\n%s\n",
				       test_case->line, test_case->parts[k],
				       output->str);
			CU_ASSERT_TRUE(
				!test_case->parts[k] ||
				strstr(output->str, test_case->parts[k]));
		}
		g_strfreev(argv);
		teardown(&test);
	}
	g_string_free(output, TRUE);
}

static bool is_proposed(const void *data)
{
	return ((const struct fake_log *)data)->proposed_count > 0;
}

/* Guards against reporting a change as not made when the server ends while
 * the change is pending.
 */
static void test_shutdown_pending(void)
{
	struct command_test test;
	char **argv;
	int pair[2];
	int status = 0;
	char output[512] = "";
	pid_t child;

	setup(&test);
	test.log.mode = LOG_SILENT;
	argv = make_arguments(&test,
			      "apply --server $s --token-file $t a.yaml");
	CU_ASSERT_EQUAL_FATAL(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, pair), 0);
	fflush(stdout);
	child = fork();
	CU_ASSERT_FATAL(child >= 0);
	if (!child)
		run_child(&test, pair[1], argv);
	close(pair[1]);
	CU_ASSERT_TRUE(
		contract_wait(test.contract->ev, is_proposed, &test.log));
	teardown(&test);
	waitpid(child, &status, 0);
	CU_ASSERT_TRUE(read(pair[0], output, sizeof(output) - 1) > 0);
	CU_ASSERT_EQUAL(WEXITSTATUS(status), EXIT_UNKNOWN);
	CU_ASSERT_PTR_NOT_NULL(strstr(output, "unknown"));
	close(pair[0]);
	g_strfreev(argv);
}

/* A server that closes the connection after one request, without answer. */
struct closing_server {
	ev_io listener;
	ev_check check;
	struct raw_conn *conn;
	bool closed;
};

static void on_accept(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct closing_server *closing_server = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);

	(void)revents;
	CU_ASSERT_FATAL(fd >= 0);
	closing_server->conn = raw_conn_new(ev, fd);
	ev_io_stop(ev, watcher);
}

static void on_check(struct ev_loop *ev, ev_check *watcher, int revents)
{
	struct closing_server *closing_server = watcher->data;

	(void)ev;
	(void)revents;
	if (!closing_server->conn || closing_server->closed ||
	    !raw_conn_has_message(closing_server->conn))
		return;
	closing_server->closed = true;
	shutdown(closing_server->conn->reader.fd, SHUT_RDWR);
}

/* Guards against reporting a change as not made when the server closes the
 * connection after it has read the change.
 */
static void test_closed_unanswered(void)
{
	GString *output = g_string_new(NULL);
	struct closing_server closing_server = { .closed = false };
	struct command_test test;
	uint16_t port;
	char *line;
	char **argv;
	int fd = contract_bind(&port);

	setup(&test);
	CU_ASSERT_EQUAL_FATAL(listen(fd, 1), 0);
	ev_io_init(&closing_server.listener, on_accept, fd, EV_READ);
	closing_server.listener.data = &closing_server;
	ev_io_start(test.contract->ev, &closing_server.listener);
	ev_check_init(&closing_server.check, on_check);
	ev_set_priority(&closing_server.check, EV_MINPRI);
	closing_server.check.data = &closing_server;
	ev_check_start(test.contract->ev, &closing_server.check);
	/* Not sent to the second server: the change could be made twice. */
	line = g_strdup_printf("apply --server 127.0.0.1:%u --server $s "
			       "--token-file $t a.yaml",
			       port);
	argv = make_arguments(&test, line);
	CU_ASSERT_EQUAL(run_command(&test, argv, output), EXIT_UNKNOWN);
	CU_ASSERT_PTR_NOT_NULL(strstr(output->str, "the outcome is unknown"));
	CU_ASSERT_TRUE(closing_server.closed);
	CU_ASSERT_EQUAL(test.log.proposed_count, 0);
	ev_check_stop(test.contract->ev, &closing_server.check);
	ev_io_stop(test.contract->ev, &closing_server.listener);
	if (closing_server.conn)
		raw_conn_free(closing_server.conn);
	close(fd);
	g_strfreev(argv);
	g_free(line);
	g_string_free(output, TRUE);
	teardown(&test);
}

static void add_event(struct contract *contract, int64_t wall_ms,
		      const char *text)
{
	struct timeline_entry entry = {
		.kind = TIMELINE_REQUEST,
		.request_id = 5,
	};

	name_copy(entry.text, sizeof(entry.text), text);
	timeline_set_wall(kernel_timeline(contract->kernel),
			  wall_ms * USEC_PER_MSEC);
	timeline_add(kernel_timeline(contract->kernel), &entry);
}

/* Starts a second entry instance in a child process. */
static pid_t start_second(const char *token, uint16_t *port)
{
	int ports[2];
	pid_t child;

	CU_ASSERT_EQUAL_FATAL(pipe(ports), 0);
	child = fork();
	CU_ASSERT_FATAL(child >= 0);
	if (!child) {
		struct contract *contract = contract_new();

		g_file_set_contents(contract->token_path, token, -1, NULL);
		contract_start(contract, PLUGIN_FRONT, "operator_http");
		add_event(contract, 2000, "second");
		add_event(contract, 4000, "fourth");
		unlink(contract->token_path);
		*port = contract_operator_port(contract);
		if (write(ports[1], port, sizeof(*port)) == sizeof(*port))
			loop_run(contract->loop);
		_exit(0);
	}
	close(ports[1]);
	CU_ASSERT_EQUAL_FATAL(read(ports[0], port, sizeof(*port)),
			      (ssize_t)sizeof(*port));
	close(ports[0]);
	return child;
}

static void add_to_roster(struct contract *contract, const char *name,
			  const char *operator_address)
{
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	name_copy(record->entry.name, sizeof(record->entry.name), name);
	name_copy(record->entry.dc, sizeof(record->entry.dc), "d");
	name_copy(record->entry.operator_address,
		  sizeof(record->entry.operator_address), operator_address);
	record->entry.incarnation = 1;
	contract_apply(contract, name, 1, record);
}

/* Guards against a merged time line that is out of order, or that omits
 * which process was unreachable.
 */
static void test_timeline(void)
{
	GString *output = g_string_new(NULL);
	struct command_test test;
	uint16_t port = 0;
	char *second;
	const char *at;
	char **argv;
	pid_t child;

	setup(&test);
	fflush(stdout);
	child = start_second(CONTRACT_TOKEN, &port);
	second = g_strdup_printf("127.0.0.1:%u", port);
	add_to_roster(test.contract, "second", second);
	add_to_roster(test.contract, "third", test.dead_server);
	add_event(test.contract, 1000, "first");
	add_event(test.contract, 3000, "third");
	argv = make_arguments(&test, "timeline --server $s --token-file $t "
				     "--request 5");
	CU_ASSERT_EQUAL(run_command(&test, argv, output), EXIT_UNREACHABLE);
	at = output->str;
	for (guint i = 0; i < 4; i++) {
		static const char *const order[] = { " first\n", " second\n",
						     " third\n", " fourth\n" };

		at = at ? strstr(at, order[i]) : NULL;
		CU_ASSERT_PTR_NOT_NULL(at);
	}
	CU_ASSERT_PTR_NOT_NULL(strstr(output->str, test.dead_server));
	g_strfreev(argv);
	argv = make_arguments(&test, "timeline --server $s --token-file $t "
				     "--json");
	CU_ASSERT_EQUAL(run_command(&test, argv, output), EXIT_UNREACHABLE);
	CU_ASSERT_PTR_NOT_NULL(strstr(output->str, "\"unreachable\":[\""));
	CU_ASSERT_PTR_NOT_NULL(strstr(output->str, "\"lost\":{\"e1\":0"));
	kill(child, SIGKILL);
	waitpid(child, NULL, 0);
	g_strfreev(argv);
	g_free(second);
	g_string_free(output, TRUE);
	teardown(&test);
}

struct diff_case {
	const char *from;
	const char *to;
	const char *expected;
};

static const struct diff_case diff_cases[] = {
	{ "", "", "" },
	{ "a\nb\n", "a\nb\n", "" },
	{ "", "a\n", "@ line 1\n+a\n" },
	{ "a\n", "", "@ line 1\n-a\n" },
	{ "a\nb\nc\n", "a\nx\nc\n", "@ line 2\n-b\n+x\n" },
	{ "a\nb\nc\nd\n", "b\nc\nd\ne\n", "@ line 1\n-a\n@ line 4\n+e\n" },
	{ "a\nb\nc\nd\ne\n", "a\nc\nd\nx\ne\n",
	  "@ line 2\n-b\n@ line 4\n+x\n" },
	{ "a", "a\n", "" },
};

/* Guards against a dry run that shows a wrong diff. */
static void test_diff(void)
{
	for (gsize i = 0; i < G_N_ELEMENTS(diff_cases); i++) {
		GString *diff = diff_text(diff_cases[i].from, diff_cases[i].to);

		if (strcmp(diff->str, diff_cases[i].expected) != 0)
			printf("\n    case %u:\n%s", (guint)i, diff->str);
		CU_ASSERT_STRING_EQUAL(diff->str, diff_cases[i].expected);
		g_string_free(diff, TRUE);
	}
}

static const CU_TestInfo tests[] = {
	{ "commands", test_commands },
	{ "shutdown_pending", test_shutdown_pending },
	{ "closed_unanswered", test_closed_unanswered },
	{ "timeline", test_timeline },
	{ "diff", test_diff },
	CU_TEST_INFO_NULL,
};

static struct suite command_suite = { .name = "command", .tests = tests };

SUITE_REGISTER(command_suite)
