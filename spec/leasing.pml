/* How long the lease of a worker is waited for: two schedulers that follow each other, one worker with a run. The
 * first one may be cut off and go on without knowing of the second. Time passes in ticks.
 *
 * Guards, each of which can be switched off:
 *   NO_LEADERSHIP_LIMIT  a scheduler extends the lease however long ago its last append was answered
 *   NO_UNEXTENDED        a scheduler goes on to extend a lease whose worker it has noted as silent
 *   NO_HEARD_FIRST       a scheduler extends the lease again before the end of the silence is in the journal
 *   FROM_ELECTION        a successor waits for a lease from its election on, as if the first one had stopped then
 */
#define LEASE 2
#define LEADERSHIP 3
#define TICKS 12

byte now;

/* The worker: when its lease ends, and the scheduler whose orders it takes. */
byte until = LEASE, fence;

/* What a successor takes for the end of the lease before it has heard the worker. */
#ifdef FROM_ELECTION
#define UNHEARD since + LEASE
#else
#define UNHEARD since + LEADERSHIP + LEASE
#endif

/* The journal: whose appends it takes, and the silence of the worker with the end of its lease at the latest. */
byte owner;
bool silent;
byte lapse;

byte since; /* The election of the second scheduler. */

/* Each scheduler: its last answered append, whether it holds the lease back, and whether it has heard the worker
 * since it noted the silence. */
byte committed[2];
bool back[2], heard[2];

/* The end of the lease as a scheduler knows it. */
byte known[2];

#ifdef NO_LEADERSHIP_LIMIT
#define LEADS(host) true
#else
#define LEADS(host) (now <= committed[host] + LEADERSHIP)
#endif
#ifdef NO_UNEXTENDED
#define MAY_EXTEND(host) true
#else
#ifdef NO_HEARD_FIRST
#define MAY_EXTEND(host) (!back[host] || heard[host])
#else
#define MAY_EXTEND(host) (!back[host])
#endif
#endif

proctype scheduler(byte host) {
end:
  do
  :: atomic { fence <= host && LEADS(host) && MAY_EXTEND(host) -> fence = host; until = now + LEASE; known[host] = until }
  /* An append is answered only to the scheduler whose epoch the journal takes. */
  :: atomic { owner == host -> committed[host] = now }
  /* The silence is noted; what is left of the lease counts from the append. */
  :: atomic { !silent && owner == host && !back[host] -> back[host] = true; heard[host] = false; silent = true; lapse = known[host]; committed[host] = now }
  /* The worker answers. */
  :: atomic { fence <= host && back[host] && !heard[host] -> fence = host; heard[host] = true; known[host] = until }
  /* The end of the silence is in the journal. */
  :: atomic { back[host] && heard[host] && owner == host -> silent = false; back[host] = false; committed[host] = now }
  /* The second one takes the run for gone when the lease must have ended. */
  :: atomic { host == 1 && silent && now >= lapse -> assert(until <= now); break }
  :: atomic { host == 1 && !silent && now >= known[1] -> assert(until <= now); break }
  od
}

init {
  known[0] = LEASE;
  run scheduler(0);
  do
  :: atomic { now < TICKS -> now++ }
  :: atomic { owner == 0 -> owner = 1; since = now; committed[1] = now; back[1] = silent; heard[1] = false; known[1] = UNHEARD; run scheduler(1) }
  :: now == TICKS -> break
  od
}
