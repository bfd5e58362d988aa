#include "io/serve_limits.h"

/* Of memory_mb, for everything that is held for clients. */
#define BUDGET_PERCENT 45
#define CALLERS_MAX_COUNT 1024
#define OPERATORS_MAX_COUNT 64
/* The other descriptors are for endpoints, the log and other instances. */
#define CALLERS_FDS_DIVISOR 8
#define CALLERS_FDS_FACTOR 3
#define OPERATORS_FDS_DIVISOR 16
/* Bodies of operators, who send few at a time. */
#define OPERATORS_BODIES_BYTES (UINT64_C(8) * 1024 * 1024)
#define OPERATORS_BUDGET_DIVISOR 4
/* Like the limits of entry; a slow client is closed by the timeout as well. */
#define RATE_MIN_BYTES_PER_S 4096
#define GRACE_US (15 * USEC_PER_SEC)

static uint64_t budget_bytes(const struct settings *settings)
{
	return (uint64_t)settings->memory_mb * 1024 * 1024 / 100 *
	       BUDGET_PERCENT;
}

static uint32_t operators_count(const struct settings *settings)
{
	return MIN(OPERATORS_MAX_COUNT,
		   settings->max_fds / OPERATORS_FDS_DIVISOR);
}

static uint64_t operators_bytes(const struct settings *settings)
{
	uint64_t connections_bytes =
		(uint64_t)operators_count(settings) * HTTPD_CONNECTION_BYTES;

	return MIN(connections_bytes + OPERATORS_BODIES_BYTES,
		   budget_bytes(settings) / OPERATORS_BUDGET_DIVISOR);
}

static void set_limits(struct kernel *kernel, struct httpd_limits *limits,
		       struct conn_limits *conn_limits, uint64_t max_bytes)
{
	*conn_limits = (struct conn_limits){
		.partition_max_bytes = { max_bytes, max_bytes },
		.rate_min_bytes_per_s = RATE_MIN_BYTES_PER_S,
		.grace_us = GRACE_US,
	};
	limits->conn_limits = conn_limits;
	limits->counters = kernel_counters(kernel);
}

void serve_limits_callers(struct kernel *kernel, struct httpd_limits *limits,
			  struct conn_limits *conn_limits)
{
	const struct settings *settings = kernel_settings(kernel);

	limits->connections_max_count =
		MIN(CALLERS_MAX_COUNT, settings->max_fds / CALLERS_FDS_DIVISOR *
					       CALLERS_FDS_FACTOR);
	set_limits(kernel, limits, conn_limits,
		   budget_bytes(settings) - operators_bytes(settings));
}

void serve_limits_operators(struct kernel *kernel, struct httpd_limits *limits,
			    struct conn_limits *conn_limits)
{
	const struct settings *settings = kernel_settings(kernel);

	limits->connections_max_count = operators_count(settings);
	set_limits(kernel, limits, conn_limits, operators_bytes(settings));
}
