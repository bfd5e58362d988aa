/*
 * Shares of one endpoint's slots: two entry instances and one that joins, loans
 * between the first two, and the removal of one that crashed. The endpoint has
 * 4 slots.
 *
 * Variants that must fail:
 *   NO_JOIN_ACK   the joiner uses its share before the others have released it
 *   LOAN_EXPIRES  the lender reclaims a lent slot after a timeout
 *   NO_GONE_WAIT  a survivor uses the share of a crashed one immediately
 */

#define SLOTS 4
#define A 0
#define B 1
#define C 2

byte share[3]; /* slots that each may use */
byte used[3]; /* in flight at the endpoint */
bool joined = false; /* entry_join of C is in the log */
bool a_applied = false;
bool b_applied = false;
bool c_ack_a = false;
bool c_ack_b = false;
byte lent = 0; /* by A to B */
bool granted = false; /* grant in transit */
bool returned = false; /* return in transit */
bool b_dead = false;
bool gone = false; /* entry_gone of B is in the log */

#define TOTAL (used[A] + used[B] + used[C])

proctype work(byte me)
{
	do
	:: atomic {
			(used[me] < share[me] && !(me == B && b_dead)) ->
				used[me]++;
				assert(TOTAL <= SLOTS);
		}
	:: atomic { (used[me] > 0) -> used[me]--; }
	od
}

/* Two entry instances get 2 slots each; three get 2, 1 and 1. */
proctype join()
{
	joined = true;
	atomic { a_applied = true; }
	atomic {
		if
		:: (!b_dead && !b_applied) ->
			b_applied = true;
			share[B] = share[B] - 1;
		:: else -> skip;
		fi
	}
#ifndef NO_JOIN_ACK
	/* B acknowledges once it uses no more than its new share. A's stays. */
	(b_applied && used[B] <= share[B]);
#endif
	share[C] = 1;
}

proctype loan()
{
	do
	:: /* A lends an idle slot; its share shrinks before the grant */
		atomic {
			(lent == 0 && !gone && share[A] > 0 &&
			 used[A] < share[A]) ->
				share[A]--;
				lent = 1;
				granted = true;
		}
	:: atomic {
			(granted && !b_dead) ->
				granted = false;
				share[B]++;
		}
	:: /* B returns an idle slot */
		atomic {
			(lent == 1 && !granted && !returned && !b_dead &&
			 share[B] > 0 && used[B] < share[B]) ->
				share[B]--;
				returned = true;
		}
	:: atomic {
			returned ->
				returned = false;
				lent = 0;
				share[A]++;
		}
#ifdef LOAN_EXPIRES
	:: atomic {
			(lent == 1 && !returned) ->
				lent = 0;
				granted = false;
				share[A]++;
		}
#endif
	od
}

/* B crashes; its requests in flight continue at the endpoint for a while. */
proctype crash()
{
	b_dead = true;
	gone = true;
#ifndef NO_GONE_WAIT
	/* After the longest timeout, all requests of B have ended. */
	(used[B] == 0);
#endif
	atomic {
		/* Base shares of the roster without B; loans with B are cancelled. */
		share[B] = 0;
		returned = false;
		granted = false;
		lent = 0;
		if
		:: joined -> share[A] = 2;
		:: else -> share[A] = 4;
		fi
	}
}

init {
	atomic {
		share[A] = 2;
		share[B] = 2;
		run work(A);
		run work(B);
		run work(C);
		run loan();
		if
		:: run join();
		:: run crash();
		fi
	}
}
