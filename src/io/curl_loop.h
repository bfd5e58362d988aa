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

/* Transfers beyond so many to one address wait for a connection; 0: none do. */
void curl_loop_bound_connections(struct curl_loop *loop, uint32_t count);

/* Ends all transfers without calling their callbacks. */
void curl_loop_free(struct curl_loop *loop);

/*
 * A new easy handle with the options that all our clients share: plain HTTP,
 * no proxy, no redirects, no signals. NULL if libcurl has no memory.
 */
CURL *curl_loop_easy_new(void);

/* HTTP status of the answer, or 0 if there is none. */
uint32_t curl_loop_status(CURL *easy);

/*
 * Starts a transfer. The handle stays the caller's, who must not free it
 * before done() is called or curl_loop_cancel() returns. done() is called
 * from the loop, never from within this function; by then the handle has left
 * the loop and may be freed or submitted again. The handle's CURLOPT_PRIVATE
 * is used here. Returns false if the transfer can't start; done() is then not
 * called.
 */
bool curl_loop_submit(struct curl_loop *loop, CURL *easy,
		      void (*done)(void *data, CURL *easy, CURLcode result),
		      void *data);

/* Ends a transfer and closes its connection; done() is not called. */
void curl_loop_cancel(struct curl_loop *loop, CURL *easy);

#endif
