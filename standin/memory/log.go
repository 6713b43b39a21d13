package memory

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Fault is a failure injected into one append.
type Fault string

// The faults of an append.
const (
	FaultNone         Fault = ""             // FaultNone stores the records and returns their offset.
	FaultRefused      Fault = "refused"      // FaultRefused stores nothing and returns ErrLogRefused.
	FaultResponseLost Fault = "answer_lost"  // FaultResponseLost stores the records and returns ErrLogUncertain.
	FaultRequestLost  Fault = "request_lost" // FaultRequestLost stores nothing and returns ErrLogUncertain.
)

// Log holds streams in memory. It is safe for concurrent use: its state is kept in a channel of
// capacity one, so only one goroutine at a time holds it.
type Log struct {
	clock almondcross.Clock
	state chan state
}

type state struct {
	streams       map[almondcross.Stream]stream
	pendingFaults []Fault
	down          bool
	nextAppend    chan struct{} // closed at the next append
	appendCount   int
}

type stream struct {
	oldest  almondcross.Offset
	records []almondcross.Record // the records starting at offset oldest
}

func (stream stream) end() almondcross.Offset {
	return stream.oldest + almondcross.Offset(len(stream.records))
}

// NewLog returns an empty log.
func NewLog(clock almondcross.Clock) *Log {
	log := &Log{clock: clock, state: make(chan state, 1)}
	log.state <- state{streams: map[almondcross.Stream]stream{}, nextAppend: make(chan struct{})}
	return log
}

func (log *Log) update(update func(state *state)) {
	current := <-log.state
	update(&current)
	log.state <- current
}

// InjectFaults queues faults for the next appends, one per append and in order.
func (log *Log) InjectFaults(faults ...Fault) {
	log.update(func(state *state) { state.pendingFaults = append(state.pendingFaults, faults...) })
}

// SetDown makes the log unreachable, or reachable again. An append to an unreachable log is uncertain.
func (log *Log) SetDown(down bool) { log.update(func(state *state) { state.down = down }) }

// Trim drops the records of a stream before the offset oldest.
func (log *Log) Trim(name almondcross.Stream, oldest almondcross.Offset) {
	log.update(func(state *state) {
		current := state.streams[name]
		current.records = current.records[oldest-current.oldest:]
		current.oldest = oldest
		state.streams[name] = current
	})
}

// Records returns the records of a stream that are not trimmed.
func (log *Log) Records(name almondcross.Stream) []almondcross.Record {
	var records []almondcross.Record
	log.update(func(state *state) { records = state.streams[name].records })
	return records
}

// AppendCount returns the number of calls to Append, failed ones included.
func (log *Log) AppendCount() int {
	var count int
	log.update(func(state *state) { count = state.appendCount })
	return count
}

// Append adds records and returns the offset of the first one. An injected fault makes it return
// ErrLogRefused or ErrLogUncertain.
func (log *Log) Append(
	_ context.Context, name almondcross.Stream, records []almondcross.Record,
) (almondcross.Offset, error) {
	first, fault := almondcross.Offset(-1), FaultNone
	log.update(func(state *state) {
		state.appendCount++
		if len(state.pendingFaults) > 0 {
			fault, state.pendingFaults = state.pendingFaults[0], state.pendingFaults[1:]
		}
		if state.down {
			fault = FaultRequestLost
		}
		if fault == FaultRefused || fault == FaultRequestLost {
			return
		}
		current := state.streams[name]
		first = current.end()
		appended := append([]almondcross.Record(nil), current.records...)
		for index, record := range records {
			appended = append(appended, record.WithOffset(first+almondcross.Offset(index)).WithAppended(log.clock.Now().Round(0).UTC()))
		}
		current.records = appended
		state.streams[name] = current
		close(state.nextAppend)
		state.nextAppend = make(chan struct{})
	})
	switch fault {
	case FaultRefused:
		return -1, errors.Annotatef(almondcross.ErrLogRefused, "append to %s", name)
	case FaultResponseLost, FaultRequestLost:
		return -1, errors.Annotatef(almondcross.ErrLogUncertain, "append to %s", name)
	default:
		return first, nil
	}
}

// Read returns up to limit records starting at an offset and waits up to the given time for the first
// one. It returns ErrLogTrimmed for a trimmed offset and ErrLogUnreachable when the log is down or
// the context ends.
func (log *Log) Read(
	ctx context.Context, name almondcross.Stream, from almondcross.Offset, limit int, wait time.Duration,
) (almondcross.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var current stream
		var down bool
		var nextAppend chan struct{}
		log.update(func(state *state) { current, down, nextAppend = state.streams[name], state.down, state.nextAppend })
		if down {
			return almondcross.Batch{}, errors.Annotatef(almondcross.ErrLogUnreachable, "read of %s", name)
		}
		if from < current.oldest {
			return almondcross.Batch{}, errors.Annotatef(almondcross.ErrLogTrimmed, "read of %s at %d", name, from)
		}
		if from < current.end() {
			records := current.records[from-current.oldest:]
			records = records[:min(len(records), limit)]
			return newBatch(records, from+almondcross.Offset(len(records)), current.end()), nil
		}
		select {
		case <-nextAppend:
		case <-timer.C:
			return newBatch(nil, from, current.end()), nil
		case <-ctx.Done():
			return almondcross.Batch{}, errors.Annotatef(almondcross.ErrLogUnreachable, "read of %s", name)
		}
	}
}

func newBatch(records []almondcross.Record, next, end almondcross.Offset) almondcross.Batch {
	return almondcross.NewBatch(almondcross.BatchConfig{Records: records, Next: next, End: end})
}

// End returns the offset of the oldest kept record and the offset after the last record.
func (log *Log) End(_ context.Context, name almondcross.Stream) (oldest, end almondcross.Offset, err error) {
	var current stream
	var down bool
	log.update(func(state *state) { current, down = state.streams[name], state.down })
	if down {
		return 0, 0, errors.Annotatef(almondcross.ErrLogUnreachable, "end of %s", name)
	}
	return current.oldest, current.end(), nil
}
