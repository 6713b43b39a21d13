/*
 * Coordinator of a key (docs/design.md 3.2).
 *
 * Three entry hosts of one data centre. Host 0 comes first in the rendezvous
 * order of the key and host 1 second; host 2 holds the target and coordinates
 * nothing. The key is submitted to any host, any number of times, which is
 * modelled as steps of the hosts that consider themselves its coordinator. The
 * task is one state: which host coordinates the running copy, and how long it may
 * still run.
 *
 * Time is a bounded clock: every timer counts down at each tick. A tick stands
 * for 0.7 s: a link lease of 1.8 s has LINK_LEASE = 2 ticks, the silence limit
 * of 2.0 s has SILENCE = 3. TASK_LEASE is the longest time for which a task runs after
 * the last renewal that was sent for it (12.1 s in 3.1); it is scaled down to 3
 * ticks, and hold-back is TASK_LEASE and one tick for the difference of two views.
 * Every pair of running hosts exchanges pings at least once in each tick, at any
 * point of it, so two views differ by at most one tick; the network inside the
 * data centre is not partitioned. A host can pause at any point and for any
 * time, and a crash loses its state.
 *
 * Bound: PAUSES pauses of any hosts, CRASHES crashes of host 0 or 1, MAX_INCARNATION
 * incarnations of each host, one place message in flight per coordinator, one
 * key.
 *
 * A key that was started stays with the coordinator that started it. If another
 * coordinator gets a request that may be older than the last membership change,
 * it first sends a lookup to its peer, while it has a link lease from it. Without
 * that lease the peer may not have this host in its view and may start the key
 * after it has responded.
 *
 * Each macro switches one guard off:
 *   NO_STANDING           a host coordinates without link leases from the other members of its view
 *   NO_LINK_LEASE         the holder accepts a place message without a link lease from this incarnation of its sender
 *   NO_HOLD_BACK          there is no hold-back after the loss of a member or after the wait of a new incarnation
 *   NO_HOLD_BACK_AT_JOIN  a new incarnation has no hold-back after its wait
 *   HOLD_BACK_FROM_START  that hold-back begins with the wait instead of after it
 *   NO_TIMER_RESTART      the silence and start timers are not restarted after a pause
 *   NO_SELF_REJOIN        a host keeps its incarnation after a pause as long as the silence limit
 *   NO_START_WAIT         a new incarnation coordinates without a wait
 *   NO_ADOPTION           the holder renews the task lease although no coordinator has adopted the task
 *   NO_LOOKUP             a coordinator starts a key without a lookup
 *   LOOKUP_WITHOUT_LEASE  a lookup needs no link lease from the peer
 *   SETTLED_AT_RECEIPT    whether a lookup is needed is also decided when the request arrives
 *   STALE_LOOKUP          a lookup stays valid over a change of the membership
 *   CHECK_AT_RECEIPT      the holder checks a place message only when it arrives, not again at the start
 *   PAGE_START_WAIT       the wait of a new incarnation is as long as the silence limit only
 *   PAGE_ADOPTION         a host confirms an adoption without link leases
 *   PAGE_NAMING           the task lease is renewed without a link lease from the coordinator
 */
#ifndef PAUSES
#define PAUSES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define MAX_INCARNATION 4
#define LINK_LEASE 2
#define SILENCE 3
#define TASK_LEASE 3
#define HOLD_BACK (TASK_LEASE + 1)
#ifdef PAGE_START_WAIT
#define START_WAIT SILENCE
#else
#define START_WAIT (SILENCE + 1) /* a pause just below the silence limit and one exchange of pings */
#endif
#define HOLDER 2
#define PAIR(x, y) ((x) * 3 + (y))

bool paused[3];
byte pause_length[3];    /* ticks of the pause, at most SILENCE */
byte incarnation[3];
byte start_wait[3];       /* ticks until a host that started may coordinate */
byte view[9];          /* incarnation of y in the view of x, 0 for none */
byte removed[9];       /* highest incarnation of y that x removed */
byte silence_timer[9];       /* ticks until x removes y */
byte link_lease[9];          /* ticks left of the link lease of x from y */
bool exchanged[3];     /* the pair without this host exchanged pings in this tick */
bool pinged;           /* host 1 pinged host 0 in this tick; exchanged[2] stands for the other direction */
byte pauses;
byte crashes;

bool issued;           /* the key exists */
bool known[2];         /* the coordinator knows the key as started */
byte hold_back[2];     /* ticks left of the hold-back of a coordinator */
bool issued_before_loss[2];         /* the key may have been issued before the loss of a member */
bool issued_before_change[2];         /* the key may have been issued before the last join or loss in the coordinator's view */
bool lookup_negative[2];      /* the peer responded that it does not know the key */
#ifdef SETTLED_AT_RECEIPT
bool settled_at_receipt[2];       /* a request arrived when no lookup was needed */
#endif
byte place_in_flight[2];         /* incarnation of the sender of a place message in flight */
byte queued[2];        /* the same, in the holder's queue */

bool running;
byte task_coordinator;            /* coordinator of the running copy */
byte task_coordinator_incarnation;
byte run_time_left;             /* ticks for which the copy may run */

#define COORDINATES(x) ((x) == 0 || view[PAIR(1, 0)] == 0)
/* The member that the holder asks to adopt the task. */
#define ADOPTER(x) ((x) == 0 || view[PAIR(HOLDER, 0)] == 0)
#define LEASED(x, y) (view[PAIR(x, y)] == 0 || link_lease[PAIR(x, y)] > 0)
#ifdef NO_STANDING
#define STANDING(x) (start_wait[x] == 0)
#else
#define STANDING(x) (start_wait[x] == 0 && LEASED(x, 1 - (x)) && LEASED(x, HOLDER))
#endif
#ifdef PAGE_ADOPTION
#define CONFIRMS(x) true
#else
#define CONFIRMS(x) STANDING(x)
#endif
#ifdef NO_HOLD_BACK
#define HELD_BACK(x) false
#else
#define HELD_BACK(x) (hold_back[x] > 0 && issued_before_loss[x])
#endif
#ifdef LOOKUP_WITHOUT_LEASE
#define MAY_LOOK_UP(x) true
#else
#define MAY_LOOK_UP(x) (link_lease[PAIR(x, 1 - (x))] > 0)
#endif
/* No member that is still in the view can have started the key. */
#ifdef NO_LOOKUP
#define NOT_STARTED(x) true
#else
#ifdef SETTLED_AT_RECEIPT
#define NOT_STARTED(x) (settled_at_receipt[x] || lookup_negative[x] || view[PAIR(x, 1 - (x))] == 0)
#else
#define NOT_STARTED(x) (!issued_before_change[x] || lookup_negative[x] || view[PAIR(x, 1 - (x))] == 0)
#endif
#endif
#ifdef NO_LINK_LEASE
#define ORDER_ACCEPTED(x, n) true
#else
#define ORDER_ACCEPTED(x, n) (view[PAIR(HOLDER, x)] == (n) && link_lease[PAIR(HOLDER, x)] > 0)
#endif
#ifdef CHECK_AT_RECEIPT
#define ORDER_ACCEPTED_AT_START(x, n) true
#else
#define ORDER_ACCEPTED_AT_START(x, n) ORDER_ACCEPTED(x, n)
#endif

#ifdef PAGE_NAMING
#define RENEWED (view[PAIR(HOLDER, task_coordinator)] == task_coordinator_incarnation)
#else
#define RENEWED (view[PAIR(HOLDER, task_coordinator)] == task_coordinator_incarnation && link_lease[PAIR(HOLDER, task_coordinator)] > 0)
#endif

#define COUNT_DOWN(timer) timer = (timer > 0 -> timer - 1 : 0)

/* The membership changed: a key that was issued before needs a lookup, even if there was one before the change. */
inline note_member_change(x) {
	issued_before_change[x] = issued;
#ifndef STALE_LOOKUP
	lookup_negative[x] = false;
#endif
#ifdef SETTLED_AT_RECEIPT
	settled_at_receipt[x] = false
#endif
}

inline start_hold_back(x) {
	hold_back[x] = HOLD_BACK; issued_before_loss[x] = issued
}

inline lengthen_pause(x) {
	if :: paused[x] && pause_length[x] < SILENCE -> pause_length[x]++ :: else fi
}

/* x removes y from its view. */
inline remove_member(x, y) {
	removed[PAIR(x, y)] = view[PAIR(x, y)];
	view[PAIR(x, y)] = 0; link_lease[PAIR(x, y)] = 0; silence_timer[PAIR(x, y)] = 0;
	if :: x < HOLDER && y < HOLDER -> start_hold_back(x); note_member_change(x) :: else fi
}

/* A new incarnation waits before it starts keys; its hold-back begins at the end of the wait. */
inline count_start_wait(x) {
	if
	:: start_wait[x] > 0 && !paused[x] ->
		start_wait[x]--;
#if !defined(NO_HOLD_BACK_AT_JOIN) && !defined(HOLD_BACK_FROM_START)
		if :: start_wait[x] == 0 && x < HOLDER -> start_hold_back(x) :: else fi
#endif
	:: else
	fi
}

/* x gets a new incarnation and gives up its keys; their tasks need an adoption. */
inline renew_incarnation(x) {
	incarnation[x]++;
	if :: x < HOLDER -> known[x] = false; note_member_change(x) :: else fi;
	link_lease[PAIR(x, (x + 1) % 3)] = 0;
	link_lease[PAIR(x, (x + 2) % 3)] = 0;
#ifndef NO_START_WAIT
	start_wait[x] = START_WAIT;
#endif
#ifdef HOLD_BACK_FROM_START
	if :: x < HOLDER -> start_hold_back(x) :: else fi
#endif
}

/* x pings y and y responds. */
inline ping(x, y) {
	if
	:: incarnation[x] <= removed[PAIR(y, x)] ->
		/* rejoin */
		if :: incarnation[x] < MAX_INCARNATION -> renew_incarnation(x) :: else fi
	:: else ->
		if
		:: view[PAIR(y, x)] != 0 && view[PAIR(y, x)] != incarnation[x] -> remove_member(y, x)
		:: else
		fi;
		if
		:: view[PAIR(y, x)] == 0 ->
			view[PAIR(y, x)] = incarnation[x];
			if :: x < HOLDER && y < HOLDER -> note_member_change(y) :: else fi
		:: else
		fi;
		silence_timer[PAIR(y, x)] = SILENCE;
		/* A pong counts only from the incarnation in the view. */
		if
		:: view[PAIR(x, y)] == incarnation[y] ->
			if :: x < HOLDER && y < HOLDER && link_lease[PAIR(x, y)] == 0 -> issued_before_change[x] = issued :: else fi;
			link_lease[PAIR(x, y)] = LINK_LEASE
		:: else
		fi
	fi
}

inline exchange(x, y) {
	ping(x, y);
	ping(y, x);
	exchanged[3 - x - y] = true
}

inline start_copy(x) {
	assert(!running); /* P2 */
	running = true; task_coordinator = x; task_coordinator_incarnation = queued[x]; run_time_left = TASK_LEASE;
	queued[x] = 0
}

#define REMOVAL_DUE(x) (view[PAIR(x, ((x) + 1) % 3)] != 0 && silence_timer[PAIR(x, ((x) + 1) % 3)] == 0 || view[PAIR(x, ((x) + 2) % 3)] != 0 && silence_timer[PAIR(x, ((x) + 2) % 3)] == 0)
#define EXCHANGE_DONE(x, y) (exchanged[3 - (x) - (y)] && ((x) + (y) != 1 || pinged) || paused[x] || paused[y])

proctype network() {
	do
	/* The two directions between hosts 0 and 1 are separate steps: either one may receive the other's ping first. */
	:: d_step { !paused[0] && !paused[1] && !exchanged[2] -> ping(0, 1); exchanged[2] = true }
	:: d_step { !paused[0] && !paused[1] && !pinged -> ping(1, 0); pinged = true }
	:: d_step { !paused[0] && !paused[2] && !exchanged[1] -> exchange(0, 2) }
	:: d_step { !paused[1] && !paused[2] && !exchanged[0] -> exchange(1, 2) }

	/* A tick: all pairs of running hosts have exchanged pings and all due removals are done. */
	:: d_step { EXCHANGE_DONE(0, 1) && EXCHANGE_DONE(0, 2) && EXCHANGE_DONE(1, 2) &&
		(paused[0] || !REMOVAL_DUE(0)) && (paused[1] || !REMOVAL_DUE(1)) && (paused[2] || !REMOVAL_DUE(2)) ->
		exchanged[0] = false; exchanged[1] = false; exchanged[2] = false; pinged = false;
		lengthen_pause(0); lengthen_pause(1); lengthen_pause(2);
		COUNT_DOWN(silence_timer[1]); COUNT_DOWN(silence_timer[2]); COUNT_DOWN(silence_timer[3]);
		COUNT_DOWN(silence_timer[5]); COUNT_DOWN(silence_timer[6]); COUNT_DOWN(silence_timer[7]);
		COUNT_DOWN(link_lease[1]); COUNT_DOWN(link_lease[2]); COUNT_DOWN(link_lease[3]);
		COUNT_DOWN(link_lease[5]); COUNT_DOWN(link_lease[6]); COUNT_DOWN(link_lease[7]);
		COUNT_DOWN(hold_back[0]); COUNT_DOWN(hold_back[1]);
		if :: hold_back[0] == 0 -> issued_before_loss[0] = false :: else fi;
		if :: hold_back[1] == 0 -> issued_before_loss[1] = false :: else fi;
		count_start_wait(0); count_start_wait(1); count_start_wait(2);
		COUNT_DOWN(run_time_left);
		if :: running && run_time_left == 0 -> running = false; task_coordinator = 0; task_coordinator_incarnation = 0 :: else fi
	}

	:: d_step { !issued -> issued = true }
	od
}

proctype host(byte x) {
	do
	/* Silent peers are removed from the view. */
	:: d_step { !paused[x] && view[PAIR(x, (x + 1) % 3)] != 0 && silence_timer[PAIR(x, (x + 1) % 3)] == 0 -> remove_member(x, ((x + 1) % 3)) }
	:: d_step { !paused[x] && view[PAIR(x, (x + 2) % 3)] != 0 && silence_timer[PAIR(x, (x + 2) % 3)] == 0 -> remove_member(x, ((x + 2) % 3)) }

	:: d_step { !paused[x] && pauses < PAUSES -> pauses++; paused[x] = true }
	:: d_step { paused[x] && (pause_length[x] < SILENCE || incarnation[x] < MAX_INCARNATION) ->
		paused[x] = false;
#ifndef NO_SELF_REJOIN
		/* After a pause as long as the silence limit, the host assumes that its peers removed it. */
		if :: pause_length[x] == SILENCE -> renew_incarnation(x) :: else fi;
#endif
#ifndef NO_TIMER_RESTART
		if
		:: pause_length[x] > 0 ->
			if :: start_wait[x] > 0 -> start_wait[x] = START_WAIT :: else fi;
			if :: view[PAIR(x, (x + 1) % 3)] != 0 -> silence_timer[PAIR(x, (x + 1) % 3)] = SILENCE :: else fi;
			if :: view[PAIR(x, (x + 2) % 3)] != 0 -> silence_timer[PAIR(x, (x + 2) % 3)] = SILENCE :: else fi
		:: else
		fi;
#endif
		pause_length[x] = 0
	}
	od
}

proctype coordinator(byte x) {
	do
	/* The peer responds to a lookup that it does not know the key. */
	:: d_step { !paused[x] && !paused[1 - x] && issued && !known[x] && issued_before_change[x] && !lookup_negative[x] && COORDINATES(x) &&
		view[PAIR(x, 1 - x)] == incarnation[1 - x] && MAY_LOOK_UP(x) && !known[1 - x] ->
		lookup_negative[x] = true }
#ifdef SETTLED_AT_RECEIPT
	:: d_step { !paused[x] && issued && !known[x] && !issued_before_change[x] && COORDINATES(x) && !settled_at_receipt[x] -> settled_at_receipt[x] = true }
#endif

	/* The request is checked and a place message is sent; a pause between the two delays the message. */
	:: d_step { !paused[x] && issued && !known[x] && place_in_flight[x] == 0 && COORDINATES(x) && NOT_STARTED(x) &&
		STANDING(x) && !HELD_BACK(x) ->
		known[x] = true; place_in_flight[x] = incarnation[x] }

	/* A crash followed by a start without state. */
	:: d_step { !paused[x] && crashes < CRASHES && incarnation[x] < MAX_INCARNATION ->
		crashes++;
		renew_incarnation(x);
		view[PAIR(x, (x + 1) % 3)] = 0; silence_timer[PAIR(x, (x + 1) % 3)] = 0; removed[PAIR(x, (x + 1) % 3)] = 0;
		view[PAIR(x, (x + 2) % 3)] = 0; silence_timer[PAIR(x, (x + 2) % 3)] = 0; removed[PAIR(x, (x + 2) % 3)] = 0;
	}

	/* The task is adopted by the current coordinator of its key. */
	:: d_step { !paused[x] && !paused[HOLDER] && running && view[PAIR(HOLDER, task_coordinator)] != task_coordinator_incarnation &&
		ADOPTER(x) && COORDINATES(x) && CONFIRMS(x) && view[PAIR(HOLDER, x)] == incarnation[x] && (!known[x] || task_coordinator == x) ->
		known[x] = true; task_coordinator = x; task_coordinator_incarnation = incarnation[x] }

	/* A place message arrives at the holder. */
	:: d_step { !paused[HOLDER] && place_in_flight[x] > 0 ->
		if :: ORDER_ACCEPTED(x, place_in_flight[x]) -> queued[x] = place_in_flight[x] :: else fi;
		place_in_flight[x] = 0
	}
	/* The holder starts a queued task. */
	:: d_step { !paused[HOLDER] && queued[x] > 0 ->
		if
		:: ORDER_ACCEPTED_AT_START(x, queued[x]) -> start_copy(x)
		:: else -> queued[x] = 0
		fi
	}
	od
}

proctype holder() {
	do
	/* The task lease is renewed while the holder has a link lease from the task's coordinator. */
	:: d_step { !paused[HOLDER] && running && RENEWED && run_time_left < TASK_LEASE -> run_time_left = TASK_LEASE }
#ifdef NO_ADOPTION
	:: d_step { !paused[HOLDER] && running && run_time_left < TASK_LEASE -> run_time_left = TASK_LEASE }
#endif
	od
}

init {
	atomic {
		incarnation[0] = 1; incarnation[1] = 1; incarnation[2] = 1;
		view[1] = 1; view[2] = 1; view[3] = 1; view[5] = 1; view[6] = 1; view[7] = 1;
		silence_timer[1] = SILENCE; silence_timer[2] = SILENCE; silence_timer[3] = SILENCE;
		silence_timer[5] = SILENCE; silence_timer[6] = SILENCE; silence_timer[7] = SILENCE;
		link_lease[1] = LINK_LEASE; link_lease[2] = LINK_LEASE; link_lease[3] = LINK_LEASE;
		link_lease[5] = LINK_LEASE; link_lease[6] = LINK_LEASE; link_lease[7] = LINK_LEASE;
		run network();
		run host(0); run host(1); run host(2);
		run coordinator(0); run coordinator(1);
		run holder()
	}
}
