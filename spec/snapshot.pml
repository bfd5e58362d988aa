/*
 * Snapshots under the limited retention of the log. A writer appends records
 * and two-part snapshots, the platform trims old records, and a reader that
 * starts at any time must reconstruct the state after the last record.
 *
 * The state is the number of records applied, so that any gap changes it.
 *
 * Variants that must fail:
 *   NO_GAP_CHECK  the reader takes a snapshot older than the first record
 *   ONE_PART      the reader takes a snapshot whose other part is missing
 *   EARLY_TRIM    records are trimmed before a newer complete snapshot exists,
 *                 and a reader still expects to find a state
 */

#define OFFSETS 10

#define RECORD 1
#define PART_ONE 2
#define PART_TWO 3

byte kind[OFFSETS + 1]; /* by offset, from 1 */
byte base[OFFSETS + 1]; /* of a part: records that it covers, by offset */
byte state_at[OFFSETS + 1]; /* state after the offset */
byte part_state_at[OFFSETS + 1]; /* of a part: the state that it holds */
byte tail = 0;
byte first = 1;
byte state = 0;
byte complete_base = 0; /* base of the newest complete snapshot */
byte complete_first = 0; /* offset of its first part */
bool overrun = false; /* trimmed a record that no complete snapshot covers */

proctype writer()
{
	byte part_base = 0;
	byte part_state = 0;
	byte part_first = 0;
	bool captured = false;

	do
	:: atomic {
			(tail < OFFSETS) ->
				tail++;
				kind[tail] = RECORD;
				state++;
				state_at[tail] = state;
		}
	:: /* capture the state; other records may precede the parts */
		atomic {
			(part_first == 0 && !captured) ->
				captured = true;
				part_base = tail;
				part_state = state;
		}
	:: /* append part one; other records may precede part two */
		atomic {
			(tail < OFFSETS && captured) ->
				captured = false;
				tail++;
				part_first = tail;
				kind[tail] = PART_ONE;
				base[tail] = part_base;
				part_state_at[tail] = part_state;
				state_at[tail] = state;
		}
	:: atomic {
			(tail < OFFSETS && part_first != 0) ->
				tail++;
				kind[tail] = PART_TWO;
				base[tail] = part_base;
				part_state_at[tail] = part_state;
				state_at[tail] = state;
				complete_base = part_base;
				complete_first = part_first;
				part_first = 0;
		}
	:: (tail == OFFSETS) -> break;
	od
}

/*
 * Retention. Records covered by the newest complete snapshot may be trimmed. If
 * the log trims more, because snapshots came too late, a reader may find no
 * state, but never a wrong one.
 */
proctype platform()
{
	do
	:: atomic {
			(first < tail) ->
#ifndef EARLY_TRIM
				if
				:: (complete_first != 0 && first < complete_first &&
				    first <= complete_base) -> skip;
				:: else -> overrun = true;
				fi;
#endif
				first++;
		}
	:: (tail == OFFSETS) -> break;
	od
}

/* Reads all retained records atomically, at any time, and replays them. */
proctype reader()
{
	byte at;
	byte have_base;
	byte have_state;
	byte part_base;
	bool have_part;
	bool ready;

	atomic {
		(tail > 0) ->
		at = first;
		/* The log was never trimmed: replay from the empty state. */
		ready = (first == 1);
		do
		:: (at > tail) -> break;
		:: (at <= tail && kind[at] == PART_ONE) ->
			have_part = true;
			part_base = base[at];
#ifdef ONE_PART
			if
			:: (!ready && base[at] + 1 >= first) ->
				ready = true;
				have_base = base[at];
				have_state = part_state_at[at] - 1;
			:: else -> skip;
			fi;
#endif
			at++;
		:: (at <= tail && kind[at] == PART_TWO) ->
			if
			:: (!ready && have_part && part_base == base[at]
#ifndef NO_GAP_CHECK
			    && base[at] + 1 >= first
#endif
			    ) ->
				ready = true;
				have_base = base[at];
				have_state = part_state_at[at];
			:: else -> skip;
			fi;
			at++;
		:: (at <= tail && kind[at] == RECORD) -> at++;
		od;
		/* Replay the records after the base. */
		if
		:: ready ->
			at = (have_base + 1 > first -> have_base + 1 : first);
			do
			:: (at > tail) -> break;
			:: (at <= tail) ->
				have_state = have_state +
					     (kind[at] == RECORD -> 1 : 0);
				at++;
			od;
			assert(have_state == state_at[tail]);
		:: else ->
			assert(overrun);
		fi
	}
}

init {
	atomic {
		run writer();
		run platform();
		run reader();
	}
}
