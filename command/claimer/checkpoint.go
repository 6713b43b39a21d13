package claimer

import (
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
)

// checkpoints tracks the checkpoints that were read from the stream and the one that is being written.
type checkpoints struct {
	gap            bool               // whether records before gapEnd were not read
	gapEnd         almondcross.Offset // the offset from which all records were read
	gapEndTime     time.Time          // the time at which the record at gapEnd was appended
	lastCheckpoint time.Time          // the time of the last complete checkpoint, or of the oldest record before the first one
	partsRead      map[string]map[int]bool
	readOrder      []string // the ids of the checkpoints in partsRead, in the order of reading

	writingID    string // the id of the checkpoint that is being written, empty for none
	unsentParts  []almondcross.ClaimCheckpoint
	pendingParts map[string]bool // the parts that are being appended
	startedAt    time.Time
	retryAt      time.Time
}

func (checkpoints *checkpoints) setStart(message almondcross.ClaimsStarted, now time.Time) {
	since := message.Since()
	if since.IsZero() {
		since = now
	}
	checkpoints.lastCheckpoint = since
	if message.Trimmed() {
		checkpoints.gap, checkpoints.gapEnd, checkpoints.gapEndTime = true, message.Oldest(), since
	}
}

// isComplete reports whether no record of a key that was issued at issuedAt can be missing from the table.
func (checkpoints *checkpoints) isComplete(issuedAt time.Time) bool {
	return !checkpoints.gap || issuedAt.After(checkpoints.gapEndTime.Add(almondcross.CallerClockSkew))
}

// expireGap closes a gap whose records have all expired.
func (checkpoints *checkpoints) expireGap(now time.Time, horizon time.Duration) {
	if checkpoints.gap && now.Sub(checkpoints.gapEndTime) > horizon {
		checkpoints.gap = false
	}
}

// partRead records that a part was read. A complete checkpoint that covers the gap closes it.
func (checkpoints *checkpoints) partRead(part almondcross.ClaimCheckpoint, appended time.Time) {
	indexes, ok := checkpoints.partsRead[part.ID()]
	if !ok {
		indexes = map[int]bool{}
		checkpoints.partsRead[part.ID()] = indexes
		checkpoints.readOrder = append(checkpoints.readOrder, part.ID())
		if len(checkpoints.readOrder) > maxTrackedCheckpoints {
			delete(checkpoints.partsRead, checkpoints.readOrder[0])
			checkpoints.readOrder = checkpoints.readOrder[1:]
		}
	}
	indexes[part.Part()] = true
	if len(indexes) < part.Parts() {
		return
	}
	checkpoints.lastCheckpoint = appended
	if part.Covered() >= checkpoints.gapEnd-1 {
		checkpoints.gap = false
	}
	if part.ID() == checkpoints.writingID {
		checkpoints.writingID = ""
	}
}

// due reports whether a new checkpoint must be written. A table with a gap must not be written. A checkpoint whose
// parts were all sent but not read back within the retry time is abandoned.
func (checkpoints *checkpoints) due(now time.Time, maxAge, retry time.Duration) bool {
	if len(checkpoints.unsentParts) == 0 && now.Sub(checkpoints.startedAt) >= retry {
		checkpoints.writingID = ""
	}
	return checkpoints.writingID == "" && !checkpoints.gap && !checkpoints.lastCheckpoint.IsZero() &&
		now.Sub(checkpoints.lastCheckpoint) >= maxAge && !now.Before(checkpoints.retryAt)
}

// begin starts a new checkpoint by splitting the records into parts.
func (checkpoints *checkpoints) begin(
	id string, records []almondcross.ClaimRecord, size int, covered almondcross.Offset, now time.Time,
) {
	checkpoints.startedAt = now
	count := (len(records) + size - 1) / size
	checkpoints.writingID, checkpoints.unsentParts, checkpoints.pendingParts = id, nil, map[string]bool{}
	for index := range count {
		checkpoints.unsentParts = append(checkpoints.unsentParts, almondcross.NewClaimCheckpoint(almondcross.ClaimCheckpointConfig{
			ID: id, Part: index, Parts: count, Covered: covered,
			Claims: records[index*size : min((index+1)*size, len(records))],
		}))
	}
}

// nextParts returns the next parts to append, at most count.
func (checkpoints *checkpoints) nextParts(count int) []almondcross.ClaimCheckpoint {
	if checkpoints.writingID == "" {
		return nil
	}
	parts := checkpoints.unsentParts[:min(count, len(checkpoints.unsentParts))]
	checkpoints.unsentParts = checkpoints.unsentParts[len(parts):]
	for _, part := range parts {
		checkpoints.pendingParts[partID(part)] = true
	}
	return parts
}

// partAnswered processes the result of the append of a part, and reports whether the id belongs to a part. A
// checkpoint with a failed part is abandoned, and a new one may be written from retryAt on.
func (checkpoints *checkpoints) partAnswered(id string, result almondcross.AppendResult, retryAt time.Time) bool {
	if !checkpoints.pendingParts[id] {
		return false
	}
	delete(checkpoints.pendingParts, id)
	if result != almondcross.AppendAccepted {
		checkpoints.writingID, checkpoints.unsentParts, checkpoints.retryAt = "", nil, retryAt
	}
	return true
}

func partID(part almondcross.ClaimCheckpoint) string {
	return part.ID() + "/" + strconv.Itoa(part.Part())
}
