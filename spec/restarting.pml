/* Orders to a worker that restarts under its identity: one scheduler, one worker with several incarnations, and one task. The
 * worker's first incarnation has reported an end before, which the scheduler has acknowledged. Time passes in ticks; an order
 * arrives in the tick in which it was sent, or is lost, and its answer may be lost.
 *
 * Each macro switches one guard off:
 *   NO_BOUND_CONNECTION  an order for an earlier incarnation reaches the current one
 *   NO_ACKNOWLEDGEMENT   the scheduler acknowledges no ends, so that only the lease counts
 * LONGEST_LEASE adds the guard of orders that are not bound to an incarnation: until the worker has listed the run, and after a restart
 * that it has reported, the scheduler reckons with the longest lease that a worker grants.
 */
#define LEASE 2
#define LONGEST 5
#define EXTENSION 1
#ifndef TICKS
#define TICKS 9
#endif
#define INCARNATIONS 3

mtype = { idle, sent, confirmed, over };

byte now;

/* The worker: its incarnation, whether it works on the run and until when, the number of its last end, and whether it lists the end
 * of the run. */
byte incarnation = 1, lease_end, sequence = 1;
bool running, listed;

/* The scheduler: the incarnation that it knows, the last end that it has acknowledged, when the worker has answered last and when the
 * last order was sent that extends the lease, and whether the end of the run is in the journal. */
byte known = 1, acknowledged = 1, last_answer, extended_at;
#ifdef LONGEST_LEASE
byte restart_read_at;
#endif
mtype phase = idle;
bool recorded, settled;

/* The start order under way. */
bool starting;
byte start_sent_at, start_for;

#ifdef NO_BOUND_CONNECTION
#define REACHES(target) true
#else
#define REACHES(target) (target == incarnation)
#endif
/* The end of a lease is a time on the clock of the known incarnation, which is far ahead of that of a later one. */
#define GRANTED(target) (now + (target == incarnation -> LEASE : LONGEST))
#define MAY_EXTEND (now <= last_answer + EXTENSION)
#ifdef LONGEST_LEASE
#define EXPIRED (now > last_answer + EXTENSION + LEASE && (settled || now > extended_at + LONGEST) && now > restart_read_at + LONGEST)
#else
#define EXPIRED (now > last_answer + EXTENSION + LEASE)
#endif
#ifdef NO_ACKNOWLEDGEMENT
#define REMOVED false
#else
#define REMOVED (listed && sequence <= acknowledged)
#endif

inline executeLease() {
  if
  :: REACHES(known) ->
    if
    :: MAY_EXTEND -> extended_at = now;
      if
      :: GRANTED(known) > lease_end -> lease_end = GRANTED(known)
      :: else
      fi
    :: else
    fi;
    if
    :: REMOVED -> assert(recorded); listed = false
    :: else
    fi
  :: else
  fi
}

inline readReport() {
  if
  :: known != incarnation -> known = incarnation; acknowledged = 0;
#ifdef LONGEST_LEASE
    restart_read_at = now
#endif
  :: else
  fi;
  last_answer = now;
  if
  :: listed -> recorded = true; acknowledged = sequence; phase = over
  :: !listed && running -> phase = confirmed; settled = true
  :: !listed && !running && !starting && (phase == sent || phase == confirmed) -> phase = over
  :: else
  fi
}

init {
end:
  do
  :: atomic { now < TICKS && !(starting && start_sent_at == now) -> now++;
    if
    :: running && now > lease_end -> running = false
    :: else
    fi }
  :: atomic { incarnation < INCARNATIONS -> incarnation++; running = false; listed = false; sequence = 0; lease_end = now }
  :: atomic { phase == idle && MAY_EXTEND -> phase = sent; starting = true; start_sent_at = now; start_for = known; extended_at = now }
  /* The start order arrives. Its answer does not name the incarnation. */
  :: atomic { starting && REACHES(start_for) -> starting = false; running = true; lease_end = GRANTED(start_for);
    if
    :: phase == sent -> phase = confirmed
    :: skip
    fi }
  :: atomic { starting && !REACHES(start_for) -> starting = false; phase = over }
  :: atomic { starting -> starting = false }
  :: atomic { running -> running = false; listed = true; sequence++ }
  /* A lease order arrives and is answered, arrives and its answer is lost, or is lost. */
  :: atomic { now <= TICKS -> executeLease(); readReport() }
  :: atomic { now <= TICKS -> executeLease() }
  /* The run is presumed lost, and its task starts on another worker. */
  :: atomic { (phase == sent || phase == confirmed) && EXPIRED -> assert(!running); phase = over }
  /* The run counts as ended; its task may start on another worker if the end is not in the journal. */
  :: atomic { phase == over -> assert(!running || recorded); break }
  od
}
