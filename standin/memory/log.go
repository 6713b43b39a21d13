package memory

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Fault is what happens to one append.
type Fault string

// The faults of an append.
const (
	FaultNone        Fault = ""             // FaultNone takes the records and answers.
	FaultRefused     Fault = "refused"      // FaultRefused does not take the records and says so.
	FaultAnswerLost  Fault = "answer_lost"  // FaultAnswerLost takes the records without an answer.
	FaultRequestLost Fault = "request_lost" // FaultRequestLost neither takes the records nor answers.
)

// Log holds streams in memory. The state passes through a channel of capacity one, so that one
// goroutine at a time has it.
type Log struct {
	clock almondcross.Clock
	state chan state
}

type state struct {
	streams map[almondcross.Stream]stream
	faults  []Fault
	down    bool
	changed chan struct{} // closed at the next append
	appends int
}

type stream struct {
	oldest  almondcross.Offset
	records []almondcross.Record // the records from oldest on
}

func (stream stream) end() almondcross.Offset {
	return stream.oldest + almondcross.Offset(len(stream.records))
}

// NewLog returns an empty log.
func NewLog(clock almondcross.Clock) *Log {
	log := &Log{clock: clock, state: make(chan state, 1)}
	log.state <- state{streams: map[almondcross.Stream]stream{}, changed: make(chan struct{})}
	return log
}

func (log *Log) change(change func(state *state)) {
	current := <-log.state
	change(&current)
	log.state <- current
}

// Fail sets what happens to the next appends, in order.
func (log *Log) Fail(faults ...Fault) {
	log.change(func(state *state) { state.faults = append(state.faults, faults...) })
}

// SetDown makes the log unreachable or reachable.
func (log *Log) SetDown(down bool) { log.change(func(state *state) { state.down = down }) }

// Trim drops the records of a stream before an offset.
func (log *Log) Trim(name almondcross.Stream, oldest almondcross.Offset) {
	log.change(func(state *state) {
		kept := state.streams[name]
		kept.records = kept.records[oldest-kept.oldest:]
		kept.oldest = oldest
		state.streams[name] = kept
	})
}

// Records returns the records that a stream keeps.
func (log *Log) Records(name almondcross.Stream) []almondcross.Record {
	var records []almondcross.Record
	log.change(func(state *state) { records = state.streams[name].records })
	return records
}

// Appends returns how many appends arrived.
func (log *Log) Appends() int {
	var appends int
	log.change(func(state *state) { appends = state.appends })
	return appends
}

// Append adds records unless a fault prevents it.
func (log *Log) Append(
	_ context.Context, name almondcross.Stream, records []almondcross.Record,
) (almondcross.Offset, error) {
	first, fault := almondcross.Offset(-1), FaultNone
	log.change(func(state *state) {
		state.appends++
		if len(state.faults) > 0 {
			fault, state.faults = state.faults[0], state.faults[1:]
		}
		if state.down {
			fault = FaultRequestLost
		}
		if fault == FaultRefused || fault == FaultRequestLost {
			return
		}
		kept := state.streams[name]
		first = kept.end()
		added := append([]almondcross.Record(nil), kept.records...)
		for index, record := range records {
			added = append(added, record.WithOffset(first+almondcross.Offset(index)).WithAppended(log.clock.Now().Round(0).UTC()))
		}
		kept.records = added
		state.streams[name] = kept
		close(state.changed)
		state.changed = make(chan struct{})
	})
	switch fault {
	case FaultRefused:
		return -1, errors.Annotatef(almondcross.ErrLogRefused, "append to %s", name)
	case FaultAnswerLost, FaultRequestLost:
		return -1, errors.Annotatef(almondcross.ErrLogUncertain, "append to %s", name)
	default:
		return first, nil
	}
}

// Read returns records from an offset on and waits up to a time for the first one.
func (log *Log) Read(
	ctx context.Context, name almondcross.Stream, from almondcross.Offset, limit int, wait time.Duration,
) (almondcross.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		var kept stream
		var down bool
		var changed chan struct{}
		log.change(func(state *state) { kept, down, changed = state.streams[name], state.down, state.changed })
		if down {
			return almondcross.Batch{}, errors.Annotatef(almondcross.ErrLogUnreachable, "read of %s", name)
		}
		if from < kept.oldest {
			return almondcross.Batch{}, errors.Annotatef(almondcross.ErrLogTrimmed, "read of %s at %d", name, from)
		}
		if from < kept.end() {
			records := kept.records[from-kept.oldest:]
			records = records[:min(len(records), limit)]
			return batch(records, from+almondcross.Offset(len(records)), kept.end()), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch(nil, from, kept.end()), nil
		case <-ctx.Done():
			return almondcross.Batch{}, errors.Annotatef(almondcross.ErrLogUnreachable, "read of %s", name)
		}
	}
}

func batch(records []almondcross.Record, next, end almondcross.Offset) almondcross.Batch {
	return almondcross.NewBatch(almondcross.BatchConfig{Records: records, Next: next, End: end})
}

// End returns the oldest offset that the log keeps and the offset after the last record.
func (log *Log) End(_ context.Context, name almondcross.Stream) (oldest, end almondcross.Offset, err error) {
	var kept stream
	var down bool
	log.change(func(state *state) { kept, down = state.streams[name], state.down })
	if down {
		return 0, 0, errors.Annotatef(almondcross.ErrLogUnreachable, "end of %s", name)
	}
	return kept.oldest, kept.end(), nil
}
