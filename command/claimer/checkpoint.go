package claimer

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// checkpoints keeps track of the checkpoints in the stream and of the one that is being written.
type checkpoints struct {
	gap    bool               // whether records before oldest were not read
	oldest almondcross.Offset // the offset from which all records were read
	since  time.Time          // the time at which the log took the record there
	base   time.Time          // the time of the last complete checkpoint, or of the oldest record
	parts  map[string]map[int]bool
	order  []string // the ids of parts, in the order of reading

	writing string // the id of the checkpoint that is being written
	rest    []almondcross.ClaimCheckpoint
	pending map[string]bool // the parts that are being appended
	begun   time.Time
	retryAt time.Time
}

func (checkpoints *checkpoints) start(message almondcross.ClaimsStarted, now time.Time) {
	since := message.Since()
	if since.IsZero() {
		since = now
	}
	checkpoints.base = since
	if message.Trimmed() {
		checkpoints.gap, checkpoints.oldest, checkpoints.since = true, message.Oldest(), since
	}
}

// safe reports whether no record of a key issued at a time can be missing from the table.
func (checkpoints *checkpoints) safe(issuedAt time.Time) bool {
	return !checkpoints.gap || issuedAt.After(checkpoints.since.Add(almondcross.CallerClockSkew))
}

// age closes a gap whose records have all expired.
func (checkpoints *checkpoints) age(now time.Time, horizon time.Duration) {
	if checkpoints.gap && now.Sub(checkpoints.since) > horizon {
		checkpoints.gap = false
	}
}

// seen counts a part; a complete checkpoint that covers the gap closes it.
func (checkpoints *checkpoints) seen(part almondcross.ClaimCheckpoint, appended time.Time) {
	known, ok := checkpoints.parts[part.ID()]
	if !ok {
		known = map[int]bool{}
		checkpoints.parts[part.ID()] = known
		checkpoints.order = append(checkpoints.order, part.ID())
		if len(checkpoints.order) > maxCheckpoints {
			delete(checkpoints.parts, checkpoints.order[0])
			checkpoints.order = checkpoints.order[1:]
		}
	}
	known[part.Part()] = true
	if len(known) < part.Parts() {
		return
	}
	checkpoints.base = appended
	if part.Covered() >= checkpoints.oldest-1 {
		checkpoints.gap = false
	}
	if part.ID() == checkpoints.writing {
		checkpoints.writing = ""
	}
}

// due reports whether a checkpoint is to be begun. A table with a gap must not be passed on. A
// checkpoint that was sent but not read back within the retry time is given up.
func (checkpoints *checkpoints) due(now time.Time, age, retry time.Duration) bool {
	if len(checkpoints.rest) == 0 && now.Sub(checkpoints.begun) >= retry {
		checkpoints.writing = ""
	}
	return checkpoints.writing == "" && !checkpoints.gap && !checkpoints.base.IsZero() &&
		now.Sub(checkpoints.base) >= age && !now.Before(checkpoints.retryAt)
}

// begin splits the records into parts.
func (checkpoints *checkpoints) begin(
	id string, records []almondcross.ClaimRecord, size int, covered almondcross.Offset, now time.Time,
) {
	checkpoints.begun = now
	count := (len(records) + size - 1) / size
	checkpoints.writing, checkpoints.rest, checkpoints.pending = id, nil, map[string]bool{}
	for index := range count {
		checkpoints.rest = append(checkpoints.rest, almondcross.NewClaimCheckpoint(almondcross.ClaimCheckpointConfig{
			ID: id, Part: index, Parts: count, Covered: covered,
			Claims: records[index*size : min((index+1)*size, len(records))],
		}))
	}
}

// take returns the next parts to append.
func (checkpoints *checkpoints) take(count int) []almondcross.ClaimCheckpoint {
	if checkpoints.writing == "" {
		return nil
	}
	taken := checkpoints.rest[:min(count, len(checkpoints.rest))]
	checkpoints.rest = checkpoints.rest[len(taken):]
	for _, part := range taken {
		checkpoints.pending[partID(part)] = true
	}
	return taken
}

// answered handles the answer to the append of a part and reports whether the id is that of a part.
// A checkpoint with a part that was not taken is given up and written anew later.
func (checkpoints *checkpoints) answered(id string, outcome almondcross.AppendResult, retryAt time.Time) bool {
	if !checkpoints.pending[id] {
		return false
	}
	delete(checkpoints.pending, id)
	if outcome != almondcross.AppendTaken {
		checkpoints.writing, checkpoints.rest, checkpoints.retryAt = "", nil, retryAt
	}
	return true
}

func partID(part almondcross.ClaimCheckpoint) string {
	return part.ID() + "/" + strconv.Itoa(part.Part())
}
