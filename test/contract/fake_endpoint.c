#include "contract/fake_endpoint.h"

#include <sys/socket.h>
#include <unistd.h>

static void on_accept(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct fake_endpoint *endpoint = watcher->data;
	int fd = accept(watcher->fd, NULL, NULL);

	(void)revents;
	CU_ASSERT_FATAL(fd >= 0);
	g_ptr_array_add(endpoint->wires, wire_new(ev, fd));
}

static void finish_wire(struct wire *wire, enum after_answer after)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	int fd = wire->reader.fd;

	send(fd, wire->sent->str, wire->sent->len, MSG_NOSIGNAL);
	g_string_truncate(wire->sent, 0);
	if (after == AFTER_KEEP)
		return;
	ev_io_stop(wire->ev, &wire->reader);
	if (after == AFTER_CLOSE) {
		shutdown(fd, SHUT_WR);
		return;
	}
	/* Closing with a linger time of 0 resets the connection. */
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	ev_io_set(&wire->reader, dup(STDIN_FILENO), EV_READ);
	ev_io_set(&wire->writer, wire->reader.fd, EV_WRITE);
	close(fd);
}

static void answer_wire(struct fake_endpoint *endpoint, struct wire *wire)
{
	const struct fake_step *step = endpoint->steps;

	if (!step->answer || !wire_has_message(wire))
		return;
	endpoint->request_count++;
	endpoint->steps++;
	g_string_assign(endpoint->last_request, wire->received->str);
	g_string_truncate(wire->received, 0);
	g_string_append(wire->sent, step->answer);
	finish_wire(wire, step->after);
}

/* Runs after the sockets were read. */
static void on_check(struct ev_loop *ev, ev_check *watcher, int revents)
{
	struct fake_endpoint *endpoint = watcher->data;

	(void)ev;
	(void)revents;
	for (guint i = 0; i < endpoint->wires->len; i++)
		answer_wire(endpoint, endpoint->wires->pdata[i]);
}

static void free_wire(gpointer wire)
{
	wire_free(wire);
}

struct fake_endpoint *fake_endpoint_new(struct ev_loop *ev,
					const struct fake_step *steps)
{
	struct fake_endpoint *endpoint = g_new0(struct fake_endpoint, 1);
	int fd = contract_bind(&endpoint->port);

	CU_ASSERT_EQUAL_FATAL(listen(fd, 16), 0);
	endpoint->ev = ev;
	endpoint->steps = steps;
	endpoint->wires = g_ptr_array_new_with_free_func(free_wire);
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
	g_ptr_array_unref(endpoint->wires);
	ev_io_stop(endpoint->ev, &endpoint->listener);
	ev_check_stop(endpoint->ev, &endpoint->check);
	close(endpoint->listener.fd);
	g_string_free(endpoint->last_request, TRUE);
	g_free(endpoint);
}
