#include "contract/contract.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec/decl_yaml.h"

#define WAIT_TIMEOUT_S 60.
#define IDLE_S 0.05

struct contract *contract_new(void)
{
	struct contract *contract = g_new0(struct contract, 1);
	struct settings *settings = settings_new();
	int fd =
		g_file_open_tmp("contract-XXXXXX", &contract->token_path, NULL);

	CU_ASSERT_FATAL(fd >= 0);
	close(fd);
	g_file_set_contents(contract->token_path, CONTRACT_TOKEN "\n", -1,
			    NULL);
	name_copy(settings->entry, sizeof(settings->entry), "e1");
	name_copy(settings->caller_address, sizeof(settings->caller_address),
		  "127.0.0.1:0");
	name_copy(settings->operator_address,
		  sizeof(settings->operator_address), "127.0.0.1:0");
	name_copy(settings->token_file, sizeof(settings->token_file),
		  contract->token_path);
	contract->settings = settings;
	contract->kernel = kernel_new(settings, 7, 1);
	contract->loop = loop_new(contract->kernel);
	contract->ev = kernel_loop(contract->kernel);
	return contract;
}

void contract_free(struct contract *contract)
{
	kernel_free(contract->kernel);
	loop_free(contract->loop);
	settings_free(contract->settings);
	unlink(contract->token_path);
	g_free(contract->token_path);
	g_free(contract);
}

void contract_start(struct contract *contract, enum plugin_kind kind,
		    const char *name)
{
	const struct plugin *plugin = plugin_find(kind, name);

	CU_ASSERT_PTR_NOT_NULL_FATAL(plugin);
	CU_ASSERT_TRUE_FATAL(kernel_start_plugin(contract->kernel, plugin));
}

uint16_t contract_caller_port(struct contract *contract)
{
	return (uint16_t)counter_get(kernel_counters(contract->kernel),
				     "listening_port{interface=\"callers\"}");
}

uint16_t contract_operator_port(struct contract *contract)
{
	return (uint16_t)counter_get(kernel_counters(contract->kernel),
				     "listening_port{interface=\"operators\"}");
}

void contract_apply(struct contract *contract, const char *writer,
		    uint64_t incarnation, struct record *record)
{
	struct fleet *fleet = kernel_fleet(contract->kernel);
	uint64_t offset = fleet_offset(fleet) + 1;
	struct fleet_outcome outcome;

	name_copy(record->id.entry, sizeof(record->id.entry), writer);
	record->id.incarnation = incarnation;
	record->id.sequence = offset;
	if (!fleet_apply(fleet, offset, record, &outcome))
		printf("\n    %s: %s\n", record_kind_name(record->kind),
		       outcome.reason);
	CU_ASSERT_TRUE_FATAL(outcome.accepted);
	record_unref(record);
}

void contract_join(struct contract *contract, const char *name,
		   uint64_t incarnation)
{
	struct record *record = record_new(RECORD_ENTRY_JOIN);

	name_copy(record->entry.name, sizeof(record->entry.name), name);
	name_copy(record->entry.dc, sizeof(record->entry.dc), "d");
	record->entry.incarnation = incarnation;
	contract_apply(contract, name, incarnation, record);
}

void contract_declare(struct contract *contract, const char *name,
		      const char *text)
{
	struct fleet *fleet = kernel_fleet(contract->kernel);
	GPtrArray *errors = g_ptr_array_new_with_free_func(g_free);
	struct record *record = record_new(RECORD_CONFIG_PUT);

	if (!fleet_entry(fleet, "other"))
		contract_join(contract, "other", 1);
	name_copy(record->config.file, sizeof(record->config.file), name);
	fleet_file(fleet, name, &record->config.base_offset);
	record->config.decl =
		decl_parse(name, text, strlen(text), false, errors);
	CU_ASSERT_PTR_NOT_NULL_FATAL(record->config.decl);
	contract_apply(contract, "other", 1, record);
	g_ptr_array_unref(errors);
}

struct condition {
	bool (*holds)(const void *data);
	const void *data;
	bool held;
};

/* Runs after the kernel has delivered its events and before the loop waits. */
static void on_prepare(struct ev_loop *ev, ev_prepare *watcher, int revents)
{
	struct condition *condition = watcher->data;

	(void)revents;
	condition->held = condition->holds(condition->data);
	if (condition->held)
		ev_break(ev, EVBREAK_ALL);
}

static void on_timeout(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	(void)watcher;
	(void)revents;
	ev_break(ev, EVBREAK_ALL);
}

static void run_for(struct ev_loop *ev, double time_s)
{
	ev_timer stop;

	ev_timer_init(&stop, on_timeout, time_s, 0.);
	ev_now_update(ev);
	ev_timer_start(ev, &stop);
	ev_run(ev, 0);
	ev_timer_stop(ev, &stop);
}

bool contract_wait(struct ev_loop *ev, bool (*holds)(const void *data),
		   const void *data)
{
	struct condition condition = { .holds = holds, .data = data };
	ev_prepare prepare;

	ev_prepare_init(&prepare, on_prepare);
	ev_set_priority(&prepare, EV_MINPRI);
	prepare.data = &condition;
	ev_prepare_start(ev, &prepare);
	run_for(ev, WAIT_TIMEOUT_S);
	ev_prepare_stop(ev, &prepare);
	return condition.held;
}

uint32_t contract_idle_turns(struct ev_loop *ev)
{
	unsigned int before = ev_iteration(ev);

	run_for(ev, IDLE_S);
	return ev_iteration(ev) - before;
}

static void on_readable(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct raw_conn *conn = watcher->data;
	char data[65536];
	ssize_t size = recv(watcher->fd, data, sizeof(data), 0);

	(void)revents;
	if (size > 0) {
		g_string_append_len(conn->received, data, size);
		return;
	}
	if (size < 0 && errno == EAGAIN)
		return;
	conn->closed = true;
	ev_io_stop(ev, watcher);
}

static void on_writable(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct raw_conn *conn = watcher->data;
	ssize_t size = send(watcher->fd, conn->sent->str, conn->sent->len,
			    MSG_NOSIGNAL);

	(void)revents;
	if (size > 0)
		g_string_erase(conn->sent, 0, size);
	else if (errno != EAGAIN)
		g_string_truncate(conn->sent, 0);
	if (!conn->sent->len)
		ev_io_stop(ev, watcher);
}

struct raw_conn *raw_conn_new(struct ev_loop *ev, int fd)
{
	struct raw_conn *conn = g_new0(struct raw_conn, 1);

	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
	conn->ev = ev;
	conn->sent = g_string_new(NULL);
	conn->received = g_string_new(NULL);
	ev_io_init(&conn->reader, on_readable, fd, EV_READ);
	conn->reader.data = conn;
	ev_io_start(ev, &conn->reader);
	ev_io_init(&conn->writer, on_writable, fd, EV_WRITE);
	conn->writer.data = conn;
	return conn;
}

static struct sockaddr_in loopback(uint16_t port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
}

struct raw_conn *raw_conn_connect(struct ev_loop *ev, uint16_t port)
{
	struct sockaddr_in to = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&to, sizeof(to)),
			      0);
	return raw_conn_new(ev, fd);
}

void raw_conn_free(struct raw_conn *conn)
{
	ev_io_stop(conn->ev, &conn->reader);
	ev_io_stop(conn->ev, &conn->writer);
	close(conn->reader.fd);
	g_string_free(conn->sent, TRUE);
	g_string_free(conn->received, TRUE);
	g_free(conn);
}

void raw_conn_send(struct raw_conn *conn, const char *data, size_t size_bytes)
{
	g_string_append_len(conn->sent, data, (gssize)size_bytes);
	ev_io_start(conn->ev, &conn->writer);
}

bool raw_conn_has_message(const struct raw_conn *conn)
{
	const char *end = strstr(conn->received->str, "\r\n\r\n");
	const char *length = strstr(conn->received->str, "Content-Length: ");
	size_t head_bytes;

	if (!end)
		return false;
	head_bytes = (size_t)(end + 4 - conn->received->str);
	if (!length || length > end)
		return true;
	length += strlen("Content-Length: ");
	return conn->received->len - head_bytes >=
	       g_ascii_strtoull(length, NULL, 10);
}

static bool is_answered(const void *data)
{
	const struct raw_conn *conn = data;

	return conn->closed || raw_conn_has_message(conn);
}

static bool is_closed(const void *data)
{
	return ((const struct raw_conn *)data)->closed;
}

const char *raw_conn_wait_answer(struct raw_conn *conn)
{
	CU_ASSERT_TRUE(contract_wait(conn->ev, is_answered, conn));
	return conn->received->str;
}

const char *raw_conn_ask(struct raw_conn *conn, const char *text)
{
	g_string_truncate(conn->received, 0);
	raw_conn_send(conn, text, strlen(text));
	return raw_conn_wait_answer(conn);
}

bool raw_conn_wait_closed(struct raw_conn *conn)
{
	return contract_wait(conn->ev, is_closed, conn);
}

int contract_bind(uint16_t *port)
{
	struct sockaddr_in address = loopback(0);
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_FATAL(fd >= 0);
	CU_ASSERT_EQUAL_FATAL(
		bind(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	CU_ASSERT_EQUAL_FATAL(
		getsockname(fd, (struct sockaddr *)&address, &size), 0);
	*port = ntohs(address.sin_port);
	return fd;
}

void contract_expect(const char *name, const char *answer, const char *part)
{
	if (!strstr(answer, part))
		printf("\n    %s: expected \"%s\" in: %s\n", name, part,
		       answer);
	CU_ASSERT_PTR_NOT_NULL(strstr(answer, part));
}
