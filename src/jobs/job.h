#ifndef JOBS_JOB_H
#define JOBS_JOB_H

/*
 * A job consists of steps, and each step of work items. The specification of a
 * job is immutable. Only the process that holds the lease of the jobs changes
 * the progress of items, and it stores each change before it acts on it.
 */

#include <glib.h>

#include "core/types.h"
#include "jobs/queues.h"

#define JOB_ID_SIZE_BYTES 17 /* 16 hexadecimal digits and a NUL */
#define JOB_STEPS_MAX_COUNT 64
#define JOB_ITEMS_MAX_COUNT 20000
/*
 * The progress of a job is stored in segments of so many items, each in a
 * record of its own, since the size of a record is limited.
 */
#define JOB_SEGMENT_ITEMS_COUNT 128
/* The counts of items are kept in blocks of so many occurrences. */
#define JOB_BLOCK_OCCURRENCES_COUNT 64
#define JOB_TEXT_MAX_BYTES 4000
#define CHECKPOINT_MAX_BYTES 512
/* Until 2286; sums of two, in microseconds, fit into 64 bits. */
#define JOB_TIME_MAX_MS INT64_C(10000000000000)

struct job_step {
	uint32_t item_count;
	uint32_t cpu_milli; /* of one item, thousandths of a core */
	uint32_t mem_mb;
	uint32_t gpu_count;
	uint32_t estimate_ms;	 /* declared run time, often inaccurate */
	uint32_t max_per_worker; /* items on one worker; 0: no limit */
	/* Long-running items that may be out of service; 0: not declared. */
	uint32_t max_unavailable;
	uint32_t target_ms;	  /* tail latency of serving items; 0: none */
	uint64_t dependency_mask; /* bit i: step i must be done first */
	bool gang;		  /* all items run together or not at all */
	bool colocated;		  /* runs slower when it spans racks */
	bool checkpointable;	  /* its items write checkpoints */
	bool speculative;	  /* duplicate runs of an item may overlap */
	bool long_running;	  /* runs until the job is cancelled */
	bool filler;		  /* uses capacity that other items leave */
	char label[NAME_SIZE_BYTES]; /* required of the worker */
	char rack[NAME_SIZE_BYTES];  /* rack that holds its data */
	char image[NAME_SIZE_BYTES]; /* items of one image behave alike */
};

/* After failures on so many workers, a job tells nothing of further ones. */
#define JOB_FAILED_WORKERS_MAX_COUNT 2

/* Refcounted with g_rc_box; immutable once it is shared. */
struct job_spec {
	char *text; /* opaque, passed on to the workers */
	GArray *steps;
	int64_t first_due_ms; /* wall clock; when occurrence 0 is due */
	int64_t interval_ms;
	uint32_t occurrence_count; /* 0: runs once, immediately */
};

struct job_spec *job_spec_new(void);
struct job_spec *job_spec_ref(struct job_spec *spec);
void job_spec_unref(struct job_spec *spec);

/* Returns NULL if the job is acceptable, otherwise the reason why not. */
const char *job_spec_check(const struct job_spec *spec);

/* Upper bound of the size of the stored job, in bytes. */
uint64_t job_spec_stored_max_bytes(const struct job_spec *spec);

/* Memory of a job whose first items are being run, in bytes. */
uint64_t job_spec_held_bytes(const struct job_spec *spec);

uint32_t job_spec_items_per_occurrence(const struct job_spec *spec);
uint32_t job_spec_occurrences(const struct job_spec *spec);

enum item_phase {
	ITEM_WAITING,  /* not placed */
	ITEM_STORING,  /* its placement is being stored */
	ITEM_STORED,   /* placement stored, start not ordered yet */
	ITEM_STARTING, /* start ordered, not known to run */
	ITEM_RUNNING,
	ITEM_STOPPING,
	ITEM_DONE,
};

struct job_item {
	enum item_phase phase;
	uint32_t run; /* number of the newest run; 0: none yet */
	uint32_t failed_count;
	const char *worker; /* interned id; NULL: not placed */
	/* Newest checkpoint, see job_checkpoint_index(); NULL: none */
	char *checkpoint;
	bool ended_done; /* an earlier run was done; a later one is stopped */

	/* Used by the holder only; not stored. */
	uint32_t progress_percent; /* progress reported by the worker */
	uint32_t observed;	   /* tail latency in ms, or CPU in use */
	/* Progress in the current run that the checkpoint stands for */
	uint32_t checkpoint_percent;
	/* Carried by each start of the current run; NULL: none */
	char *start_checkpoint;
	bool ended_broken; /* the run ended as another member of the gang did */
	bool settled;	   /* no order of this run is unresolved */
	bool start_unanswered; /* a start of this run got no answer */
	/* Until then a start without an answer may be carried out; 0: none */
	int64_t start_late_until_us;
	/* The run began in the life of its worker that answered holds last. */
	bool life_known;
	/* When a start last got an answer, or none; it may have been carried
	 * out until then. 0: no start was. */
	int64_t start_settled_us;
	uint64_t list_number;	 /* newest worker list that contains the item */
	uint64_t store_write_id; /* write that stores the placement; 0: none */
	int64_t stored_us;	 /* when the placement was stored */
	uint32_t pace_percent;	 /* throttling of a filler; 100: full speed */
	int64_t ordered_us;
	uint32_t pending_orders_count; /* starts and stops without a result */
	int64_t confirmed_us;	       /* start or stop confirmed; 0: not yet */
	int64_t unavailable_since_us;  /* long-running; 0: it serves */
	int64_t progress_changed_us;   /* last change of progress_percent */
	uint32_t straggler_moves_count; /* moves off slow workers */
	int64_t retry_us;		/* earliest next placement */
	const char *failed_worker;	/* where the last run failed, or NULL */
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
	uint32_t waiting; /* not placed */
};

struct quota;

struct job {
	char id[JOB_ID_SIZE_BYTES];
	char queue[NAME_SIZE_BYTES];
	/* Of the newest configuration read that has the queue */
	char pool[NAME_SIZE_BYTES];
	struct queue_policy policy;
	char member[NAME_SIZE_BYTES]; /* that submitted it; empty: none */
	struct member_policy member_policy;
	bool over_rate; /* beyond the rate that its member may submit */
	struct job_spec *spec;
	int64_t submitted_ms; /* wall clock of the accepting process */
	/* When it was first read here, less its age in a snapshot. */
	int64_t first_seen_us;
	enum job_state state; /* stored state */
	bool cancelled;	      /* a cancellation is stored */
	bool begun;	      /* a worker has started an item */
	int64_t ended_us;     /* 0: not ended */
	uint64_t submit_offset;
	/* By segment: offset of the newest progress applied */
	uint64_t *segment_offsets;
	uint32_t item_count;
	/*
	 * By segment: its items, which are allocated when one of them changes.
	 * NULL: all are as `untouched`. Segments that are done share one item.
	 */
	struct job_item **segments;
	struct job_item untouched;
	/*
	 * By block of JOB_BLOCK_OCCURRENCES_COUNT, then by occurrence and step.
	 * NULL: all items are waiting.
	 */
	struct step_count **step_counts;
	uint64_t held_bytes; /* memory of the job */
	uint64_t *held_sum;  /* includes held_bytes; NULL: no such sum */
	/* Used by the holder only; not stored. */
	enum job_state next_state; /* state that the next write stores */
	uint32_t left_count;	   /* items not done */
	uint32_t placed_count;	   /* items on a worker */
	bool dirty;		   /* has progress that is not stored */
	bool *dirty_segments;	   /* by segment: where that progress is */
	int64_t objective_us; /* time by which it should end; 0: not computed */
	bool late;	      /* expected to miss the objective */
	bool open;	      /* in the scheduler's list of open jobs */
	/* Workers on which it failed first; interned ids */
	const char *failed_workers[JOB_FAILED_WORKERS_MAX_COUNT];
	uint32_t failed_workers_count;
	bool stop_all;	     /* running items are stopped, none is started */
	struct quota *quota; /* of its member; NULL: none */
};

struct job *job_new(const char *id, struct job_spec *spec);
void job_free(struct job *job);

/* Counts what the job holds in a sum, until it is freed. */
void job_count_in(struct job *job, uint64_t *sum);

/* An item that may be changed. Allocates the items of its segment. */
struct job_item *job_item(struct job *job, uint32_t index);

/* An item that is only read, until the next change of the job. */
const struct job_item *job_item_view(const struct job *job, uint32_t index);

/* Whether the segment has no items of its own: none is placed. */
bool job_segment_is_shared(const struct job *job, uint32_t segment);

/* Frees the items of a segment if all are done. */
void job_release_done_segment(struct job *job, uint32_t segment);

/* Replaces a checkpoint of an item of the job by a copy; NULL: by none. */
void job_replace_checkpoint(struct job *job, char **checkpoint, const char *by);

const struct job_step *job_step(const struct job *job, uint32_t step);

/* Step and occurrence of an item. */
uint32_t job_item_step(const struct job *job, uint32_t index);
uint32_t job_item_occurrence(const struct job *job, uint32_t index);

/* Segments of the stored progress; the state is stored with segment 0. */
uint32_t job_segments_count(const struct job *job);
uint32_t job_item_segment(uint32_t index);

/* First item of a step of an occurrence. */
uint32_t job_first_item(const struct job *job, uint32_t occurrence,
			uint32_t step);

/*
 * The item that keeps the checkpoint of an item: itself or, as the members of
 * a gang must all resume from the same one, the first member.
 */
uint32_t job_checkpoint_index(const struct job *job, uint32_t index);

/* "ID.occurrence.step.index"; size_bytes of NAME_SIZE_BYTES suffices. */
void job_item_name(const struct job *job, uint32_t index, char *to,
		   size_t size_bytes);

/*
 * Splits the name of an item. Returns false if it is malformed. id must have
 * room for JOB_ID_SIZE_BYTES.
 */
bool job_item_parse(const char *name, char *id, uint32_t *occurrence,
		    uint32_t *step, uint32_t *index);

/* "ID.occurrence.step"; size_bytes of NAME_SIZE_BYTES suffices. */
void job_step_name(const struct job *job, uint32_t occurrence, uint32_t step,
		   char *to, size_t size_bytes);

bool job_step_is_done(const struct job *job, uint32_t occurrence,
		      uint32_t step);

/* Whether all steps that this one depends on are done in the occurrence. */
bool job_step_is_ready(const struct job *job, uint32_t occurrence,
		       uint32_t step);

/* Wall-clock time at which an occurrence is due; 0: immediately. */
int64_t job_due_ms(const struct job *job, uint32_t occurrence);

bool job_has_ended(const struct job *job);

/* Number of unfinished items of a step in an occurrence. */
struct step_count job_step_count(const struct job *job, uint32_t occurrence,
				 uint32_t step);

/* Sets the phase of an item and updates the counts of the job and its step. */
void job_set_phase(struct job *job, uint32_t index, enum item_phase phase);

/* Recomputes the counts after phases were set without job_set_phase(). */
void job_recount(struct job *job);

bool job_id_is_valid(const char *id);
const char *job_state_text(enum job_state state);

#endif
