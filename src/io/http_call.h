#ifndef IO_HTTP_CALL_H
#define IO_HTTP_CALL_H

/* One HTTP request with a response of limited size. */

#include <glib.h>

#include "core/types.h"
#include "io/curl_loop.h"

struct http_call;

struct http_spec {
	const char *url;
	GBytes *body; /* of a POST; NULL: GET */
	const char *content_type;
	const char *if_none_match; /* ETag of a cached response, or NULL */
	const char *const
		*headers;   /* "Name: value", NULL at the end; or NULL */
	int64_t timeout_us; /* of the whole call, with the connect */
	int64_t send_by_us; /* not sent later, by clock_now_us(); 0: no limit */
	/*
	 * Resets the connection when it is closed: what the server has not
	 * received by then, it never will. Applies to the connections that
	 * this call opens.
	 */
	bool reset_on_close;
	size_t response_max_bytes;
};

struct http_result {
	bool sent;     /* the server may have read the request */
	bool complete; /* the whole response was received */
	uint32_t status;
	const GByteArray *body;
	const char *etag; /* of the response, or NULL */
};

typedef void http_done_fn(void *data, const struct http_result *result);

/*
 * done() is called once from the loop, unless the call is cancelled. The call
 * is freed when done() returns. Returns NULL if the request can't start.
 */
struct http_call *http_call_start(struct curl_loop *loop,
				  const struct http_spec *spec,
				  http_done_fn *done, void *data);
void http_call_cancel(struct http_call *call);

#endif
