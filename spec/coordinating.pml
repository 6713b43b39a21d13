/*
 * Coordinator of a key (docs/design.md 3.2).
 *
 * Three entry hosts of one data centre. Host 0 comes first in the rendezvous
 * order of the key and host 1 second; host 2 holds the target and coordinates
 * nothing. The key is submitted at any host, any number of times, which the
 * model shows as steps of the hosts that believe to be its coordinator. The task
 * is one state: who coordinates the running copy, and how long it may still run.
 *
 * Time is a bounded clock: every timer counts down at each tick. A tick stands
 * for 0.7 s: a link lease of 1.8 s has LINK_LEASE = 2 ticks, the silence limit
 * of 2.0 s has SILENCE = 3. TASK is the longest time for which a task runs after
 * the last renewal that was sent for it (12.1 s in 3.1); it is scaled down to 3
 * ticks, and hold-back is TASK and one tick for the difference of two views.
 * Every pair of running hosts exchanges pings at least once in a tick, at any
 * point of it, so two views differ by at most one tick; the network inside the
 * data centre is not partitioned. A host can pause at any point and for any
 * time, and a crash loses everything it knew.
 *
 * Bound: PAUSES pauses of any hosts, CRASHES crashes of host 0 or 1, INC
 * incarnations of each host, one place message per coordinator in flight, one
 * key.
 *
 * A key that was started stays with the coordinator that started it. Another one
 * that gets a request which may be older than the last change of the members
 * asks the peer first (lookup), under a link lease from it, since without one the
 * peer may not have this host in its view and start the key after its answer.
 *
 * Each guard can be switched off; spec/check lists the macros.
 */
#ifndef PAUSES
#define PAUSES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#define INC 4
#define LINK_LEASE 2
#define SILENCE 3
#define TASK 3
#define HOLD_BACK (TASK + 1)
#ifdef PAGE_START_WAIT
#define START_WAIT SILENCE
#else
#define START_WAIT (SILENCE + 1) /* a pause just below the silence limit and one exchange of pings */
#endif
#define HOLDER 2
#define PAIR(x, y) ((x) * 3 + (y))

bool paused[3];
byte paused_for[3];    /* ticks of the pause, at most SILENCE */
byte incarnation[3];
byte waiting[3];       /* ticks until a host that started takes part */
byte view[9];          /* incarnation of y in the view of x, 0 for none */
byte removed[9];       /* highest incarnation of y that x removed */
byte silence[9];       /* ticks until x removes y */
byte link[9];          /* ticks left of the link lease of x from y */
bool exchanged[3];     /* the pair without this host exchanged pings in this tick */
bool pinged;           /* host 1 pinged host 0 in this tick; exchanged[2] is the other direction */
byte pauses;
byte crashes;

bool issued;           /* the key exists */
bool known[2];         /* the coordinator knows the key as started */
byte hold_back[2];     /* ticks left of the hold-back of a coordinator */
bool older[2];         /* the key may be older than the loss */
bool moved[2];         /* the key may be older than the last join or loss that the coordinator saw */
bool searched[2];      /* the peer said that it does not know the key */
#ifdef SETTLED_AT_RECEIPT
bool settled[2];       /* a request arrived when no search was needed */
#endif
byte place[2];         /* incarnation of the sender of a place message in flight */
byte queued[2];        /* the same, in the holder's queue */

bool running;
byte owner;            /* coordinator of the running copy */
byte owner_incarnation;
byte left;             /* ticks for which the copy may run */

#define COORDINATES(x) ((x) == 0 || view[PAIR(1, 0)] == 0)
/* The member that the holder asks for an adoption. */
#define ASKED(x) ((x) == 0 || view[PAIR(HOLDER, 0)] == 0)
#define LEASED(x, y) (view[PAIR(x, y)] == 0 || link[PAIR(x, y)] > 0)
#ifdef NO_STANDING
#define STANDING(x) (waiting[x] == 0)
#else
#define STANDING(x) (waiting[x] == 0 && LEASED(x, 1 - (x)) && LEASED(x, HOLDER))
#endif
#ifdef PAGE_ADOPTION
#define CONFIRMS(x) true
#else
#define CONFIRMS(x) STANDING(x)
#endif
#ifdef NO_HOLD_BACK
#define HELD_BACK(x) false
#else
#define HELD_BACK(x) (hold_back[x] > 0 && older[x])
#endif
#ifdef LOOKUP_WITHOUT_LEASE
#define MAY_ASK(x) true
#else
#define MAY_ASK(x) (link[PAIR(x, 1 - (x))] > 0)
#endif
/* No member that is still in the view may have started the key. */
#ifdef NO_LOOKUP
#define NOT_STARTED(x) true
#else
#ifdef SETTLED_AT_RECEIPT
#define NOT_STARTED(x) (settled[x] || searched[x] || view[PAIR(x, 1 - (x))] == 0)
#else
#define NOT_STARTED(x) (!moved[x] || searched[x] || view[PAIR(x, 1 - (x))] == 0)
#endif
#endif
#ifdef NO_LINK_LEASE
#define OBEYED(x, n) true
#else
#define OBEYED(x, n) (view[PAIR(HOLDER, x)] == (n) && link[PAIR(HOLDER, x)] > 0)
#endif
#ifdef CHECK_AT_RECEIPT
#define OBEYED_AT_START(x, n) true
#else
#define OBEYED_AT_START(x, n) OBEYED(x, n)
#endif

#ifdef PAGE_NAMING
#define NAMED (view[PAIR(HOLDER, owner)] == owner_incarnation)
#else
#define NAMED (view[PAIR(HOLDER, owner)] == owner_incarnation && link[PAIR(HOLDER, owner)] > 0)
#endif

#define DOWN(timer) timer = (timer > 0 -> timer - 1 : 0)

/* The members changed: a key that was issued before has to be searched, again if it was before. */
inline move(x) {
	moved[x] = issued;
#ifndef STALE_LOOKUP
	searched[x] = false;
#endif
#ifdef SETTLED_AT_RECEIPT
	settled[x] = false
#endif
}

inline begin_hold_back(x) {
	hold_back[x] = HOLD_BACK; older[x] = issued
}

inline lengthen(x) {
	if :: paused[x] && paused_for[x] < SILENCE -> paused_for[x]++ :: else fi
}

/* x removes y from its view. */
inline lose(x, y) {
	removed[PAIR(x, y)] = view[PAIR(x, y)];
	view[PAIR(x, y)] = 0; link[PAIR(x, y)] = 0; silence[PAIR(x, y)] = 0;
	if :: x < HOLDER && y < HOLDER -> begin_hold_back(x); move(x) :: else fi
}

/* A new incarnation waits before it starts keys; its hold-back begins at the end of the wait. */
inline wait_on(x) {
	if
	:: waiting[x] > 0 && !paused[x] ->
		waiting[x]--;
#if !defined(NO_HOLD_BACK_AT_JOIN) && !defined(HOLD_BACK_FROM_START)
		if :: waiting[x] == 0 && x < HOLDER -> begin_hold_back(x) :: else fi
#endif
	:: else
	fi
}

/* x receives a new incarnation and gives up its keys; the tasks become unadopted. */
inline renew_incarnation(x) {
	incarnation[x]++;
	if :: x < HOLDER -> known[x] = false; move(x) :: else fi;
	link[PAIR(x, (x + 1) % 3)] = 0;
	link[PAIR(x, (x + 2) % 3)] = 0;
#ifndef NO_START_WAIT
	waiting[x] = START_WAIT;
#endif
#ifdef HOLD_BACK_FROM_START
	if :: x < HOLDER -> begin_hold_back(x) :: else fi
#endif
}

/* x pings y and y answers. */
inline ping(x, y) {
	if
	:: incarnation[x] <= removed[PAIR(y, x)] ->
		/* rejoin */
		if :: incarnation[x] < INC -> renew_incarnation(x) :: else fi
	:: else ->
		if
		:: view[PAIR(y, x)] != 0 && view[PAIR(y, x)] != incarnation[x] -> lose(y, x)
		:: else
		fi;
		if
		:: view[PAIR(y, x)] == 0 ->
			view[PAIR(y, x)] = incarnation[x];
			if :: x < HOLDER && y < HOLDER -> move(y) :: else fi
		:: else
		fi;
		silence[PAIR(y, x)] = SILENCE;
		/* A pong counts only from the incarnation in the view. */
		if
		:: view[PAIR(x, y)] == incarnation[y] ->
			if :: x < HOLDER && y < HOLDER && link[PAIR(x, y)] == 0 -> moved[x] = issued :: else fi;
			link[PAIR(x, y)] = LINK_LEASE
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
	running = true; owner = x; owner_incarnation = queued[x]; left = TASK;
	queued[x] = 0
}

#define DUE(x) (view[PAIR(x, ((x) + 1) % 3)] != 0 && silence[PAIR(x, ((x) + 1) % 3)] == 0 || view[PAIR(x, ((x) + 2) % 3)] != 0 && silence[PAIR(x, ((x) + 2) % 3)] == 0)
#define SETTLED(x, y) (exchanged[3 - (x) - (y)] && ((x) + (y) != 1 || pinged) || paused[x] || paused[y])

proctype network() {
	do
	/* The two directions are apart: host 0 may have heard host 1 before host 1 has heard it, or the reverse. */
	:: d_step { !paused[0] && !paused[1] && !exchanged[2] -> ping(0, 1); exchanged[2] = true }
	:: d_step { !paused[0] && !paused[1] && !pinged -> ping(1, 0); pinged = true }
	:: d_step { !paused[0] && !paused[2] && !exchanged[1] -> exchange(0, 2) }
	:: d_step { !paused[1] && !paused[2] && !exchanged[0] -> exchange(1, 2) }

	/* A tick: all running pairs exchanged pings and all due removals are done. */
	:: d_step { SETTLED(0, 1) && SETTLED(0, 2) && SETTLED(1, 2) &&
		(paused[0] || !DUE(0)) && (paused[1] || !DUE(1)) && (paused[2] || !DUE(2)) ->
		exchanged[0] = false; exchanged[1] = false; exchanged[2] = false; pinged = false;
		lengthen(0); lengthen(1); lengthen(2);
		DOWN(silence[1]); DOWN(silence[2]); DOWN(silence[3]);
		DOWN(silence[5]); DOWN(silence[6]); DOWN(silence[7]);
		DOWN(link[1]); DOWN(link[2]); DOWN(link[3]);
		DOWN(link[5]); DOWN(link[6]); DOWN(link[7]);
		DOWN(hold_back[0]); DOWN(hold_back[1]);
		if :: hold_back[0] == 0 -> older[0] = false :: else fi;
		if :: hold_back[1] == 0 -> older[1] = false :: else fi;
		wait_on(0); wait_on(1); wait_on(2);
		DOWN(left);
		if :: running && left == 0 -> running = false; owner = 0; owner_incarnation = 0 :: else fi
	}

	:: d_step { !issued -> issued = true }
	od
}

proctype host(byte x) {
	do
	/* Silent peers leave the view. */
	:: d_step { !paused[x] && view[PAIR(x, (x + 1) % 3)] != 0 && silence[PAIR(x, (x + 1) % 3)] == 0 -> lose(x, ((x + 1) % 3)) }
	:: d_step { !paused[x] && view[PAIR(x, (x + 2) % 3)] != 0 && silence[PAIR(x, (x + 2) % 3)] == 0 -> lose(x, ((x + 2) % 3)) }

	:: d_step { !paused[x] && pauses < PAUSES -> pauses++; paused[x] = true }
	:: d_step { paused[x] && (paused_for[x] < SILENCE || incarnation[x] < INC) ->
		paused[x] = false;
#ifndef NO_SELF_REJOIN
		/* After its own pause of the silence limit the host counts as removed. */
		if :: paused_for[x] == SILENCE -> renew_incarnation(x) :: else fi;
#endif
#ifndef NO_TIMER_RESTART
		if
		:: paused_for[x] > 0 ->
			if :: waiting[x] > 0 -> waiting[x] = START_WAIT :: else fi;
			if :: view[PAIR(x, (x + 1) % 3)] != 0 -> silence[PAIR(x, (x + 1) % 3)] = SILENCE :: else fi;
			if :: view[PAIR(x, (x + 2) % 3)] != 0 -> silence[PAIR(x, (x + 2) % 3)] = SILENCE :: else fi
		:: else
		fi;
#endif
		paused_for[x] = 0
	}
	od
}

proctype coordinator(byte x) {
	do
	/* The peer answers a lookup that it does not know the key. */
	:: d_step { !paused[x] && !paused[1 - x] && issued && !known[x] && moved[x] && !searched[x] && COORDINATES(x) &&
		view[PAIR(x, 1 - x)] == incarnation[1 - x] && MAY_ASK(x) && !known[1 - x] ->
		searched[x] = true }
#ifdef SETTLED_AT_RECEIPT
	:: d_step { !paused[x] && issued && !known[x] && !moved[x] && COORDINATES(x) && !settled[x] -> settled[x] = true }
#endif

	/* The request is checked and place is sent; a pause may lie between the two. */
	:: d_step { !paused[x] && issued && !known[x] && place[x] == 0 && COORDINATES(x) && NOT_STARTED(x) &&
		STANDING(x) && !HELD_BACK(x) ->
		known[x] = true; place[x] = incarnation[x] }

	/* A crash followed by a start without state. */
	:: d_step { !paused[x] && crashes < CRASHES && incarnation[x] < INC ->
		crashes++;
		renew_incarnation(x);
		view[PAIR(x, (x + 1) % 3)] = 0; silence[PAIR(x, (x + 1) % 3)] = 0; removed[PAIR(x, (x + 1) % 3)] = 0;
		view[PAIR(x, (x + 2) % 3)] = 0; silence[PAIR(x, (x + 2) % 3)] = 0; removed[PAIR(x, (x + 2) % 3)] = 0;
	}

	/* The task is adopted by the current coordinator of its key. */
	:: d_step { !paused[x] && !paused[HOLDER] && running && view[PAIR(HOLDER, owner)] != owner_incarnation &&
		ASKED(x) && COORDINATES(x) && CONFIRMS(x) && view[PAIR(HOLDER, x)] == incarnation[x] && (!known[x] || owner == x) ->
		known[x] = true; owner = x; owner_incarnation = incarnation[x] }

	/* place arrives at the holder. */
	:: d_step { !paused[HOLDER] && place[x] > 0 ->
		if :: OBEYED(x, place[x]) -> queued[x] = place[x] :: else fi;
		place[x] = 0
	}
	/* The holder starts a queued task. */
	:: d_step { !paused[HOLDER] && queued[x] > 0 ->
		if
		:: OBEYED_AT_START(x, queued[x]) -> start_copy(x)
		:: else -> queued[x] = 0
		fi
	}
	od
}

proctype holder() {
	do
	/* A renewal names the task under a link lease from its coordinator. */
	:: d_step { !paused[HOLDER] && running && NAMED && left < TASK -> left = TASK }
#ifdef NO_ADOPTION
	:: d_step { !paused[HOLDER] && running && left < TASK -> left = TASK }
#endif
	od
}

init {
	atomic {
		incarnation[0] = 1; incarnation[1] = 1; incarnation[2] = 1;
		view[1] = 1; view[2] = 1; view[3] = 1; view[5] = 1; view[6] = 1; view[7] = 1;
		silence[1] = SILENCE; silence[2] = SILENCE; silence[3] = SILENCE;
		silence[5] = SILENCE; silence[6] = SILENCE; silence[7] = SILENCE;
		link[1] = LINK_LEASE; link[2] = LINK_LEASE; link[3] = LINK_LEASE;
		link[5] = LINK_LEASE; link[6] = LINK_LEASE; link[7] = LINK_LEASE;
		run network();
		run host(0); run host(1); run host(2);
		run coordinator(0); run coordinator(1);
		run holder()
	}
}
