/*
 * A new holder of the jobs takes over while orders of the earlier one are
 * under way: one work item, two workers, an earlier holder with token 1 and a
 * new one with token 2. Worker 1 may be unreachable for the new holder.
 *
 * Variants that must fail:
 *   NO_WRITE_AHEAD  a start is ordered before its placement is stored
 *   NO_STORE_FENCE  the store takes writes of the earlier holder
 *   NO_LEASE_WAIT  an unreachable worker counts as empty at once
 *   NO_WORKER_FENCE  a worker takes orders of the earlier holder
 */

byte epoch = 1;	 /* highest token that the store has seen */
byte stored = 0; /* worker of the stored placement; 0: none */
byte fence[3];	 /* highest token that each worker has seen */
byte order[3];	 /* token of a start under way; 0: none */
byte running[3]; /* token under whose lease the item runs; 0: it does not */
bool silent = false; /* the earlier holder sends nothing any more */
bool lapsed = false; /* so have all leases that it gave */

inline store_placement(token, worker, taken)
{
	atomic {
		if
		:: epoch <= token -> stored = worker; taken = true
		:: else -> taken = false
		fi
	}
}

inline send_start(token, worker)
{
	atomic {
		if
		:: token == 1 && silent -> skip
		:: else -> order[worker] = token
		fi
	}
}

proctype earlier()
{
	bool taken = true;

#ifdef NO_WRITE_AHEAD
	send_start(1, 1);
	store_placement(1, 1, taken)
#else
	store_placement(1, 1, taken);
	if
	:: taken -> send_start(1, 1)
	:: else -> skip
	fi
#endif
}

proctype successor()
{
	byte seen;
	bool taken;
	bool runs = false;

#ifndef NO_STORE_FENCE
	epoch = 2;
#endif
	seen = stored;
	if
	:: seen == 1 ->
		if
		/* It answers: earlier orders are refused from now on. */
		:: atomic {
			fence[1] = 2;
			if
			:: running[1] -> running[1] = 2; runs = true
			:: else -> skip
			fi
		   }
		/* It does not answer. */
#ifdef NO_LEASE_WAIT
		:: skip
#else
		:: lapsed
#endif
		fi
	:: else -> skip
	fi;
	if
	:: runs -> skip
	:: else ->
		store_placement(2, 2, taken);
		if
		:: taken -> send_start(2, 2)
		:: else -> skip
		fi
	fi
}

proctype worker(byte w)
{
	do
	:: atomic {
		order[w] && (order[w] >= fence[w]
#ifdef NO_WORKER_FENCE
			     || true
#endif
			     ) && !(order[w] == 1 && lapsed) ->
			running[w] = order[w];
			fence[w] = order[w];
			order[w] = 0;
			assert(!(running[1] && running[2]))
	   }
	:: atomic { order[w] -> order[w] = 0 }
	:: atomic { order[w] == 0 && lapsed -> break }
	od
}

/* Not confirmed by the store, the earlier holder falls silent first. */
proctype clock()
{
	silent = true;
	atomic {
		lapsed = true;
		if
		:: running[1] == 1 -> running[1] = 0
		:: else -> skip
		fi
	}
}

init
{
	atomic {
		run earlier();
		run successor();
		run worker(1);
		run worker(2);
		run clock()
	}
}
