/*
 * A start order goes through a forwarder, which may delay it, carry it out
 * twice or lose it or its result: one work item, run 1 on worker 1 through the
 * forwarder, then run 2 on worker 2 if the result of run 1 is missing. Worker 1
 * may be unreachable for the holder.
 *
 * Variants that must fail:
 *   NO_STOP  the item is placed elsewhere without stopping run 1 first
 *   NO_CLOSED_RUN  worker 1 starts a run that was stopped before
 *   NO_LEASE_WAIT  an unreachable worker counts as idle before its lease expires
 *   NO_ORDER_LEASE  worker 1 starts a run whose lease has expired
 */

byte queued = 0;    /* run of the start that the forwarder has; 0: none */
byte closed = 0;    /* highest run that was stopped on worker 1 */
byte running[3];    /* run on each worker; 0: none */
bool lease_expired = false; /* of all orders for worker 1 */
bool reported = false;	    /* the result of run 1 has reached the holder */

proctype holder()
{
	queued = 1;
	if
	:: reported -> goto done
	/* The result is late or lost, so run 1 may be started at any time. */
	:: skip
	fi;
#ifndef NO_STOP
	if
	/* Worker 1 answers a stop that is sent to it directly. */
	:: atomic {
		running[1] = 0;
#ifndef NO_CLOSED_RUN
		closed = 1
#endif
	   }
	/* Worker 1 does not answer. */
#ifdef NO_LEASE_WAIT
	:: skip
#else
	:: lease_expired
#endif
	fi;
#endif
	atomic {
		running[2] = 2;
		assert(!running[1])
	}
done:
	skip
}

proctype forwarder()
{
	do
	/* Carries the order out, and keeps it: it may do so again. */
	:: atomic {
		(queued && queued > closed
#ifndef NO_ORDER_LEASE
		 && !lease_expired
#endif
		 ) -> running[1] = queued;
		assert(!running[2])
	   }
	:: atomic { running[1] -> reported = true }
	:: atomic { queued -> queued = 0; break }
	od
}

proctype expire_lease()
{
	atomic {
		lease_expired = true;
		running[1] = 0
	}
}

init
{
	atomic {
		run holder();
		run forwarder();
		run expire_lease()
	}
}
