/*
 * Planner lease with fencing, and one instance that is drained, moved or
 * rebooted. Two planners, two entry instances, one log.
 *
 * The log is modelled by its order: appending a record applies it to the
 * replicated state at once, and every process sees the state later, when it
 * copies what it needs. A process may pause between any two steps.
 *
 * Variants that must fail:
 *   NO_FENCING    records of an old lease holder are accepted
 *   NO_ACK        a drain ends without the acknowledgements
 *   NO_REBOOT_ID  the platform runs a reboot request each time it comes
 */

#define ENTRIES 2
#define CLAIMS_MAX 2

#define ACTIVE 0
#define DRAINING 1
#define REBOOTING 2

/* Replicated state */
byte token = 0; /* lease token in force; offsets start at 1 */
byte offset = 0;
byte phase = ACTIVE;
byte drain = 0; /* offset of the drain that runs */
byte drain_token = 0; /* lease that started it */
bool acked[ENTRIES];

/* What runs at the instance, by entry instance */
byte in_flight[ENTRIES];

/* Platform: reboot requests on their way, by drain offset; ids that ran */
byte last_reboot = 0;

#ifdef NO_FENCING
#define FENCED(t) (true)
#else
#define FENCED(t) ((t) == token)
#endif

#ifdef NO_ACK
#define DRAINED (true)
#else
#define DRAINED (acked[0] && acked[1])
#endif

#define IDLE (in_flight[0] == 0 && in_flight[1] == 0)

proctype entry(byte me)
{
	byte seen_phase = ACTIVE;
	byte seen_drain = 0;

	do
	:: /* read the log up to now */
		atomic {
			seen_phase = phase;
			seen_drain = drain;
		}
	:: /* dispatch by the state that was read last */
		atomic {
			(seen_phase == ACTIVE && in_flight[me] == 0) ->
				in_flight[me] = 1;
		}
	:: atomic {
			(in_flight[me] == 1) -> in_flight[me] = 0;
		}
	:: /* drain_ack names the drain that is meant */
		(seen_phase == DRAINING && in_flight[me] == 0) ->
			atomic {
				if
				:: (phase == DRAINING && drain == seen_drain) ->
					acked[me] = true;
				:: else -> skip;
				fi
			}
	od
}

proctype planner()
{
	byte mine = 0; /* token of our own lease; 0: none */
	byte seen_token;
	byte seen_drain;

	do
	:: /* lease_claim replaces the token that was read before */
		(offset < CLAIMS_MAX) ->
			seen_token = token;
			atomic {
				if
				:: (seen_token == token) ->
					offset++;
					token = offset;
					mine = token;
				:: else -> offset++;
				fi
			}
	:: /* maint_start */
		(mine != 0 && phase == ACTIVE && offset < 2 * CLAIMS_MAX) ->
			atomic {
				if
				:: (FENCED(mine) && phase == ACTIVE) ->
					offset++;
					phase = DRAINING;
					drain = offset;
					drain_token = mine;
					acked[0] = false;
					acked[1] = false;
				:: else -> skip;
				fi
			}
	:: /* move_abort by a holder that found the drain running */
		(mine != 0 && phase == DRAINING) ->
			atomic {
				if
				:: (FENCED(mine) && phase == DRAINING) ->
					/* Only the holder ends a drain. */
					assert(mine == token);
					phase = ACTIVE;
					drain = 0;
				:: else -> skip;
				fi
			}
	:: /* maint_reboot, then the request to the platform */
		(mine != 0 && phase == DRAINING) ->
			seen_drain = drain;
			atomic {
				if
				:: (FENCED(mine) && phase == DRAINING &&
				    drain == seen_drain && DRAINED) ->
					assert(IDLE);
					phase = REBOOTING;
				:: else -> seen_drain = 0;
				fi
			}
			if
			:: (seen_drain != 0) -> run platform(seen_drain);
			:: else -> skip;
			fi
	:: /* a new holder repeats the request, since the old one may have died */
		atomic {
			(mine == token && phase == REBOOTING && _nr_pr < 7) ->
				run platform(drain);
		}
	od
}

/* One reboot request on its way to the platform; it may arrive late. */
proctype platform(byte id)
{
	atomic {
		if
#ifndef NO_REBOOT_ID
		:: (id <= last_reboot) -> skip;
#endif
		:: (id > last_reboot
#ifdef NO_REBOOT_ID
		    || true
#endif
		    ) ->
			/* A planned stop cuts no request in flight. */
			assert(IDLE);
			assert(phase == REBOOTING);
			last_reboot = id;
			/* maint_done after the instance is live again */
			phase = ACTIVE;
			drain = 0;
		fi
	}
}

init {
	atomic {
		run entry(0);
		run entry(1);
		run planner();
		run planner();
	}
}
