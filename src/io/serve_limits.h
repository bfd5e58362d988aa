#ifndef IO_SERVE_LIMITS_H
#define IO_SERVE_LIMITS_H

/*
 * Limits of the HTTP servers of `serve`, from the size of the machine. What
 * both servers hold is bounded together, each has a part of that.
 */

#include "io/mhd_loop.h"
#include "kernel/kernel.h"

/*
 * Set the limits of connections and of what they hold. limits refers to
 * conn_limits then.
 */
void serve_limits_callers(struct kernel *kernel, struct httpd_limits *limits,
			  struct conn_limits *conn_limits);
void serve_limits_operators(struct kernel *kernel, struct httpd_limits *limits,
			    struct conn_limits *conn_limits);

#endif
