#include "contract/fake_endpoint.h"

#include <sys/socket.h>
#include <unistd.h>

static void on_accept(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct fake_endpoint *endpoint = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);

	(void)revents;
	CU_ASSERT_FATAL(fd >= 0);
	g_ptr_array_add(endpoint->conns, raw_conn_new(ev, fd));
}

static void finish_answer(struct raw_conn *conn, enum after_answer after)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	int fd = conn->reader.fd;

	send(fd, conn->sent->str, conn->sent->len, MSG_NOSIGNAL);
	g_string_truncate(conn->sent, 0);
	if (after == AFTER_KEEP)
		return;
	ev_io_stop(conn->ev, &conn->reader);
	if (after == AFTER_CLOSE) {
		shutdown(fd, SHUT_WR);
		return;
	}
	/* Closing with a linger time of 0 resets the connection. */
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	ev_io_set(&conn->reader, dup(STDIN_FILENO), EV_READ);
	ev_io_set(&conn->writer, conn->reader.fd, EV_WRITE);
	close(fd);
}

static void answer_request(struct fake_endpoint *endpoint,
			   struct raw_conn *conn)
{
	const struct fake_step *step = endpoint->steps;

	if (!step->answer || !raw_conn_has_message(conn))
		return;
	endpoint->request_count++;
	endpoint->steps++;
	g_string_assign(endpoint->last_request, conn->received->str);
	g_string_truncate(conn->received, 0);
	g_string_append(conn->sent, step->answer);
	finish_answer(conn, step->after);
}

/* Runs after the sockets were read. */
static void on_check(struct ev_loop *ev, ev_check *watcher, int revents)
{
	struct fake_endpoint *endpoint = watcher->data;

	(void)ev;
	(void)revents;
	for (guint i = 0; i < endpoint->conns->len; i++)
		answer_request(endpoint, endpoint->conns->pdata[i]);
}

static void free_conn(gpointer conn)
{
	raw_conn_free(conn);
}

struct fake_endpoint *fake_endpoint_new(struct ev_loop *ev,
					const struct fake_step *steps)
{
	struct fake_endpoint *endpoint = g_new0(struct fake_endpoint, 1);
	int fd = contract_bind(&endpoint->port);

	CU_ASSERT_EQUAL_FATAL(listen(fd, 16), 0);
	endpoint->ev = ev;
	endpoint->steps = steps;
	endpoint->conns = g_ptr_array_new_with_free_func(free_conn);
	endpoint->last_request = g_string_new(NULL);
	ev_io_init(&endpoint->listener, on_accept, fd, EV_READ);
	endpoint->listener.data = endpoint;
	ev_io_start(ev, &endpoint->listener);
	ev_check_init(&endpoint->check, on_check);
	/* Below the sockets' priority, so that it sees what they have read. */
	ev_set_priority(&endpoint->check, EV_MINPRI);
	endpoint->check.data = endpoint;
	ev_check_start(ev, &endpoint->check);
	return endpoint;
}

void fake_endpoint_free(struct fake_endpoint *endpoint)
{
	g_ptr_array_unref(endpoint->conns);
	ev_io_stop(endpoint->ev, &endpoint->listener);
	ev_check_stop(endpoint->ev, &endpoint->check);
	close(endpoint->listener.fd);
	g_string_free(endpoint->last_request, TRUE);
	g_free(endpoint);
}
