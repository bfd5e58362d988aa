#ifndef JOBS_JOB_H
#define JOBS_JOB_H

/*
 * Jobs of steps of work items. What a job asks for never changes; the progress
 * of its items is changed by the holder of the jobs and stored before anything
 * depends on it.
 */

#include <glib.h>

#include "core/types.h"

#define JOB_ID_SIZE_BYTES 17 /* 16 hexadecimal digits and a NUL */
#define JOB_STEPS_MAX_COUNT 64
#define JOB_ITEMS_MAX_COUNT 20000
#define JOB_TEXT_MAX_BYTES 4000

struct job_step {
	uint32_t item_count;
	uint32_t cpu_milli; /* of one item, thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu_count;
	uint32_t estimate_ms;	 /* declared; often far off */
	uint32_t max_per_worker; /* items on one worker; 0: no bound */
	uint32_t
		max_unavailable; /* lasting items away at once; 0: none given */
	uint32_t target_ms;  /* response time of items that serve; 0: none */
	uint64_t after_mask; /* steps that must be done before */
	bool gang;	     /* all items run together or not at all */
	bool one_rack;	     /* slower when it spans racks */
	bool saves;	     /* checkpoints its progress */
	bool copies_allowed; /* duplicates of one item may run */
	bool lasting;	     /* runs until the job is cancelled */
	bool filler;	     /* takes capacity that others leave */
	char label[NAME_SIZE_BYTES]; /* that the worker must have */
	char rack[NAME_SIZE_BYTES];  /* where its data is */
	char image[NAME_SIZE_BYTES]; /* items of one image behave alike */
};

/* Refcounted with g_rc_box; immutable once it is shared. */
struct job_spec {
	char *text; /* passed on to workers unread */
	GArray *steps;
	int64_t first_due_ms; /* wall clock; of occurrence 0 */
	int64_t interval_ms;
	uint32_t occurrence_count; /* 0: runs once, at once */
};

struct job_spec *job_spec_new(void);
struct job_spec *job_spec_ref(struct job_spec *spec);
void job_spec_unref(struct job_spec *spec);

/* Why the job can't be accepted, or NULL. */
const char *job_spec_check(const struct job_spec *spec);

uint32_t job_spec_items_per_occurrence(const struct job_spec *spec);
uint32_t job_spec_occurrences(const struct job_spec *spec);

enum item_phase {
	ITEM_WAITING,  /* on no worker */
	ITEM_STORING,  /* its placement is being stored */
	ITEM_STORED,   /* its start is to be ordered */
	ITEM_STARTING, /* ordered, not known to run */
	ITEM_RUNNING,
	ITEM_STOPPING,
	ITEM_DONE,
};

struct job_item {
	enum item_phase phase;
	uint32_t run; /* number of the newest run; 0: none yet */
	uint32_t failed_count;
	const char *worker; /* interned id; NULL: on none */
	char *saved;	    /* newest checkpoint; NULL: none */
	/* The rest is the holder's and not stored. */
	uint32_t progress_percent; /* of its work as the worker reports it */
	uint32_t observed;	   /* tail in ms, or cpu in use */
	bool settled;	      /* no order of this run can still be under way */
	uint64_t list_number; /* newest list of its worker that has it */
	uint64_t store_write_id; /* write that stores the placement; 0: none */
	int64_t stored_us;	 /* its placement was stored */
	uint32_t pace_percent;	 /* share of its work that it may do */
	int64_t ordered_us;
	uint32_t orders_count; /* starts and stops of this run under way */
	int64_t confirmed_us;  /* first seen running; 0: not yet */
	int64_t unavailable_since_us;	/* not at work since; lasting items */
	int64_t progress_changed_us;	/* work_percent has changed */
	uint32_t straggler_moves_count; /* times that it was taken from a slow
					   worker */
	int64_t retry_us;		/* earliest next placement */
};

enum job_state {
	JOB_PENDING,
	JOB_ACTIVE,
	JOB_COMPLETE,
	JOB_FAILED,
	JOB_CANCELED,
	JOB_STATE_COUNT,
};

/* Items of one step of one occurrence. */
struct step_count {
	uint32_t left;	  /* not done */
	uint32_t waiting; /* on no worker */
};

struct job {
	char id[JOB_ID_SIZE_BYTES];
	char queue[NAME_SIZE_BYTES];
	char pool[NAME_SIZE_BYTES]; /* newest known pool of the queue */
	struct job_spec *spec;
	int64_t submitted_ms;  /* wall clock of the accepting process */
	int64_t first_seen_us; /* read here first */
	enum job_state state;  /* as it is stored */
	bool cancelled;	       /* a cancellation is stored */
	bool begun;	       /* a worker has begun an item */
	int64_t ended_us;      /* 0: not ended */
	uint64_t state_offset; /* of the newest progress applied */
	uint64_t submit_offset;
	GArray *items;			/* of struct job_item */
	struct step_count *step_counts; /* by occurrence and step */
	/* The rest is the holder's and not stored. */
	enum job_state next_state; /* as it will be stored */
	uint32_t left_count;	   /* items not done */
	uint32_t placed_count;	   /* items on a worker */
	bool dirty;
	int64_t objective_us; /* should end by then; 0: not measured yet */
	bool late;	      /* can't, at the newest measurement */
	bool open;	      /* in the list of those that the holder places */
	bool stop_all;
};

struct job *job_new(const char *id, struct job_spec *spec);
void job_free(struct job *job);

struct job_item *job_item(const struct job *job, uint32_t index);
const struct job_step *job_step(const struct job *job, uint32_t step);

/* Step and occurrence that an item belongs to. */
uint32_t job_item_step(const struct job *job, uint32_t index);
uint32_t job_item_occurrence(const struct job *job, uint32_t index);

/* First item of a step of an occurrence. */
uint32_t job_first_item(const struct job *job, uint32_t occurrence,
			uint32_t step);

/* "ID.occurrence.step.index"; size_bytes of NAME_SIZE_BYTES suffices. */
void job_item_name(const struct job *job, uint32_t index, char *to,
		   size_t size_bytes);

/*
 * Splits an item's name. Returns false if it has another form; id gets
 * JOB_ID_SIZE_BYTES.
 */
bool job_item_parse(const char *name, char *id, uint32_t *occurrence,
		    uint32_t *step, uint32_t *index);

/* "ID.occurrence.step"; size_bytes of NAME_SIZE_BYTES suffices. */
void job_step_name(const struct job *job, uint32_t occurrence, uint32_t step,
		   char *to, size_t size_bytes);

bool job_step_is_done(const struct job *job, uint32_t occurrence,
		      uint32_t step);

/* Whether all steps that this one depends on are done in its occurrence. */
bool job_step_is_ready(const struct job *job, uint32_t occurrence,
		       uint32_t step);

/* Wall clock at which an occurrence is due; 0: at once. */
int64_t job_due_ms(const struct job *job, uint32_t occurrence);

bool job_has_ended(const struct job *job);

/* Items of a step in an occurrence, by what is left to do. */
const struct step_count *job_step_count(const struct job *job,
					uint32_t occurrence, uint32_t step);

/* Moves an item to another phase and keeps the counts. */
void job_set_phase(struct job *job, uint32_t index, enum item_phase phase);

/* Counts anew from the items, whose phases were set one by one. */
void job_recount(struct job *job);

bool job_id_is_valid(const char *id);
const char *job_state_text(enum job_state state);

#endif
