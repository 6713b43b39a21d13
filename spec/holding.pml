/*
 * Target leases and task leases (docs/design.md 3.1).
 *
 * One worker of capacity 1, two holders, and a coordinator that is a single
 * state. Task 0 has a task lease and may be placed on another worker once the
 * coordinator accepts that it is lost. Task 1 competes for the capacity; it has
 * no lease, so it can occupy the worker for any time.
 *
 * Time is a bounded clock: every timer counts down at each tick. A tick stands
 * for 1.5 s, so a lease of 3 s has 2 ticks and a task lease of 8 s has 6 (rounded
 * up, which is the harder case).
 * The worker's clock may miss one tick, which stands for the relative drift of
 * 10% over LEASE + TASK_LEASE. Messages and responses between holders and worker
 * may be delayed for any time; one that is delayed forever is lost. No step is
 * forced except that the worker stops a task at the end of its lease, so a holder
 * can pause at any point and for any time.
 *
 * Bound: LEASE = 2, TASK_LEASE = 6, LOST_AFTER = 9, MAX_TERM terms, one worker
 * restart, one missed tick, one message of each kind in flight per holder.
 *
 * Each macro switches one guard off. The PAGE_ macros select readings of
 * docs/design.md in which the model finds a violation.
 *   NO_TERM_CHECK          the worker accepts orders of any term
 *   NO_EXPIRY_CHECK        the worker accepts orders of the last term after its lease has expired
 *   NO_LEASE_MARGIN        a task counts as lost after TASK_LEASE alone
 *   NO_SINGLE_RENEWAL      a renewal is sent while an earlier one of the term has no response
 *   NO_CONFIRMED_END       the holder frees the capacity of a start that has no response
 *   NO_ADOPTION            a renewal extends the lease of a task whose adoption is not confirmed
 *   NO_LEASE_OVER_RESTART  a restart of the worker begins the task lease anew
 *   LOST_FROM_SENDING      the time until a task counts as lost begins when the renewal is sent, not with its response
 *   PAGE_ADOPTION          an acquisition of the lease counts as the adoption of the running task
 *   PAGE_LOST_BASE         only the response to a renewal that lists the task restarts the time until it counts as lost
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#define LEASE 2
#define TASK_LEASE 6
#ifdef NO_LEASE_MARGIN
#define LOST_AFTER TASK_LEASE
#else
#define LOST_AFTER (LEASE + TASK_LEASE + 1)
#endif

/* The worker. */
byte term;          /* last granted term; a restart increments it in place of the boot number */
byte lease_holder;        /* the holder with the lease; it may acquire it again */
byte lease;         /* ticks left of the lease, 0 for none */
bool running[2];
byte task_lease;    /* ticks left of the lease of task 0 */
bool restarted;
bool tick_missed;

/* The holders. */
byte held_term[2];       /* term of the lease that the holder believes it has, 0 for none */
bool occupied[4]; /* holder * 2 + task: occupies the target in the holder's table */
bool adopted[2];    /* the coordinator confirmed task 0 in the held term */
bool may_report_lost[2]; /* the holder may report task 0 as lost */
byte lost_timer[2];    /* ticks until task 0 counts as lost */
byte start_term[4]; /* term of a start in flight, 0 for none */
byte renew_term[2]; /* term of a renewal in flight, 0 for none */
bool renew_has_task[2];
bool renew_response[2];     /* the response to the renewal is in flight */
bool renew_pending[2]; /* a renewal of the held term has no response yet */
#ifdef LOST_FROM_SENDING
byte renew_age[2];
#endif

/* The coordinator. */
byte coordinator_term;    /* highest term in which a holder started or adopted task 0 */
bool placed;        /* the first holder was ordered to start task 0 */
bool placed_again;  /* task 0 was accepted as lost and may run elsewhere */

#define VALID(t) (lease > 0 && (t) == term)
#ifdef NO_TERM_CHECK
#define ACCEPTED(t) true
#else
#ifdef NO_EXPIRY_CHECK
#define ACCEPTED(t) ((t) == term)
#else
#define ACCEPTED(t) VALID(t)
#endif
#endif

inline check() {
	assert(!(running[0] && running[1]));   /* P1 */
	assert(!(running[0] && placed_again))  /* P2 */
}

inline restart_lost_timer(h) { lost_timer[h] = LOST_AFTER }

proctype environment() {
	do
	/* A tick of the clock; the worker's clock may miss one. */
	:: d_step { true ->
		lease = (lease > 0 -> lease - 1 : 0);
		task_lease = (task_lease > 0 -> task_lease - 1 : 0);
		if :: task_lease == 0 -> running[0] = false :: else fi;
		lost_timer[0] = (lost_timer[0] > 0 -> lost_timer[0] - 1 : 0);
		lost_timer[1] = (lost_timer[1] > 0 -> lost_timer[1] - 1 : 0);
#ifdef LOST_FROM_SENDING
		renew_age[0] = (renew_age[0] < LOST_AFTER -> renew_age[0] + 1 : LOST_AFTER);
		renew_age[1] = (renew_age[1] < LOST_AFTER -> renew_age[1] + 1 : LOST_AFTER);
#endif
	}
	:: d_step { !tick_missed ->
		tick_missed = true;
		lost_timer[0] = (lost_timer[0] > 0 -> lost_timer[0] - 1 : 0);
		lost_timer[1] = (lost_timer[1] > 0 -> lost_timer[1] - 1 : 0);
#ifdef LOST_FROM_SENDING
		renew_age[0] = (renew_age[0] < LOST_AFTER -> renew_age[0] + 1 : LOST_AFTER);
		renew_age[1] = (renew_age[1] < LOST_AFTER -> renew_age[1] + 1 : LOST_AFTER);
#endif
	}

	/* A task ends. */
	:: d_step { running[0] -> running[0] = false; task_lease = 0 }
	:: d_step { running[1] -> running[1] = false }

	/* The worker restarts; tasks survive with the leases that they had. */
	:: d_step { !restarted && term < MAX_TERM ->
		restarted = true; term++; lease = 0;
#ifdef NO_LEASE_OVER_RESTART
		if :: running[0] -> task_lease = TASK_LEASE :: else fi
#endif
	}
	od
}

proctype holder(byte h) {
	do
	/* acquire: granted, but the response is lost. */
	:: d_step { (lease == 0 || lease_holder == h) && term < MAX_TERM -> term++; lease = LEASE; lease_holder = h }
	/* acquire: granted, and the response is received. */
	:: d_step { (lease == 0 || lease_holder == h) && term < MAX_TERM ->
		term++; lease = LEASE; lease_holder = h; held_term[h] = term;
		occupied[h * 2] = running[0];
		occupied[h * 2 + 1] = running[1];
		renew_pending[h] = false;
		renew_response[h] = false;
		renew_has_task[h] = (renew_has_task[h] && renew_term[h] > 0);
#ifdef PAGE_ADOPTION
		adopted[h] = true;
#else
		adopted[h] = false;
#endif
		if
		:: running[0] -> may_report_lost[h] = true; restart_lost_timer(h)
		:: else
		fi
	}
	/* release. */
	:: d_step { held_term[h] > 0 && held_term[h] == term && lease > 0 -> lease = 0; held_term[h] = 0 }

	/* start of task 0, sent once by the holder that the coordinator chose. */
	:: d_step { h == 0 && !placed && held_term[h] > 0 && !occupied[h * 2] && !occupied[h * 2 + 1] ->
		placed = true; occupied[h * 2] = true; start_term[h * 2] = held_term[h];
		adopted[h] = true; may_report_lost[h] = true; restart_lost_timer(h)
	}
	/* start of task 1, by any holder whose table shows free capacity. */
	:: d_step { held_term[h] > 0 && !occupied[h * 2] && !occupied[h * 2 + 1] && start_term[h * 2 + 1] == 0 ->
		occupied[h * 2 + 1] = true; start_term[h * 2 + 1] = held_term[h]
	}
	/* start arrives. */
	:: d_step { start_term[h * 2] > 0 ->
		if
		:: ACCEPTED(start_term[h * 2]) ->
			running[0] = true; task_lease = TASK_LEASE;
			coordinator_term = (coordinator_term < start_term[h * 2] -> start_term[h * 2] : coordinator_term)
		:: else
		fi;
		start_term[h * 2] = 0; check()
	}
	:: d_step { start_term[h * 2 + 1] > 0 ->
		if :: ACCEPTED(start_term[h * 2 + 1]) -> running[1] = true :: else fi;
		start_term[h * 2 + 1] = 0; check()
	}
#ifdef NO_CONFIRMED_END
	/* The holder frees the capacity of a start without a response. */
	:: d_step { start_term[h * 2] > 0 -> occupied[h * 2] = false }
#endif

	/* events: the holder reads the end of a task under its term. */
	:: d_step { VALID(held_term[h]) && occupied[h * 2] && !running[0] && start_term[h * 2] == 0 ->
		occupied[h * 2] = false; may_report_lost[h] = false; adopted[h] = false; lost_timer[h] = 0 }
	:: d_step { VALID(held_term[h]) && occupied[h * 2 + 1] && !running[1] && start_term[h * 2 + 1] == 0 ->
		occupied[h * 2 + 1] = false }

	/* renew: at most one pending renewal in a term. */
#ifdef NO_SINGLE_RENEWAL
	:: d_step { held_term[h] > 0 && renew_term[h] == 0 -> renew_response[h] = false;
#else
	:: d_step { held_term[h] > 0 && renew_term[h] == 0 && !renew_response[h] && !renew_pending[h] ->
#endif
		renew_term[h] = held_term[h]; renew_pending[h] = true;
#ifdef LOST_FROM_SENDING
		renew_age[h] = 0;
#endif
#ifdef NO_ADOPTION
		renew_has_task[h] = occupied[h * 2]
#else
		renew_has_task[h] = (occupied[h * 2] && adopted[h])
#endif
	}
	/* renewal without a task. */
	:: d_step { held_term[h] > 0 && renew_term[h] == 0 && !renew_response[h] && !renew_pending[h] && occupied[h * 2] ->
		renew_term[h] = held_term[h]; renew_pending[h] = true; renew_has_task[h] = false;
#ifdef LOST_FROM_SENDING
		renew_age[h] = 0
#endif
	}
	/* renewal arrives. */
	:: d_step { renew_term[h] > 0 ->
		if
		:: ACCEPTED(renew_term[h]) ->
			lease = LEASE;
			if :: renew_has_task[h] && running[0] -> task_lease = TASK_LEASE :: else fi;
			renew_response[h] = (renew_term[h] == held_term[h]);
			renew_has_task[h] = (renew_has_task[h] && renew_response[h])
		:: else -> renew_has_task[h] = false
		fi;
		renew_term[h] = 0
	}
	/* The response arrives: LOST_AFTER counts from the worker's last response. */
	:: d_step { renew_response[h] ->
		renew_response[h] = false; renew_pending[h] = false;
		if
#ifdef PAGE_LOST_BASE
		:: occupied[h * 2] && renew_has_task[h] ->
#else
		:: occupied[h * 2] ->
#endif
#ifdef LOST_FROM_SENDING
			lost_timer[h] = LOST_AFTER - renew_age[h]
#else
			restart_lost_timer(h)
#endif
		:: else
		fi;
		renew_has_task[h] = false
	}
	/* adopt, confirmed or refused by the coordinator. */
	:: d_step { held_term[h] > 0 && occupied[h * 2] && !adopted[h] && !placed_again && coordinator_term <= held_term[h] ->
		adopted[h] = true; coordinator_term = held_term[h] }
	/* stop of a task whose adoption was refused. */
	:: d_step { VALID(held_term[h]) && occupied[h * 2] && running[0] && placed_again -> running[0] = false; task_lease = 0 }

	/* task_lost: the coordinator refuses it from a term older than coordinator_term. */
	:: d_step { may_report_lost[h] && lost_timer[h] == 0 ->
		may_report_lost[h] = false; adopted[h] = false; lost_timer[h] = 0;
		if :: held_term[h] >= coordinator_term -> placed_again = true; check() :: else fi
	}
	od
}

init {
	atomic {
		run environment();
		run holder(0);
		run holder(1)
	}
}
