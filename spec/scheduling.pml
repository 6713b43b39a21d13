/* Who may order a worker: one journal with epochs, fences at the workers, and orders without an answer that are
 * carried out late. One task, two hosts that may schedule, two workers.
 *
 * Guards, each of which can be switched off:
 *   NO_EPOCH          the store takes appends of any epoch
 *   NO_RECORD_FIRST   a start order is sent before its run is in the journal
 *   NO_RAISED_LOOK    a list under the fence of the order itself counts as word on the order
 *   NO_END_FIRST      an end is acknowledged to its worker before it is in the journal
 */
#ifndef ELECTIONS
#define ELECTIONS 2
#endif
#ifndef RUNS
#define RUNS 3
#endif
#define HOSTS 2
#define WORKERS 2

/* The journal: the epoch that the store takes appends from, and the state of the task. */
byte epoch;
bool given, done;

/* noted tells that an end was acknowledged to its worker. */
bool noted;
byte current, worker;

/* The workers. A worker keeps the highest fence, the run that it has, the highest run that ended there, and the
 * end that is not acknowledged yet. */
byte fence[WORKERS], present[WORKERS], barred[WORKERS], ended[WORKERS];

/* The start order of each run may be under way for any time, to one worker. */
bool under[RUNS + 1];
byte orderWorker[RUNS + 1], orderFence[RUNS + 1];

byte elections;

inline check() {
  assert(!(present[0] > 0 && present[1] > 0));
}

inline carry(number) {
  under[number] = false;
  if
  :: orderFence[number] >= fence[orderWorker[number]] && number > barred[orderWorker[number]] && present[orderWorker[number]] == 0 ->
       fence[orderWorker[number]] = orderFence[number];
       assert(!done && !noted); /* No start after an end that is recorded or acknowledged. */
       present[orderWorker[number]] = number;
       check()
  :: else
  fi
}

/* The network carries out a start order at any time after it was sent. */
active proctype network() {
end:
  do
  :: atomic { under[1] -> carry(1) }
  :: atomic { under[2] -> carry(2) }
  :: atomic { under[3] -> carry(3) }
  od
}

inline finish(place) {
  ended[place] = present[place];
  barred[place] = present[place];
  present[place] = 0
}

/* Workers end what they have at any time. */
active proctype work() {
end:
  do
  :: atomic { present[0] > 0 -> finish(0) }
  :: atomic { present[1] > 0 -> finish(1) }
  od
}

/* append_ok tells whether the store takes an append of a host. */
#ifdef NO_EPOCH
#define append_ok(own) true
#else
#define append_ok(own) (own == epoch)
#endif

#define order_fence(own) (own * 2)
#define look_fence(own) (own * 2 + 1)

proctype host(byte self) {
  byte own, place, number;
  bool mine_given, mine_done;
  byte mine_run, mine_worker;
end:
  do
  /* Election: the host reads the journal to its end and raises the epoch in one conditional append. */
  :: atomic {
       elections < ELECTIONS ->
       elections++;
       epoch++;
       own = epoch;
       mine_given = given; mine_done = done; mine_run = current; mine_worker = worker
     }
  /* Place: the run goes into the journal, then its order is sent. */
  :: own > 0 && !mine_given && !mine_done && mine_run < RUNS ->
       if
       :: place = 0
       :: place = 1
       fi;
       number = mine_run + 1;
#ifdef NO_RECORD_FIRST
       atomic { under[number] = true; orderWorker[number] = place; orderFence[number] = order_fence(own) };
#endif
       atomic {
         if
         :: append_ok(own) ->
              given = true; current = number; worker = place;
              mine_given = true; mine_run = number; mine_worker = place
         :: else -> own = 0
         fi
       };
#ifndef NO_RECORD_FIRST
       atomic {
         if
         :: own > 0 -> under[number] = true; orderWorker[number] = place; orderFence[number] = order_fence(own)
         :: else
         fi
       };
#endif
       number = 0; place = 0
  /* Look: the worker's list under a raised fence tells what became of the run. */
  :: own > 0 && mine_given ->
       atomic {
         if
#ifdef NO_RAISED_LOOK
         :: order_fence(own) >= fence[mine_worker] -> fence[mine_worker] = order_fence(own);
#else
         :: look_fence(own) >= fence[mine_worker] -> fence[mine_worker] = look_fence(own);
#endif
              if
              :: present[mine_worker] == mine_run -> skip
              :: present[mine_worker] != mine_run && ended[mine_worker] == mine_run -> number = 1
              :: else -> number = 2
              fi
         :: else -> own = 0 /* A higher fence: another host schedules. */
         fi
       };
#ifdef NO_END_FIRST
       if
       :: number == 1 -> ended[mine_worker] = 0; noted = true
       :: else
       fi;
#endif
       atomic {
         if
         :: own > 0 && number > 0 && append_ok(own) ->
              given = false; mine_given = false;
              if
              :: number == 1 -> done = true; mine_done = true; ended[mine_worker] = 0; noted = true
              :: else
              fi
         :: own > 0 && number > 0 && !append_ok(own) -> own = 0
         :: else
         fi;
         number = 0
       }
  od
}

init {
  atomic { run host(0); run host(1) }
}
