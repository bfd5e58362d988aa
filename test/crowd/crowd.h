#ifndef CROWD_H
#define CROWD_H

/*
 * Misbehaving clients against one entry instance, a real process, on loopback
 * addresses. The store and the HTTP code are those of review/common-2.
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define QUEUE_HOST "plans.example"
#define BODY_MAX_BYTES 262144
#define HEADERS_MAX_BYTES 16384
#define VARIANTS_MAX_COUNT 32

/* world.c */

int64_t world_ms(void);
void world_sleep_ms(int64_t ms);
/* Starts the stand-ins of the store and of the list of machines. */
void world_open(int *store_port, int *machines_port);

/* entry.c */

enum target {
	TARGET_QUEUE,	 /* a path that belongs to a queue */
	TARGET_NO_QUEUE, /* on the same address */
	TARGET_READINESS,
	TARGET_METRICS,
	TARGET_COUNT,
};

/* What the entry instance has used at most. */
struct entry_peak {
	uint64_t memory_kb; /* VmHWM */
	uint32_t fd_count;
};

/* How the process is started, and which interface it serves. */
struct entry_setup {
	const char *program;
	const char *folder;
	bool serve; /* its own interface; otherwise that of the users' platform
		     */
	int store_port;
	int machines_port;
	uint32_t memory_mb;
	uint32_t max_fds;
};

/* Starts the process and waits until it is ready. */
bool entry_start(const struct entry_setup *setup);
/* Returns false if the process has ended. */
bool entry_measure(struct entry_peak *peak);
const char *entry_ip(void);
int entry_port(enum target target);
/*
 * Whether a submitted job is accepted and shown, and the process is ready. With
 * its own interface, which has no configuration here: whether a request gets
 * its answer and the metrics are shown.
 */
bool entry_serves(int64_t until_ms);
void entry_stop(void);

/* cases.c */

enum reading {
	READ_ALL,
	READ_SLOWLY,
	READ_NOTHING,
};

struct crowd_case {
	const char *name;
	bool serve; /* see struct entry_setup */
	/* Writes everything that one client sends. */
	void (*write)(GString *to, enum target target, uint32_t variant);
	uint32_t variant_count;
	uint32_t client_counts[TARGET_COUNT];
	uint32_t withheld_bytes;  /* at the end, of 7 out of 8 clients */
	uint32_t piece_bytes;	  /* of one send(); 0: unlimited */
	uint32_t reconnect_count; /* after the connection was closed */
	enum reading reading;
	/*
	 * Sent at once by a client of a variant; the rest follows byte by byte
	 * if trickles is set, otherwise the client stops. 0: everything.
	 */
	struct {
		uint32_t burst_bytes;
		bool trickles;
	} pace[VARIANTS_MAX_COUNT];
};

extern const struct crowd_case crowd_cases[];
extern const uint32_t crowd_case_count;

/* clients.c */

/* Runs the clients of a case on a thread of their own until crowd_stop(). */
void crowd_start(const struct crowd_case *crowd_case);
void crowd_stop(void);

#endif
