/*
 * Planner lease with fencing, and one instance that is drained, moved or
 * rebooted. Two planners, two entry instances, one log.
 *
 * Of the log, only the order is modelled: appending a record applies it to the
 * replicated state immediately, and each process observes that state later, when
 * it copies what it needs. A process may pause between any two steps.
 *
 * Variants that must fail:
 *   NO_FENCING    records of an old lease holder are accepted
 *   NO_ACK        a drain ends without acknowledgements of the entry instances
 *   NO_REBOOT_ID  the platform executes a reboot request each time it arrives
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
byte drain = 0; /* offset of the drain in progress */
byte drain_token = 0; /* lease that started it */
bool acked[ENTRIES];

/* Requests in flight at the instance, by entry instance */
byte in_flight[ENTRIES];

/* Platform: drain offset of the last reboot request executed */
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
	:: /* read the log up to its end */
		atomic {
			seen_phase = phase;
			seen_drain = drain;
		}
	:: /* dispatch according to the state read last */
		atomic {
			(seen_phase == ACTIVE && in_flight[me] == 0) ->
				in_flight[me] = 1;
		}
	:: atomic {
			(in_flight[me] == 1) -> in_flight[me] = 0;
		}
	:: /* drain_ack names the drain that it acknowledges */
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
	byte own_token = 0; /* token of our own lease; 0: none */
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
					own_token = token;
				:: else -> offset++;
				fi
			}
	:: /* maint_start */
		(own_token != 0 && phase == ACTIVE && offset < 2 * CLAIMS_MAX) ->
			atomic {
				if
				:: (FENCED(own_token) && phase == ACTIVE) ->
					offset++;
					phase = DRAINING;
					drain = offset;
					drain_token = own_token;
					acked[0] = false;
					acked[1] = false;
				:: else -> skip;
				fi
			}
	:: /* move_abort by a holder that finds a drain in progress */
		(own_token != 0 && phase == DRAINING) ->
			atomic {
				if
				:: (FENCED(own_token) && phase == DRAINING) ->
					/* Only the holder ends a drain. */
					assert(own_token == token);
					phase = ACTIVE;
					drain = 0;
				:: else -> skip;
				fi
			}
	:: /* maint_reboot, then the request to the platform */
		(own_token != 0 && phase == DRAINING) ->
			seen_drain = drain;
			atomic {
				if
				:: (FENCED(own_token) && phase == DRAINING &&
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
			(own_token == token && phase == REBOOTING && _nr_pr < 7) ->
				run platform(drain);
		}
	od
}

/* A reboot request in transit to the platform; it may arrive late. */
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
			/* A planned reboot interrupts no request in flight. */
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
