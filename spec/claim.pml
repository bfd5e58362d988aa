/*
 * At-most-once execution of a non-idempotent request: one key, two entry
 * instances; the caller repeats the request through the second one. Appends may
 * be lost, or take effect although their responses are lost, even after the
 * next append.
 *
 * Variants that must fail:
 *   NO_READBACK   an entry instance runs the request as soon as it has appended
 *   LOSE_ORPHAN   the end of an entry instance releases the key that it claimed
 *   FREE_ALWAYS   an attempt that may have run the request releases the key
 */

#define ENTRIES 2
#define TRIES 2

#define NONE 0 /* not claimed */
#define RUNNING 1
#define NOT_RUN 2
#define MAY_HAVE 3

byte claim = NONE; /* replicated state */
byte owner = ENTRIES;
byte runs = 0;
byte in_transit[ENTRIES]; /* claims that may still take effect */
bool dead[ENTRIES];

inline apply_claim(me)
{
	if
	:: (claim == NONE || claim == NOT_RUN) ->
		claim = RUNNING;
		owner = me;
	:: else -> skip;
	fi
}

/* The log: a claim in transit takes effect eventually, or is lost. */
proctype log()
{
	do
	:: atomic { (in_transit[0] > 0) -> in_transit[0]--; apply_claim(0); }
	:: atomic { (in_transit[1] > 0) -> in_transit[1]--; apply_claim(1); }
	:: atomic { (in_transit[0] > 0) -> in_transit[0]--; }
	:: atomic { (in_transit[1] > 0) -> in_transit[1]--; }
	od
}

proctype entry(byte me)
{
	byte tries = 0;
	bool started = false;

	do
	:: /* propose, or retry with the same id: at most one is applied */
		atomic {
			(tries < TRIES && !started && !dead[me] &&
			 in_transit[me] == 0 && owner != me) ->
				tries++;
				in_transit[me]++;
		}
#ifdef NO_READBACK
	:: /* treats the append as accepted without reading the log */
		atomic {
			(tries > 0 && !started && !dead[me]) ->
				started = true;
				runs++;
				assert(runs <= 1);
		}
#else
	:: /* reads back that its own claim was accepted */
		atomic {
			(!started && !dead[me] && owner == me &&
			 claim == RUNNING) ->
				started = true;
				runs++;
				assert(runs <= 1);
		}
#endif
	:: /* certainly not run: refused before any dispatch */
		atomic {
			(!started && !dead[me] && owner == me &&
			 claim == RUNNING) ->
				claim = NOT_RUN;
				owner = ENTRIES;
				tries = TRIES;
		}
	:: /* the attempt was interrupted: may have run */
		atomic {
			(started && !dead[me] && owner == me &&
			 claim == RUNNING) ->
#ifdef FREE_ALWAYS
				claim = NOT_RUN;
#else
				claim = MAY_HAVE;
#endif
				owner = ENTRIES;
		}
	:: /* killed between any two steps; entry_gone ends its claims */
		atomic {
			(!dead[me] && !dead[1 - me]) ->
				dead[me] = true;
				in_transit[me] = 0;
				if
				:: (owner == me && claim == RUNNING) ->
#ifdef LOSE_ORPHAN
					claim = NOT_RUN;
#else
					claim = MAY_HAVE;
#endif
					owner = ENTRIES;
				:: else -> skip;
				fi
		}
	od
}

init {
	atomic {
		run log();
		run entry(0);
		run entry(1);
	}
}
