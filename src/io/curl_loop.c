#include "io/curl_loop.h"

#include <glib.h>

/*
 * An older idle connection is more likely to be closed by the server just as a
 * request is sent than to save a connect.
 */
#define IDLE_CONNECTION_MAX_S 10L

#define IDLE_CONNECTIONS_MAX_COUNT 2048L

struct transfer {
	CURL *easy;
	void (*done)(void *data, CURL *easy, CURLcode result);
	void *data;
};

struct socket_watch {
	ev_io io;
	struct curl_loop *loop;
};

struct curl_loop {
	struct ev_loop *ev;
	CURLM *multi;
	ev_timer timer;	       /* the one that libcurl asks for */
	GHashTable *transfers; /* CURL * -> struct transfer */
	GHashTable *watches;   /* set of struct socket_watch * */
};

static void finish_transfer(struct curl_loop *loop, CURL *easy, CURLcode result)
{
	struct transfer *transfer = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	curl_multi_remove_handle(loop->multi, easy);
	g_hash_table_steal(loop->transfers, easy);
	transfer->done(transfer->data, easy, result);
	g_free(transfer);
}

static void collect_finished(struct curl_loop *loop)
{
	CURLMsg *message;
	int left_count;

	while ((message = curl_multi_info_read(loop->multi, &left_count))) {
		if (message->msg == CURLMSG_DONE)
			finish_transfer(loop, message->easy_handle,
					message->data.result);
	}
}

static void on_socket_ready(struct ev_loop *ev, ev_io *watcher, int revents)
{
	struct socket_watch *watch = watcher->data;
	struct curl_loop *loop = watch->loop;
	int actions = 0;
	int running;

	(void)ev;
	if (revents & EV_READ)
		actions |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		actions |= CURL_CSELECT_OUT;
	curl_multi_socket_action(loop->multi, watcher->fd, actions, &running);
	collect_finished(loop);
}

static void on_timer(struct ev_loop *ev, ev_timer *watcher, int revents)
{
	struct curl_loop *loop = watcher->data;
	int running;

	(void)ev;
	(void)revents;
	curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect_finished(loop);
}

static void watch_free(gpointer data)
{
	struct socket_watch *watch = data;

	ev_io_stop(watch->loop->ev, &watch->io);
	g_free(watch);
}

static struct socket_watch *watch_new(struct curl_loop *loop, curl_socket_t fd)
{
	struct socket_watch *watch = g_new0(struct socket_watch, 1);

	watch->loop = loop;
	ev_io_init(&watch->io, on_socket_ready, fd, 0);
	watch->io.data = watch;
	g_hash_table_add(loop->watches, watch);
	curl_multi_assign(loop->multi, fd, watch);
	return watch;
}

/* CURLMOPT_SOCKETFUNCTION: sets the events to watch a socket for. */
static int on_socket_update(CURL *easy, curl_socket_t fd, int what,
			    void *loop_data, void *socket_data)
{
	struct curl_loop *loop = loop_data;
	struct socket_watch *watch = socket_data;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch)
			g_hash_table_remove(loop->watches, watch);
		return 0;
	}
	if (!watch)
		watch = watch_new(loop, fd);
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(loop->ev, &watch->io);
	ev_io_set(&watch->io, fd, events);
	ev_io_start(loop->ev, &watch->io);
	return 0;
}

static int on_timer_update(CURLM *multi, long timeout_ms, void *loop_data)
{
	struct curl_loop *loop = loop_data;

	(void)multi;
	ev_timer_stop(loop->ev, &loop->timer);
	if (timeout_ms < 0)
		return 0;
	ev_now_update(loop->ev);
	ev_timer_set(&loop->timer, (double)timeout_ms / 1000., 0.);
	ev_timer_start(loop->ev, &loop->timer);
	return 0;
}

struct curl_loop *curl_loop_new(struct ev_loop *ev)
{
	struct curl_loop *loop = g_new0(struct curl_loop, 1);

	loop->ev = ev;
	loop->multi = curl_multi_init();
	loop->transfers = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	loop->watches = g_hash_table_new_full(NULL, NULL, watch_free, NULL);
	ev_timer_init(&loop->timer, on_timer, 0., 0.);
	loop->timer.data = loop;
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION,
			  on_socket_update);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timer_update);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS,
			  IDLE_CONNECTIONS_MAX_COUNT);
	return loop;
}

void curl_loop_limit_connections(struct curl_loop *loop, uint32_t count)
{
	curl_multi_setopt(loop->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)count);
}

void curl_loop_free(struct curl_loop *loop)
{
	GHashTableIter iter;
	gpointer easy;

	if (!loop)
		return;
	g_hash_table_iter_init(&iter, loop->transfers);
	while (g_hash_table_iter_next(&iter, &easy, NULL))
		curl_multi_remove_handle(loop->multi, easy);
	curl_multi_cleanup(loop->multi);
	ev_timer_stop(loop->ev, &loop->timer);
	g_hash_table_unref(loop->transfers);
	g_hash_table_unref(loop->watches);
	g_free(loop);
}

CURL *curl_loop_easy_new(void)
{
	CURL *easy = curl_easy_init();

	if (!easy)
		return NULL;
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	/* An empty name also overrides the environment's proxy. */
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 1L);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_CONNECTION_MAX_S);
	return easy;
}

uint32_t curl_loop_status(CURL *easy)
{
	long code = 0; /* the type that libcurl writes */

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &code);
	return (uint32_t)code;
}

bool curl_loop_submit(struct curl_loop *loop, CURL *easy,
		      void (*done)(void *data, CURL *easy, CURLcode result),
		      void *data)
{
	struct transfer *transfer = g_new0(struct transfer, 1);

	transfer->easy = easy;
	transfer->done = done;
	transfer->data = data;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	g_hash_table_insert(loop->transfers, easy, transfer);
	if (curl_multi_add_handle(loop->multi, easy) == CURLM_OK)
		return true;
	g_hash_table_remove(loop->transfers, easy);
	return false;
}

void curl_loop_cancel(struct curl_loop *loop, CURL *easy)
{
	if (!g_hash_table_contains(loop->transfers, easy))
		return;
	curl_multi_remove_handle(loop->multi, easy);
	g_hash_table_remove(loop->transfers, easy);
}
