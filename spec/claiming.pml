/*
 * Claims in log order (docs/design.md 3.3).
 *
 * Two claimants in two data centres claim one key through one stream. Events are
 * ordered; there is no clock. An append is confirmed, refused, or its response is
 * lost; an append with a lost response takes effect at any later time or never.
 * A claimant can be killed at each step and then loses all state that is not in
 * the log; its earlier claim does not count as its own. A reader that starts on a
 * trimmed stream makes no decision before it has read a checkpoint that covers
 * its first offset.
 *
 * Bound: a stream of at most RECORDS records, KILLS kills of the two claimants together, one append
 * of each kind in flight per claimant, CHECKPOINTS checkpoints,
 * one trimming.
 *
 * Each macro switches one guard off. The PAGE_ macros and KEY_WITH_ORIGIN select
 * readings of docs/design.md in which the model finds a violation.
 *   NO_CLAIM_BEFORE_DISPATCH  the task is started when the append is confirmed, before its record is read back
 *   NO_VOID                   not_run is reported without a void
 *   NO_REREAD                 not_run is reported when the response to the append is lost
 *   NO_CHECKPOINT             the log trims records that no checkpoint covers, and readers decide without one
 *   PAGE_LOG_DOWN             not_run is reported when the append is refused
 *   PAGE_TRIMMED_READ         a reader that starts on a trimmed stream decides without a checkpoint
 *   KEY_WITH_ORIGIN           a reader ignores the claims of the other claimant
 */
#ifndef RECORDS
#define RECORDS 4
#endif
#ifndef KILLS
#define KILLS 1
#endif

#ifndef CHECKPOINTS
#define CHECKPOINTS 1
#endif

/* Values of a record and of a reader's decision. */
#define NONE 0
#define VOID 1
#define CLAIM(x, kills) (2 + (x) * (KILLS + 1) + (kills))
#define CHECKPOINT 16 /* CHECKPOINT + decision */

/* States of a claimant. */
#define IDLE 0
#define CLAIM_SENT 1       /* the append of the claim is in flight */
#define APPENDED 2      /* the append was confirmed; waits until the record is read back */
#define UNCERTAIN 3  /* the response to the append was lost */
#define VOIDING 4    /* a void was sent; the first record decides */
#define CANCELLING 5 /* the caller cancelled; a void was sent */
#define STARTED 6
#define NOT_RUN 7
#define UNKNOWN 8

#if defined(PAGE_TRIMMED_READ) || defined(NO_CHECKPOINT)
#define COMPLETE(x) true
#else
#define COMPLETE(x) is_complete[x]
#endif

/*
 * With ONE_HOME the caller sends the key to one data centre only, and not again after not_run; claimant 1 is then only
 * a reader. A refused append is then reported as not_run if the key was issued after the last kill.
 */
#ifdef ONE_HOME
#define MAY_CLAIM(x) ((x) == 0 && !told_not_run)
#else
#define MAY_CLAIM(x) true
#endif

byte record[RECORDS];
byte covered_offset[RECORDS]; /* offset up to which a checkpoint covers the stream */
byte end_offset;
byte oldest_offset;
byte checkpoints;

byte state[2];
byte kills[2];
byte decision[2];         /* the first record of the key that the reader knows; it decides */
byte next_offset[2];          /* offset to read next */
bool is_complete[2];         /* the reader's state covers all earlier records */
byte read_from[2];          /* offset at which the reader began */
byte claim_in_flight[2];  /* claim in flight, NONE for none */
bool void_in_flight[2];

bool issued;
byte issued_after;     /* kills before the key was issued */
byte starts;
bool told_not_run;

inline append_record(value) {
	record[end_offset] = value;
	end_offset++
}

inline check() {
	assert(starts <= 1);                   /* P5 */
	assert(!(told_not_run && starts > 0))  /* P4 */
}

inline start(x) {
	state[x] = STARTED; starts++; check()
}

inline not_run(x) {
	state[x] = NOT_RUN; told_not_run = true; check()
}

inline read_record(x) {
	if
	:: record[next_offset[x]] >= CHECKPOINT ->
		if
		:: !is_complete[x] && covered_offset[next_offset[x]] >= read_from[x] ->
			/* The checkpoint decides for the records that it covers. */
			is_complete[x] = true; read_from[x] = 0;
			if
			:: record[next_offset[x]] != CHECKPOINT -> decision[x] = record[next_offset[x]] - CHECKPOINT
			:: else
			fi
		:: else
		fi
#ifdef KEY_WITH_ORIGIN
	:: record[next_offset[x]] > VOID && record[next_offset[x]] < CHECKPOINT && (record[next_offset[x]] - 2) / (KILLS + 1) != x -> skip
#endif
	:: else ->
		if :: decision[x] == NONE -> decision[x] = record[next_offset[x]] :: else fi
	fi;
	next_offset[x]++
}

proctype claimant(byte x) {
	do
	/* A request arrives: append the claim. */
	:: d_step { state[x] == IDLE && claim_in_flight[x] == NONE && MAY_CLAIM(x) ->
		if :: !issued -> issued = true; issued_after = kills[0] + kills[1] :: else fi;
		claim_in_flight[x] = CLAIM(x, kills[x]); state[x] = CLAIM_SENT }
	/* The append takes effect and is confirmed. */
	:: d_step { state[x] == CLAIM_SENT && claim_in_flight[x] == CLAIM(x, kills[x]) && end_offset < RECORDS ->
		append_record(claim_in_flight[x]); claim_in_flight[x] = NONE;
#ifdef NO_CLAIM_BEFORE_DISPATCH
		start(x)
#else
		state[x] = APPENDED
#endif
	}
	/* The append is refused: the log certainly does not have the record. */
	:: d_step { state[x] == CLAIM_SENT && claim_in_flight[x] == CLAIM(x, kills[x]) ->
		claim_in_flight[x] = NONE;
#if defined(PAGE_LOG_DOWN)
		not_run(x)
#elif defined(ONE_HOME)
		if
		:: issued_after == kills[0] + kills[1] -> not_run(x) /* issued after the last kill */
		:: else -> state[x] = UNKNOWN
		fi
#else
		state[x] = UNKNOWN
#endif
	}
	/* The response is lost. */
	:: d_step { state[x] == CLAIM_SENT ->
#ifdef NO_REREAD
		not_run(x)
#else
		state[x] = UNCERTAIN
#endif
	}
	/*
	 * An append without a response takes effect late or never. A void that is lost and
	 * sent again is modelled as one that takes effect late.
	 */
	:: d_step { claim_in_flight[x] != NONE && end_offset < RECORDS -> append_record(claim_in_flight[x]); claim_in_flight[x] = NONE }
	:: d_step { claim_in_flight[x] != NONE && state[x] != CLAIM_SENT -> claim_in_flight[x] = NONE }
	:: d_step { void_in_flight[x] && end_offset < RECORDS -> append_record(VOID); void_in_flight[x] = false }

	/* The stream was read to its end without the record: append a void. */
	:: d_step { state[x] == UNCERTAIN && next_offset[x] == end_offset && decision[x] == NONE && !void_in_flight[x] ->
#ifdef NO_VOID
		not_run(x)
#else
		void_in_flight[x] = true; state[x] = VOIDING
#endif
	}
	/* Cancellation before the dispatch. */
	:: d_step { (state[x] == IDLE || state[x] == CLAIM_SENT || state[x] == APPENDED || state[x] == UNCERTAIN) && !void_in_flight[x] ->
#ifdef NO_VOID
		not_run(x)
#else
		void_in_flight[x] = true; state[x] = CANCELLING
#endif
	}

	/*
	 * Reads to the end of the stream, or one record while the state is not complete. A
	 * reader that does not take this step lags behind.
	 */
	:: d_step { next_offset[x] < end_offset && next_offset[x] >= oldest_offset ->
		read_record(x);
		do
		:: next_offset[x] < end_offset && is_complete[x] -> read_record(x)
		:: else -> break
		od;
		skip
	}
	/* The offset was trimmed: restart at the oldest record. */
	:: d_step { next_offset[x] < oldest_offset ->
		next_offset[x] = oldest_offset; read_from[x] = oldest_offset; decision[x] = NONE; is_complete[x] = false }

	/* The first record decides. */
	:: d_step { state[x] >= APPENDED && state[x] <= CANCELLING && decision[x] != NONE && COMPLETE(x) ->
		if
		:: decision[x] == VOID -> not_run(x)
		:: decision[x] == CLAIM(x, kills[x]) ->
			if
			:: state[x] == CANCELLING -> not_run(x) /* the granted claim is abandoned without a start */
			:: else -> start(x)
			fi
		:: else -> state[x] = UNKNOWN
		fi
	}

	/* The claimant is killed and restarts without state; the caller repeats the request. */
	:: d_step { kills[0] + kills[1] < KILLS ->
		kills[x]++; state[x] = IDLE; decision[x] = NONE; next_offset[x] = oldest_offset; read_from[x] = oldest_offset; is_complete[x] = (oldest_offset == 0) }
	/* The caller repeats the request, here or at the other claimant. */
	:: d_step { state[x] == UNKNOWN -> state[x] = IDLE }
	/* A checkpoint is written by a reader whose state is complete. */
	:: d_step { end_offset < RECORDS && is_complete[x] && next_offset[x] > 0 && oldest_offset == 0 && checkpoints < CHECKPOINTS ->
		checkpoints++;
		record[end_offset] = CHECKPOINT + decision[x]; covered_offset[end_offset] = next_offset[x]; end_offset++ }
	od
}

proctype log() {
	byte i;
	do
	/* The log trims only records that a checkpoint in the stream covers, and keeps the last covered one. */
	:: d_step { oldest_offset == 0 ->
		i = 0;
#ifdef NO_CHECKPOINT
		oldest_offset = end_offset;
#else
		do
		:: i < end_offset ->
			if
			:: record[i] >= CHECKPOINT && oldest_offset == 0 -> oldest_offset = (covered_offset[i] > 1 -> covered_offset[i] - 1 : covered_offset[i])
			:: else
			fi;
			i++
		:: else -> break
		od;
#endif
		i = 0
	}
	od
}

init {
	atomic {
		is_complete[0] = true;
		is_complete[1] = true;
		run claimant(0);
		run claimant(1);
		run log()
	}
}
