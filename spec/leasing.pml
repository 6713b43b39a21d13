/* When a scheduler may treat the lease of an unreachable worker as expired: two successive schedulers, one worker with
 * a run. The first scheduler may be partitioned and continue without knowing of the second, and it may resign or link to the
 * second. Time passes in ticks.
 *
 * Each macro switches one guard off:
 *   NO_LEADERSHIP_LIMIT  a scheduler extends the lease regardless of the time since its last confirmed append
 *   NO_UNEXTENDED        a scheduler continues to extend the lease of a worker that it has recorded as silent
 *   NO_HEARD_FIRST       a scheduler extends the lease again before the end of the silence is in the journal
 *   FROM_ELECTION        a successor computes the lease end from its election, as if its predecessor had stopped then
 *   NO_RESIGNATION_STOP  a scheduler that has resigned continues to extend the lease
 *   NO_LINK_STOP         a scheduler that has linked to its successor continues to extend the lease
 *   FROM_REPEAT          a scheduler counts an append whose answer was lost from its repeat, which the store answers again
 *
 * LOST_ANSWERS adds appends whose answers are lost.
 */
#ifdef FROM_REPEAT
#define COMMITTED_AT now
#else
#define COMMITTED_AT last_batch
#endif
#define LEASE 2
#define LEADERSHIP 3
#ifndef TICKS
#define TICKS 12
#endif

byte now;

/* The worker: when its lease ends, and the scheduler whose orders it accepts. */
byte lease_end = LEASE, fence;

/* The latest possible lease end, which a successor assumes until the worker has responded to it. */
#ifdef FROM_ELECTION
#define ASSUMED_LEASE_END elected_at + LEASE
#else
#define ASSUMED_LEASE_END (resigned -> resigned_at + LEASE : last_batch + LEADERSHIP + LEASE)
#endif

/* The journal: the scheduler whose appends it accepts, and whether the worker is recorded as silent, with the latest
 * end of its lease. */
byte journal_scheduler;
bool worker_silent;
byte silent_lease_end;

byte elected_at; /* The time at which the second scheduler was elected. */

/* Whether the first scheduler has resigned, which is in the journal, and when, and whether it has linked to the second. */
bool resigned, linked;
byte resigned_at;

/* The time of the first scheduler's last batch in the journal, and whether the answer to its append was lost. */
byte last_batch;
bool unanswered;

/* Each scheduler: the time of its last confirmed append, whether it has stopped extending the lease, and whether the
 * worker has responded since the silence was recorded. */
byte last_append[2];
bool stopped_extending[2], responded[2];

/* The latest end of the lease that a scheduler knows. */
byte known_lease_end[2];

#ifdef NO_LEADERSHIP_LIMIT
#define LEADS(host) true
#else
#define LEADS(host) (now <= last_append[host] + LEADERSHIP)
#endif
#ifdef NO_RESIGNATION_STOP
#define RESIGNED false
#else
#define RESIGNED resigned
#endif
#ifdef NO_LINK_STOP
#define LINKED false
#else
#define LINKED linked
#endif
#define ENDED(host) (host == 0 && (RESIGNED || LINKED))
#ifdef NO_UNEXTENDED
#define MAY_EXTEND(host) true
#else
#ifdef NO_HEARD_FIRST
#define MAY_EXTEND(host) (!stopped_extending[host] || responded[host])
#else
#define MAY_EXTEND(host) (!stopped_extending[host])
#endif
#endif

proctype scheduler(byte host) {
end:
  do
  :: atomic { fence <= host && LEADS(host) && MAY_EXTEND(host) && !ENDED(host) -> fence = host; lease_end = now + LEASE; known_lease_end[host] = lease_end }
  /* An append is confirmed only to the scheduler whose epoch the journal accepts. */
  :: atomic { journal_scheduler == host && !(host == 0 && unanswered) -> last_append[host] = now; last_batch = (host == 0 -> now : last_batch) }
  /* The append takes effect and its answer is lost. The store answers the repeat as it would have answered the append, also
   * once the second scheduler has been elected. */
#ifdef LOST_ANSWERS
  :: atomic { host == 0 && journal_scheduler == 0 && !unanswered -> unanswered = true; last_batch = now }
  :: atomic { host == 0 && unanswered -> unanswered = false; last_append[0] = COMMITTED_AT }
#endif
  /* The silence is recorded with the lease end; the scheduler stops extending the lease. */
  :: atomic { !worker_silent && journal_scheduler == host && !stopped_extending[host] -> stopped_extending[host] = true; responded[host] = false; worker_silent = true; silent_lease_end = known_lease_end[host]; last_append[host] = now; last_batch = (host == 0 -> now : last_batch) }
  /* The worker responds. */
  :: atomic { fence <= host && stopped_extending[host] && !responded[host] -> fence = host; responded[host] = true; known_lease_end[host] = lease_end }
  /* The end of the silence is recorded in the journal. */
  :: atomic { stopped_extending[host] && responded[host] && journal_scheduler == host -> worker_silent = false; stopped_extending[host] = false; last_append[host] = now; last_batch = (host == 0 -> now : last_batch) }
  /* The resignation is recorded, and the second scheduler counts from it. */
  :: atomic { host == 0 && journal_scheduler == 0 && !resigned -> resigned = true; resigned_at = now }
  /* The first scheduler links to the second, which counts from the link. */
  :: atomic { host == 0 && journal_scheduler == 1 && !linked -> linked = true;
       if
       :: known_lease_end[1] > now + LEASE -> known_lease_end[1] = now + LEASE
       :: else
       fi }
  /* The second scheduler treats the run as ended when the lease must have expired. */
  :: atomic { host == 1 && worker_silent && now >= silent_lease_end -> assert(lease_end <= now); break }
  :: atomic { host == 1 && !worker_silent && now >= known_lease_end[1] -> assert(lease_end <= now); break }
  od
}

init {
  known_lease_end[0] = LEASE;
  run scheduler(0);
  do
  :: atomic { now < TICKS -> now++ }
  :: atomic { journal_scheduler == 0 -> journal_scheduler = 1; elected_at = now; last_append[1] = now; stopped_extending[1] = worker_silent; responded[1] = false; known_lease_end[1] = ASSUMED_LEASE_END; run scheduler(1) }
  :: now == TICKS -> break
  od
}
