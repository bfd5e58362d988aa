/*
 * A new holder of the jobs lease takes over while orders of the earlier one are
 * in transit: one work item, two workers, an earlier holder with token 1 and a
 * new one with token 2. Worker 1 may be unreachable for the new holder.
 *
 * Variants that must fail:
 *   NO_WRITE_AHEAD  a start is ordered before its placement is stored
 *   NO_STORE_FENCE  the store accepts writes of the earlier holder
 *   NO_LEASE_WAIT  an unreachable worker counts as idle before its lease expires
 *   NO_WORKER_FENCE  a worker accepts orders of the earlier holder
 */

byte epoch = 1;	 /* highest token that the store has seen */
byte stored_worker = 0; /* worker of the stored placement; 0: none */
byte fence[3];	 /* highest token that each worker has seen */
byte order[3];	 /* token of a start order in transit; 0: none */
byte running[3]; /* token of the lease under which the item runs; 0: none */
bool stopped_sending = false; /* the earlier holder has stopped sending */
bool leases_expired = false; /* all leases that it granted have expired */

inline store_placement(token, worker, accepted)
{
	atomic {
		if
		:: epoch <= token -> stored_worker = worker; accepted = true
		:: else -> accepted = false
		fi
	}
}

inline send_start(token, worker)
{
	atomic {
		if
		:: token == 1 && stopped_sending -> skip
		:: else -> order[worker] = token
		fi
	}
}

proctype earlier_holder()
{
	bool accepted = true;

#ifdef NO_WRITE_AHEAD
	send_start(1, 1);
	store_placement(1, 1, accepted)
#else
	store_placement(1, 1, accepted);
	if
	:: accepted -> send_start(1, 1)
	:: else -> skip
	fi
#endif
}

proctype new_holder()
{
	byte seen_worker;
	bool accepted;
	bool found_running = false;

#ifndef NO_STORE_FENCE
	epoch = 2;
#endif
	seen_worker = stored_worker;
	if
	:: seen_worker == 1 ->
		if
		/* The worker responds: it refuses earlier orders from now on. */
		:: atomic {
			fence[1] = 2;
			if
			:: running[1] -> running[1] = 2; found_running = true
			:: else -> skip
			fi
		   }
		/* The worker does not respond. */
#ifdef NO_LEASE_WAIT
		:: skip
#else
		:: leases_expired
#endif
		fi
	:: else -> skip
	fi;
	if
	:: found_running -> skip
	:: else ->
		store_placement(2, 2, accepted);
		if
		:: accepted -> send_start(2, 2)
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
			     ) && !(order[w] == 1 && leases_expired) ->
			running[w] = order[w];
			fence[w] = order[w];
			order[w] = 0;
			assert(!(running[1] && running[2]))
	   }
	:: atomic { order[w] -> order[w] = 0 }
	:: atomic { order[w] == 0 && leases_expired -> break }
	od
}

/*
 * The earlier holder, not confirmed by the store, stops sending before the
 * leases that it granted expire.
 */
proctype expire_leases()
{
	stopped_sending = true;
	atomic {
		leases_expired = true;
		if
		:: running[1] == 1 -> running[1] = 0
		:: else -> skip
		fi
	}
}

init
{
	atomic {
		run earlier_holder();
		run new_holder();
		run worker(1);
		run worker(2);
		run expire_leases()
	}
}
