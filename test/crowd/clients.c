/* The clients: connections that one thread serves by turns. */

#include "crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#define TURN_MS 2
#define TRICKLE_MS 100
#define RECONNECT_MS 300
/* So that answers that aren't read stay with the server. */
#define RECEIVE_BUFFER_BYTES 4096

struct client {
	const GString *text;
	size_t end_bytes;   /* sends so much of the text */
	size_t burst_bytes; /* this much of it at once */
	enum target target;
	int fd;		 /* -1: closed */
	int64_t next_ms; /* of the next trickled byte, or the reconnection */
	int64_t read_ms; /* of the next byte that is read slowly */
	size_t sent_bytes;
	uint32_t connect_count; /* connections that are left to make */
};

static struct {
	const struct crowd_case *kind;
	GString *texts[TARGET_COUNT][VARIANTS_MAX_COUNT];
	GArray *clients; /* of struct client */
	pthread_t thread;
	int stopped;
} crowd;

static void connect_client(struct client *client)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int size_bytes = RECEIVE_BUFFER_BYTES;

	client->connect_count--;
	client->sent_bytes = 0;
	client->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (client->fd < 0) {
		perror("can't open a socket");
		exit(2);
	}
	if (crowd.kind->reading != READ_ALL)
		setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &size_bytes,
			   sizeof(size_bytes));
	address.sin_port = htons((uint16_t)entry_port(client->target));
	inet_pton(AF_INET, entry_ip(), &address.sin_addr);
	/* Sending shows whether this succeeds. */
	(void)!connect(client->fd, (struct sockaddr *)&address,
		       sizeof(address));
}

static void close_client(struct client *client)
{
	close(client->fd);
	client->fd = -1;
	client->next_ms = world_ms() + RECONNECT_MS;
}

static bool is_broken(ssize_t result)
{
	return result < 0 && errno != EAGAIN && errno != ENOTCONN &&
	       errno != EINPROGRESS && errno != EALREADY;
}

/* How much the client may send now. */
static size_t allowance(struct client *client)
{
	size_t left_bytes = client->end_bytes - client->sent_bytes;

	if (client->sent_bytes < client->burst_bytes)
		left_bytes = client->burst_bytes - client->sent_bytes;
	else if (left_bytes && client->next_ms > world_ms())
		return 0;
	else
		left_bytes = MIN(left_bytes, 1);
	if (crowd.kind->piece_bytes)
		left_bytes = MIN(left_bytes, crowd.kind->piece_bytes);
	return left_bytes;
}

static void send_part(struct client *client)
{
	size_t size_bytes = allowance(client);
	ssize_t sent;

	if (!size_bytes)
		return;
	sent = send(client->fd, client->text->str + client->sent_bytes,
		    size_bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent > 0) {
		client->sent_bytes += (size_t)sent;
		client->next_ms = world_ms() + TRICKLE_MS;
	} else if (is_broken(sent)) {
		close_client(client);
	}
}

/* Also notices, when nothing is read, that the connection was closed. */
static void read_part(struct client *client)
{
	char buffer[65536];
	size_t size_bytes = sizeof(buffer);
	int flags = MSG_DONTWAIT;
	ssize_t got;

	if (crowd.kind->reading == READ_NOTHING)
		flags |= MSG_PEEK;
	if (crowd.kind->reading != READ_ALL)
		size_bytes = 1;
	if (crowd.kind->reading == READ_SLOWLY) {
		if (client->read_ms > world_ms())
			return;
		client->read_ms = world_ms() + TRICKLE_MS;
	}
	got = recv(client->fd, buffer, size_bytes, flags);
	if (got == 0 || is_broken(got))
		close_client(client);
}

static void serve_client(struct client *client)
{
	if (client->fd < 0) {
		if (client->connect_count && client->next_ms <= world_ms())
			connect_client(client);
		return;
	}
	send_part(client);
	if (client->fd >= 0)
		read_part(client);
}

static void *run_clients(void *data)
{
	(void)data;
	while (!g_atomic_int_get(&crowd.stopped)) {
		for (guint i = 0; i < crowd.clients->len; i++)
			serve_client(&g_array_index(crowd.clients,
						    struct client, i));
		world_sleep_ms(TURN_MS);
	}
	return NULL;
}

static void add_client(enum target target, uint32_t number)
{
	const struct crowd_case *kind = crowd.kind;
	uint32_t variant = number % kind->variant_count;
	const GString *text = crowd.texts[target][variant];
	struct client client = {
		.text = text,
		.end_bytes = text->len,
		.target = target,
		.fd = -1,
		.connect_count = 1 + kind->reconnect_count,
	};

	/* In each variant, one in 8 sends everything. */
	if (number / kind->variant_count % 8)
		client.end_bytes -= kind->withheld_bytes;
	client.burst_bytes = client.end_bytes;
	if (kind->pace[variant].burst_bytes) {
		client.burst_bytes = kind->pace[variant].burst_bytes;
		if (!kind->pace[variant].trickles)
			client.end_bytes = client.burst_bytes;
	}
	g_array_append_val(crowd.clients, client);
}

void crowd_start(const struct crowd_case *crowd_case)
{
	g_assert(crowd_case->variant_count > 0);
	crowd.kind = crowd_case;
	crowd.clients = g_array_new(FALSE, FALSE, sizeof(struct client));
	for (int target = 0; target < TARGET_COUNT; target++) {
		for (uint32_t i = 0; i < crowd_case->variant_count; i++) {
			crowd.texts[target][i] = g_string_new(NULL);
			crowd_case->write(crowd.texts[target][i], target, i);
		}
		for (uint32_t i = 0; i < crowd_case->client_counts[target]; i++)
			add_client(target, i);
	}
	pthread_create(&crowd.thread, NULL, run_clients, NULL);
}

void crowd_stop(void)
{
	g_atomic_int_set(&crowd.stopped, 1);
	pthread_join(crowd.thread, NULL);
}
