/*
 * Maintenance in waves: each machine of a wave is emptied, within the limits
 * of unavailable items of its steps, and then ordered into maintenance. At
 * most max_down_count machines are in either state at once.
 */

#include <string.h>

#include "jobs/sched.h"
#include "kernel/decision_log.h"

/* Delay before a refused or unanswered order is sent again. */
#define WAVE_ORDER_RETRY_US (500 * USEC_PER_MSEC)
/*
 * Items that are neither long-running nor checkpointable have this long to end
 * by themselves.
 */
#define EMPTYING_GRACE_US (6 * USEC_PER_SEC)
/* Time until the end of a stopped item shows in a worker's list. */
#define STOP_REPORT_DELAY_US (300 * USEC_PER_MSEC)
/* A machine's worker, if it has one, is in the directory within this time. */
#define WORKER_DISCOVERY_US (4 * USEC_PER_SEC)
/* A machine that no list contains for this long has left the platform. */
#define UNLISTED_TIMEOUT_US (3 * USEC_PER_SEC)
/* Keeps the ids of status writes distinct from those of other writers. */
#define STATUS_WRITE_ID_BASE (UINT64_C(1) << 62)

void wave_free(gpointer data)
{
	struct wave *wave = data;

	g_array_unref(wave->machines);
	g_free(wave);
}

static struct wave *wave_find(const struct sched *sched, uint64_t number)
{
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];

		if (wave->number == number)
			return wave;
	}
	return NULL;
}

static struct wave_machine *wave_machine_find(struct wave *wave,
					      const char *name)
{
	for (guint i = 0; i < wave->machines->len; i++) {
		struct wave_machine *machine =
			&g_array_index(wave->machines, struct wave_machine, i);

		if (!strcmp(machine->name, name))
			return machine;
	}
	return NULL;
}

bool machine_is_pending_in_wave(const struct sched *sched, const char *name)
{
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];
		const struct wave_machine *machine =
			wave->complete ? NULL : wave_machine_find(wave, name);

		if (machine && machine->step != WAVE_DONE)
			return true;
	}
	return false;
}

static void set_step(const struct wave *wave, struct wave_machine *machine,
		     enum wave_step step, const char *reason)
{
	static const char *const names[] = {
		[WAVE_WAITING] = "waiting",
		[WAVE_EMPTYING] = "emptying",
		[WAVE_ORDERED] = "ordered",
		[WAVE_DONE] = "done",
	};

	if (machine->step == step)
		return;
	decision_log("wave-machine",
		     "wave=%" G_GUINT64_FORMAT " machine=%s step=%s reason=%s",
		     wave->number, machine->name, names[step], reason);
	machine->step = step;
}

bool machine_is_active_in_wave(const struct sched *sched, const char *name)
{
	for (guint i = 0; i < sched->waves->len; i++) {
		const struct wave_machine *machine =
			wave_machine_find(sched->waves->pdata[i], name);

		if (machine &&
		    (machine->step == WAVE_EMPTYING ||
		     machine->step == WAVE_ORDERED || machine->order_pending ||
		     machine->outcome_unknown))
			return true;
	}
	return false;
}

/* Machines with an accepted order of an earlier holder aren't emptied again. */
static void apply_stored_progress(struct sched *sched, struct wave *wave)
{
	const GByteArray *ordered =
		g_hash_table_lookup(sched->stored_wave_progress, &wave->number);

	for (guint i = 0; ordered && i < wave->machines->len; i++) {
		struct wave_machine *machine =
			&g_array_index(wave->machines, struct wave_machine, i);

		if (i / 8 < ordered->len &&
		    (ordered->data[i / 8] >> (i % 8) & 1) &&
		    machine->step < WAVE_ORDERED)
			machine->step = WAVE_ORDERED;
	}
}

void waves_on_record(struct sched *sched, const struct job_record *record)
{
	struct wave *wave = wave_find(sched, record->wave);

	g_hash_table_replace(sched->stored_wave_progress,
			     g_memdup2(&record->wave, sizeof(record->wave)),
			     g_byte_array_ref(record->done));
	if (wave && !sched->is_holder)
		apply_stored_progress(sched, wave);
}

void waves_add_progress(struct sched *sched, struct store_write *write)
{
	sched->waves_dirty = false;
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];
		struct job_record *record;

		if (!wave->dirty)
			continue;
		wave->dirty = false;
		record = job_record_new(JOB_RECORD_WAVE);
		record->wave = wave->number;
		record->done = g_byte_array_new();
		g_byte_array_set_size(record->done,
				      (wave->machines->len + 7) / 8);
		memset(record->done->data, 0, record->done->len);
		for (guint j = 0; j < wave->machines->len; j++) {
			const struct wave_machine *machine = &g_array_index(
				wave->machines, struct wave_machine, j);

			if (machine->step >= WAVE_ORDERED && !machine->departed)
				record->done->data[j / 8] |=
					(guint8)(1 << (j % 8));
		}
		g_ptr_array_add(write->records, record);
	}
}

void waves_on_seen(struct sched *sched, const struct wave_seen *seen)
{
	struct wave *wave = wave_find(sched, seen->wave);

	if (wave)
		return;
	wave = g_new0(struct wave, 1);
	wave->number = seen->wave;
	wave->max_down_count = MAX(seen->max_count, 1);
	wave->seen_us = sched_now_us(sched);
	wave->due_us = wave->seen_us + seen->duration_us;
	wave->machines = g_array_new(FALSE, TRUE, sizeof(struct wave_machine));
	for (guint i = 0; i < seen->machines->len; i++) {
		struct wave_machine machine = {
			.name = seen->machines->pdata[i],
		};

		g_array_append_val(wave->machines, machine);
	}
	g_ptr_array_add(sched->waves, wave);
	apply_stored_progress(sched, wave);
	decision_log("wave-seen",
		     "wave=%" G_GUINT64_FORMAT
		     " machines=%u max=%u due_ms=%" G_GINT64_FORMAT,
		     wave->number, wave->machines->len, wave->max_down_count,
		     seen->duration_us / USEC_PER_MSEC);
}

static uint32_t down_count(const struct sched *sched, const struct wave *wave)
{
	uint32_t count = 0;

	for (guint i = 0; i < wave->machines->len; i++) {
		const struct wave_machine *machine =
			&g_array_index(wave->machines, struct wave_machine, i);

		const struct machine *listed =
			machine_find(sched, machine->name);

		if (machine->step == WAVE_ORDERED || machine->order_pending ||
		    machine->outcome_unknown ||
		    machine_may_have_order(sched, machine->name) ||
		    (listed && listed->state == MACHINE_UPKEEP))
			count++;
	}
	return count;
}

static uint32_t emptying_count(const struct wave *wave)
{
	uint32_t count = 0;

	for (guint i = 0; i < wave->machines->len; i++)
		count += g_array_index(wave->machines, struct wave_machine, i)
				 .step == WAVE_EMPTYING;
	return count;
}

/*
 * Stops the items on a worker that may be stopped: long-running ones within
 * their limits, others if they checkpoint or the grace time is over.
 */
static void evict_items(struct sched *sched, struct worker *worker,
			bool in_grace)
{
	for (guint i = worker->placed->len; i > 0; i--) {
		struct placement placement = worker_placement(worker, i - 1);
		const struct job_step *step = placement_step(&placement);

		if (step->long_running ? !item_may_be_stopped(placement.job,
							      placement.index)
				       : in_grace && !step->checkpointable)
			continue;
		item_stop(sched, placement.job, placement.index, "upkeep");
	}
}

/*
 * Lifts the cordon of the machine's worker if it was set for maintenance, which
 * may have replaced that of a worker that drains.
 */
static void uncordon(struct sched *sched, const struct machine *listed)
{
	struct worker *worker =
		listed ? worker_find(sched, listed->worker) : NULL;

	if (worker && worker->cordon == CORDON_MAINTENANCE) {
		worker->cordon = worker->draining ? CORDON_DRAIN : CORDON_NONE;
		sched_request_placement(sched);
	}
}

static void order_maintenance(struct sched *sched, struct wave *wave,
			      struct wave_machine *machine)
{
	struct machine_order order = { .upkeep = true, .wave = wave->number };

	g_strlcpy(order.machine, machine->name, sizeof(order.machine));
	if (machine_order_queue(sched, &order))
		machine->order_pending = true;
}

static void start_emptying(struct sched *sched, const struct wave *wave,
			   struct wave_machine *machine, struct worker *worker)
{
	set_step(wave, machine, WAVE_EMPTYING, "turn");
	machine->step_started_us = sched_now_us(sched);
	if (worker && worker->cordon == CORDON_NONE)
		worker->cordon = CORDON_MAINTENANCE;
}

/*
 * A machine that is absent from consecutive lists has left the platform. Lists
 * requested before the wave was seen don't count: the machine may have joined
 * since.
 */
static void check_unlisted(struct sched *sched, const struct wave *wave,
			   struct wave_machine *machine)
{
	if (sched->machine_list_as_of_us <= wave->seen_us)
		return;
	if (!machine->unlisted_us)
		machine->unlisted_us = sched->machine_list_as_of_us;
	if (sched->machine_list_as_of_us - machine->unlisted_us <
	    UNLISTED_TIMEOUT_US)
		return;
	machine->departed = true;
	set_step(wave, machine, WAVE_DONE, "unlisted");
}

static void advance_machine(struct sched *sched, struct wave *wave,
			    struct wave_machine *machine)
{
	int64_t now_us = sched_now_us(sched);
	const struct machine *listed = machine_find(sched, machine->name);
	struct worker *worker =
		listed ? worker_find(sched, listed->worker) : NULL;

	if (machine->order_pending || now_us < machine->retry_us)
		return;
	if (!listed) {
		check_unlisted(sched, wave, machine);
		return;
	}
	machine->unlisted_us = 0;
	if (listed->state != MACHINE_UP ||
	    now_us < listed->order_not_before_us || listed->moving ||
	    listed->order_pending)
		return;
	if (machine->step == WAVE_WAITING &&
	    emptying_count(wave) + down_count(sched, wave) <
		    wave->max_down_count)
		start_emptying(sched, wave, machine, worker);
	if (machine->step != WAVE_EMPTYING)
		return;
	if (worker && worker->placed->len) {
		worker->cordon = MAX(worker->cordon, CORDON_MAINTENANCE);
		evict_items(sched, worker,
			    now_us - machine->step_started_us <
				    EMPTYING_GRACE_US);
		return;
	}
	if (!machine_is_known_empty(sched, listed) &&
	    now_us - machine->step_started_us < WORKER_DISCOVERY_US)
		return;
	if (down_count(sched, wave) < wave->max_down_count ||
	    machine->outcome_unknown)
		order_maintenance(sched, wave, machine);
}

void waves_on_ordered(struct sched *sched, const struct machine_order *order)
{
	struct wave *wave =
		order->upkeep ? wave_find(sched, order->wave) : NULL;
	struct wave_machine *machine =
		wave ? wave_machine_find(wave, order->machine) : NULL;
	int64_t now_us = sched_now_us(sched);

	if (!machine || !machine->order_pending)
		return;
	machine->order_pending = false;
	machine->retry_us = now_us + WAVE_ORDER_RETRY_US;
	switch (order->result) {
	case MACHINE_OK:
		set_step(wave, machine, WAVE_ORDERED, "accepted");
		wave->dirty = true;
		sched->waves_dirty = true;
		machine->outcome_unknown = false;
		machine->step_started_us = now_us;
		break;
	case MACHINE_NOT_IN_WAVE:
		set_step(wave, machine, WAVE_DONE, "not-of-wave");
		uncordon(sched, machine_find(sched, machine->name));
		machine->outcome_unknown = false;
		break;
	case MACHINE_UNANSWERED:
		machine->outcome_unknown = true;
		break;
	default:
		break;
	}
}

/* Maintenance ends when a newer list shows the machine up or lacks it. */
void waves_on_machines(struct sched *sched)
{
	int64_t now_us = sched_now_us(sched);

	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];

		for (guint j = 0; j < wave->machines->len; j++) {
			struct wave_machine *machine = &g_array_index(
				wave->machines, struct wave_machine, j);
			const struct machine *listed =
				machine_find(sched, machine->name);

			if (machine->step == WAVE_ORDERED &&
			    sched->machine_list_as_of_us >
				    machine->step_started_us &&
			    (!listed ||
			     (listed->state == MACHINE_UP &&
			      now_us - machine->step_started_us >
				      sched->bounds->maintenance_us))) {
				set_step(wave, machine, WAVE_DONE, "up-again");
				uncordon(sched, listed);
			}
		}
	}
}

static void write_status(struct sched *sched, struct wave *wave)
{
	struct store_write *write;
	struct job_record *record;

	if (wave->status_write_id || wave->complete_reported ||
	    (wave->active_reported && !wave->complete))
		return;
	write = store_write_new(STORE_WRITER_STATUS);
	write->write_id = STATUS_WRITE_ID_BASE + sched->next_write_id;
	sched->next_write_id += 2;
	write->token = sched->token;
	record = job_record_new(JOB_RECORD_WAVE_STATUS);
	record->wave = wave->number;
	record->complete = wave->complete;
	g_ptr_array_add(write->records, record);
	wave->status_write_id = write->write_id;
	kernel_emit_msg(sched->kernel, EVENT_STORE_WRITE, write);
}

void waves_on_written(struct sched *sched, const struct store_write *write)
{
	if (write->writer != STORE_WRITER_STATUS)
		return;
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];
		const struct job_record *record = write->records->pdata[0];

		if (wave->status_write_id != write->write_id)
			continue;
		wave->status_write_id = 0;
		if (write->result != STORE_WRITTEN)
			continue;
		wave->active_reported = true;
		wave->complete_reported = record->complete;
	}
}

static bool all_done(const struct wave *wave)
{
	for (guint i = 0; i < wave->machines->len; i++) {
		if (g_array_index(wave->machines, struct wave_machine, i)
			    .step != WAVE_DONE)
			return false;
	}
	return true;
}

static bool is_idle(const struct sched *sched,
		    const struct wave_machine *machine)
{
	const struct machine *listed = machine_find(sched, machine->name);
	const struct worker *worker =
		listed ? worker_find(sched, listed->worker) : NULL;

	return listed && (!worker || !worker->placed->len);
}

/* Idle machines are taken first, as no items have to be moved off them. */
static void advance_machines(struct sched *sched, struct wave *wave, bool idle)
{
	for (guint i = 0; i < wave->machines->len; i++) {
		struct wave_machine *machine =
			&g_array_index(wave->machines, struct wave_machine, i);

		if (machine->step != WAVE_WAITING) {
			if (!idle)
				advance_machine(sched, wave, machine);
		} else if (is_idle(sched, machine) == idle) {
			advance_machine(sched, wave, machine);
		}
	}
}

/*
 * Whether the waves may proceed. A new holder waits until the last orders of
 * earlier holders have taken visible effect: until then, items that are being
 * stopped still look available, and machines that go down still look up.
 */
static bool may_advance(const struct sched *sched)
{
	int64_t age_us = sched_now_us(sched) - sched->held_since_us;

	if (!sched->machine_list_known)
		return false;
	if (!sched->earlier_holder_until_us)
		return true;
	return age_us >=
	       (sched->earlier_ordered_machines
			? sched->bounds->stop_us + STOP_REPORT_DELAY_US
			: sched->bounds->machine_lease_us);
}

void waves_tick(struct sched *sched)
{
	for (guint i = 0; i < sched->waves->len; i++) {
		struct wave *wave = sched->waves->pdata[i];

		write_status(sched, wave);
		if (wave->complete || !may_advance(sched))
			continue;
		advance_machines(sched, wave, true);
		advance_machines(sched, wave, false);
		if (all_done(wave)) {
			wave->complete = true;
			decision_log("wave-complete",
				     "wave=%" G_GUINT64_FORMAT
				     " took_ms=%" G_GINT64_FORMAT,
				     wave->number,
				     (sched_now_us(sched) - wave->seen_us) /
					     USEC_PER_MSEC);
			write_status(sched, wave);
		}
	}
}
