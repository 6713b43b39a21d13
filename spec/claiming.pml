/*
 * Claims in log order (docs/design.md 3.3).
 *
 * Two claimants in two data centres work on one key through one stream. Events
 * are ordered; there is no clock. An append is answered, refused, or its answer
 * is lost; an append with a lost answer takes effect at any later time or never.
 * A claimant can be killed at each step and then loses everything but what the
 * log holds; its former claim does not count as its own. A reader that starts on
 * a trimmed stream decides nothing before it has read a checkpoint that covers
 * its first offset.
 *
 * Bound: a stream of at most RECORDS records, KILLS kills of the two claimants together, one append
 * of each kind in flight per claimant, CHECKPOINTS checkpoints,
 * one trimming.
 *
 * The default is the repaired protocol; PAGE_LOG_DOWN, PAGE_TRIMMED_READ and
 * KEY_WITH_ORIGIN give readings of the page that the model refutes.
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
#define CLAIM(x, life) (2 + (x) * (KILLS + 1) + (life))
#define CHECKPOINT 16 /* CHECKPOINT + decision */

/* States of a claimant. */
#define IDLE 0
#define SENT 1       /* the claim is on its way */
#define TAKEN 2      /* the append was answered; wait to read the record back */
#define UNCERTAIN 3  /* the answer of the append was lost */
#define VOIDING 4    /* a void was sent; the first record decides */
#define CANCELLING 5 /* the caller cancelled; a void was sent */
#define STARTED 6
#define NOT_RUN 7
#define UNKNOWN 8

#if defined(PAGE_TRIMMED_READ) || defined(NO_CHECKPOINT)
#define COMPLETE(x) true
#else
#define COMPLETE(x) based[x]
#endif

/*
 * With ONE_HOME the caller sends the key to one data centre only, and not again after not_run; claimant 1 is then a reader. A
 * refused append is then told as not_run when the key was issued after the last kill.
 */
#ifdef ONE_HOME
#define HOME(x) ((x) == 0 && !told_not_run)
#else
#define HOME(x) true
#endif

byte record[RECORDS];
byte covered[RECORDS]; /* offset that a checkpoint covers */
byte end;
byte oldest;
byte checkpoints;

byte state[2];
byte life[2];
byte first[2];         /* the decision as the reader knows it */
byte next[2];          /* offset to read next */
bool based[2];         /* the reader's state covers all earlier records */
byte from[2];          /* offset at which the reader began */
byte claim_flight[2];  /* claim in flight, NONE for none */
bool void_flight[2];

bool issued;
byte issued_after;     /* kills before the key was issued */
byte starts;
bool told_not_run;

inline put(value) {
	record[end] = value;
	end++
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

inline read_one(x) {
	if
	:: record[next[x]] >= CHECKPOINT ->
		if
		:: !based[x] && covered[next[x]] >= from[x] ->
			/* The checkpoint decides for the records that it covers. */
			based[x] = true; from[x] = 0;
			if
			:: record[next[x]] != CHECKPOINT -> first[x] = record[next[x]] - CHECKPOINT
			:: else
			fi
		:: else
		fi
#ifdef KEY_WITH_ORIGIN
	:: record[next[x]] > VOID && record[next[x]] < CHECKPOINT && (record[next[x]] - 2) / (KILLS + 1) != x -> skip
#endif
	:: else ->
		if :: first[x] == NONE -> first[x] = record[next[x]] :: else fi
	fi;
	next[x]++
}

proctype claimant(byte x) {
	do
	/* A request arrives: append the claim. */
	:: d_step { state[x] == IDLE && claim_flight[x] == NONE && HOME(x) ->
		if :: !issued -> issued = true; issued_after = life[0] + life[1] :: else fi;
		claim_flight[x] = CLAIM(x, life[x]); state[x] = SENT }
	/* The append takes effect and is answered. */
	:: d_step { state[x] == SENT && claim_flight[x] == CLAIM(x, life[x]) && end < RECORDS ->
		put(claim_flight[x]); claim_flight[x] = NONE;
#ifdef NO_CLAIM_BEFORE_DISPATCH
		start(x)
#else
		state[x] = TAKEN
#endif
	}
	/* The append is refused: the log certainly does not have the record. */
	:: d_step { state[x] == SENT && claim_flight[x] == CLAIM(x, life[x]) ->
		claim_flight[x] = NONE;
#if defined(PAGE_LOG_DOWN)
		not_run(x)
#elif defined(ONE_HOME)
		if
		:: issued_after == life[0] + life[1] -> not_run(x) /* issued after the last loss */
		:: else -> state[x] = UNKNOWN
		fi
#else
		state[x] = UNKNOWN
#endif
	}
	/* The answer is lost. */
	:: d_step { state[x] == SENT ->
#ifdef NO_REREAD
		not_run(x)
#else
		state[x] = UNCERTAIN
#endif
	}
	/*
	 * An append without an answer takes effect late, or never. A void that is lost and
	 * sent again is a void that takes effect late.
	 */
	:: d_step { claim_flight[x] != NONE && end < RECORDS -> put(claim_flight[x]); claim_flight[x] = NONE }
	:: d_step { claim_flight[x] != NONE && state[x] != SENT -> claim_flight[x] = NONE }
	:: d_step { void_flight[x] && end < RECORDS -> put(VOID); void_flight[x] = false }

	/* The stream was read to its end without the record: append a void. */
	:: d_step { state[x] == UNCERTAIN && next[x] == end && first[x] == NONE && !void_flight[x] ->
#ifdef NO_VOID
		not_run(x)
#else
		void_flight[x] = true; state[x] = VOIDING
#endif
	}
	/* Cancellation before the dispatch. */
	:: d_step { (state[x] == IDLE || state[x] == SENT || state[x] == TAKEN || state[x] == UNCERTAIN) && !void_flight[x] ->
#ifdef NO_VOID
		not_run(x)
#else
		void_flight[x] = true; state[x] = CANCELLING
#endif
	}

	/*
	 * Read to the end of the stream, or one record while the state is not complete; a
	 * reader lags as long as it does not take this step.
	 */
	:: d_step { next[x] < end && next[x] >= oldest ->
		read_one(x);
		do
		:: next[x] < end && based[x] -> read_one(x)
		:: else -> break
		od;
		skip
	}
	/* The offset was trimmed: begin again at the oldest record. */
	:: d_step { next[x] < oldest ->
		next[x] = oldest; from[x] = oldest; first[x] = NONE; based[x] = false }

	/* The first record decides. */
	:: d_step { state[x] >= TAKEN && state[x] <= CANCELLING && first[x] != NONE && COMPLETE(x) ->
		if
		:: first[x] == VOID -> not_run(x)
		:: first[x] == CLAIM(x, life[x]) ->
			if
			:: state[x] == CANCELLING -> not_run(x) /* the only claim is given up unused */
			:: else -> start(x)
			fi
		:: else -> state[x] = UNKNOWN
		fi
	}

	/* The claimant is killed and starts again without state; the caller repeats the request. */
	:: d_step { life[0] + life[1] < KILLS ->
		life[x]++; state[x] = IDLE; first[x] = NONE; next[x] = oldest; from[x] = oldest; based[x] = (oldest == 0) }
	/* The caller repeats the request, here or at the other claimant. */
	:: d_step { state[x] == UNKNOWN -> state[x] = IDLE }
	/* A checkpoint is written by a reader whose state is complete. */
	:: d_step { end < RECORDS && based[x] && next[x] > 0 && oldest == 0 && checkpoints < CHECKPOINTS ->
		checkpoints++;
		record[end] = CHECKPOINT + first[x]; covered[end] = next[x]; end++ }
	od
}

proctype log() {
	byte i;
	do
	/* The log drops records; half of the retention before that a checkpoint covered them. */
	:: d_step { oldest == 0 ->
		i = 0;
#ifdef NO_CHECKPOINT
		oldest = end;
#else
		do
		:: i < end ->
			if
			:: record[i] >= CHECKPOINT && oldest == 0 -> oldest = (covered[i] > 1 -> covered[i] - 1 : covered[i])
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
		based[0] = true;
		based[1] = true;
		run claimant(0);
		run claimant(1);
		run log()
	}
}
