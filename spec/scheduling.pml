/* Scheduler leadership: which host may send orders to a worker. There is one journal with epochs, each worker has a
 * fence token, and an order without a response may be executed late. One task, two hosts that may schedule, two
 * workers.
 *
 * Each macro switches one guard off:
 *   NO_EPOCH          the store accepts appends of any epoch
 *   NO_RECORD_FIRST   a start order is sent before its run is in the journal
 *   NO_RAISED_LOOK    a worker's list under the fence token of the start order itself decides on the order
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

/* The journal: the epoch whose appends the store accepts, and the state of the task. */
byte epoch;
bool assigned, done;

/* acknowledged is set when an end was acknowledged to its worker. */
bool acknowledged;
byte current_run, current_worker;

/* The workers. A worker stores the highest fence token that it received, the run in progress, the highest run that
 * ended there, and the end that has not been acknowledged. */
byte fence[WORKERS], running[WORKERS], highest_ended[WORKERS], unacked_end[WORKERS];

/* The start order of each run is sent to one worker and may be in flight for any time. */
bool in_flight[RUNS + 1];
byte order_worker[RUNS + 1], order_fence_value[RUNS + 1];

byte elections;

inline check() {
  assert(!(running[0] > 0 && running[1] > 0));
}

inline deliver_start(number) {
  in_flight[number] = false;
  if
  :: order_fence_value[number] >= fence[order_worker[number]] && number > highest_ended[order_worker[number]] && running[order_worker[number]] == 0 ->
       fence[order_worker[number]] = order_fence_value[number];
       assert(!done && !acknowledged); /* No start after an end that is recorded or acknowledged. */
       running[order_worker[number]] = number;
       check()
  :: else
  fi
}

/* The network delivers a start order at any time after it was sent. */
active proctype network() {
end:
  do
  :: atomic { in_flight[1] -> deliver_start(1) }
  :: atomic { in_flight[2] -> deliver_start(2) }
  :: atomic { in_flight[3] -> deliver_start(3) }
  od
}

inline end_run(target) {
  unacked_end[target] = running[target];
  highest_ended[target] = running[target];
  running[target] = 0
}

/* Runs end at any time. */
active proctype end_tasks() {
end:
  do
  :: atomic { running[0] > 0 -> end_run(0) }
  :: atomic { running[1] > 0 -> end_run(1) }
  od
}

/* append_accepted tells whether the store accepts an append of a host. */
#ifdef NO_EPOCH
#define append_accepted(my_epoch) true
#else
#define append_accepted(my_epoch) (my_epoch == epoch)
#endif

#define order_fence(my_epoch) (my_epoch * 2)
#define list_fence(my_epoch) (my_epoch * 2 + 1)

proctype host(byte self) {
  byte my_epoch, target, number;
  bool my_assigned, my_done;
  byte my_run, my_worker;
end:
  do
  /* Election: the host reads the journal to its end and raises the epoch in one conditional append. */
  :: atomic {
       elections < ELECTIONS ->
       elections++;
       epoch++;
       my_epoch = epoch;
       my_assigned = assigned; my_done = done; my_run = current_run; my_worker = current_worker
     }
  /* Placement: the run is appended to the journal, then its start order is sent. */
  :: my_epoch > 0 && !my_assigned && !my_done && my_run < RUNS ->
       if
       :: target = 0
       :: target = 1
       fi;
       number = my_run + 1;
#ifdef NO_RECORD_FIRST
       atomic { in_flight[number] = true; order_worker[number] = target; order_fence_value[number] = order_fence(my_epoch) };
#endif
       atomic {
         if
         :: append_accepted(my_epoch) ->
              assigned = true; current_run = number; current_worker = target;
              my_assigned = true; my_run = number; my_worker = target
         :: else -> my_epoch = 0
         fi
       };
#ifndef NO_RECORD_FIRST
       atomic {
         if
         :: my_epoch > 0 -> in_flight[number] = true; order_worker[number] = target; order_fence_value[number] = order_fence(my_epoch)
         :: else
         fi
       };
#endif
       number = 0; target = 0
  /* List: the worker's list of runs under a raised fence token shows whether the run is running, ended or never
   * started. In this step number is 0, 1 or 2 for these states, not a run number. */
  :: my_epoch > 0 && my_assigned ->
       atomic {
         if
#ifdef NO_RAISED_LOOK
         :: order_fence(my_epoch) >= fence[my_worker] -> fence[my_worker] = order_fence(my_epoch);
#else
         :: list_fence(my_epoch) >= fence[my_worker] -> fence[my_worker] = list_fence(my_epoch);
#endif
              if
              :: running[my_worker] == my_run -> skip
              :: running[my_worker] != my_run && unacked_end[my_worker] == my_run -> number = 1
              :: else -> number = 2
              fi
         :: else -> my_epoch = 0 /* A higher fence: another host schedules. */
         fi
       };
#ifdef NO_END_FIRST
       if
       :: number == 1 -> unacked_end[my_worker] = 0; acknowledged = true
       :: else
       fi;
#endif
       atomic {
         if
         :: my_epoch > 0 && number > 0 && append_accepted(my_epoch) ->
              assigned = false; my_assigned = false;
              if
              :: number == 1 -> done = true; my_done = true; unacked_end[my_worker] = 0; acknowledged = true
              :: else
              fi
         :: my_epoch > 0 && number > 0 && !append_accepted(my_epoch) -> my_epoch = 0
         :: else
         fi;
         number = 0
       }
  od
}

init {
  atomic { run host(0); run host(1) }
}
