#ifndef IO_CURL_LOOP_H
#define IO_CURL_LOOP_H

/*
 * HTTP client transfers on libev: a libcurl multi handle driven by its socket
 * and timer callbacks.
 */

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

struct curl_loop;

struct curl_loop *curl_loop_new(struct ev_loop *ev);

/*
 * Limits the connections to one address; further transfers wait for one of
 * them. 0: no limit.
 */
void curl_loop_limit_connections(struct curl_loop *loop, uint32_t count);

/* Aborts all transfers without calling done(). */
void curl_loop_free(struct curl_loop *loop);

/*
 * Returns an easy handle with the options that all clients share: plain HTTP,
 * no proxy, no redirects, no signals. NULL if out of memory.
 */
CURL *curl_loop_easy_new(void);

/* HTTP status of the response, or 0 if there is none. */
uint32_t curl_loop_status(CURL *easy);

/*
 * Starts a transfer. The caller keeps the handle and must not free it before
 * done() is called or curl_loop_cancel() returns. done() is called from the
 * loop, never from within this function; the handle may then be freed or
 * submitted again. CURLOPT_PRIVATE of the handle is reserved. Returns false if
 * the transfer can't start; done() is then not called.
 */
bool curl_loop_submit(struct curl_loop *loop, CURL *easy,
		      void (*done)(void *data, CURL *easy, CURLcode result),
		      void *data);

/* Aborts a transfer and closes its connection; done() is not called. */
void curl_loop_cancel(struct curl_loop *loop, CURL *easy);

#endif
