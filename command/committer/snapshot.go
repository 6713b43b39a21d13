package committer

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

const (
	// snapshotTimeout bounds one append of snapshot parts, of at most a few megabytes.
	snapshotTimeout = 3 * time.Second
	// keyedOverheadBytes is the space in a record for the key of a snapshot part.
	keyedOverheadBytes = 64
	// recordOverheadBytes is the space in an append for the length of a record.
	recordOverheadBytes = 4
	// snapshotSetCount is the number of key sets of an epoch. A snapshot uses neither the set of the last complete one nor
	// those of the last two that failed, whose appends may still take effect.
	snapshotSetCount = 4
	// maxUnknownParts is the number of keys that are removed from a set that another scheduler wrote.
	maxUnknownParts = 64
	// snapshotKeyFormat is the format of the keys of snapshots: the epoch of the scheduler, the set and the part. No two
	// schedulers write the same key, so that a late append of a deposed one does not mix with the parts of its successor.
	snapshotKeyFormat = "epoch-%016x-set-%d-part-%03d"
)

// snapshotSets tracks which keys the snapshots of the present epoch may have in the store.
type snapshotSets struct {
	epoch    int64 // epoch is the epoch of the scheduler of the last snapshot.
	next     int   // next is the set of the next snapshot.
	complete int   // complete is the set of the last complete snapshot, -1 for none.
	parts    [snapshotSetCount]int
}

// begin returns the set for a snapshot with a number of parts.
func (snapshotsets *snapshotSets) begin(epoch int64, parts int) int {
	if snapshotsets.epoch != epoch {
		*snapshotsets = snapshotSets{epoch: epoch, complete: -1}
	}
	set := snapshotsets.next
	if set == snapshotsets.complete {
		set = (set + 1) % snapshotSetCount
	}
	snapshotsets.next = (set + 1) % snapshotSetCount
	snapshotsets.parts[set] = max(snapshotsets.parts[set], parts)
	return set
}

// completed records that a set holds a complete snapshot and returns the keys of the epoch that are outdated now.
func (snapshotsets *snapshotSets) completed(set, parts int) []string {
	snapshotsets.complete = set
	var keys []string
	for other, count := range snapshotsets.parts {
		first := 0
		if other == set {
			first = parts
		}
		for part := first; part < count; part++ {
			keys = append(keys, snapshotKey(snapshotsets.epoch, other, part))
		}
	}
	return keys
}

// removed records that the outdated keys are removed.
func (snapshotsets *snapshotSets) removed(parts int) {
	snapshotsets.parts = [snapshotSetCount]int{}
	snapshotsets.parts[snapshotsets.complete] = parts
}

func snapshotKey(epoch int64, set, part int) string {
	return fmt.Sprintf(snapshotKeyFormat, epoch, set, part)
}

// earlierKeys returns the keys of snapshots of earlier epochs that may be in the store. A snapshot of a later epoch is never
// removed: its scheduler has deposed this one.
func earlierKeys(request almondcross.SnapshotStore) []string {
	epoch := request.Snapshot().SchedulerEpoch()
	var keys []string
	for _, key := range request.EarlierKeys() {
		var other int64
		if _, err := fmt.Sscanf(strings.SplitN(key, "-set-", 2)[0], "epoch-%x", &other); err != nil || other < epoch { // Earlier versions wrote keys without an epoch.
			keys = append(keys, key)
		}
	}
	for _, other := range request.EarlierEpochs() {
		for set := 0; set < snapshotSetCount && other < epoch; set++ {
			for part := range maxUnknownParts {
				keys = append(keys, snapshotKey(other, set, part))
			}
		}
	}
	return keys
}

func (committer *Committer) storeSnapshot(ctx context.Context, request almondcross.SnapshotStore) {
	answer := almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{
		Epoch: request.Snapshot().SchedulerEpoch(), Next: request.Snapshot().Next(), Err: committer.writeSnapshot(ctx, request),
	})
	_ = committer.config.Sink.Put(ctx, answer) // Put fails only when the context has ended.
}

// writeSnapshot appends the parts of a snapshot in as many calls as the store's limit requires, and removes earlier snapshots
// once all parts are stored.
func (committer *Committer) writeSnapshot(ctx context.Context, request almondcross.SnapshotStore) error {
	snapshot := request.Snapshot()
	parts, err := committer.config.Codec.EncodeSnapshot(snapshot, committer.config.RecordBytes-keyedOverheadBytes)
	if err != nil {
		return errors.Trace(err)
	}
	sets := &committer.snapshots
	set := sets.begin(snapshot.SchedulerEpoch(), len(parts))
	stored := make([]almondcross.KeyedRecord, len(parts))
	for index, part := range parts {
		stored[index] = almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: snapshotKey(sets.epoch, set, index), Value: part})
	}
	if err := committer.appendKeyed(ctx, stored); err != nil {
		return errors.Annotate(err, "storing the parts")
	}
	outdated := append(sets.completed(set, len(parts)), earlierKeys(request)...)
	removed := make([]almondcross.KeyedRecord, len(outdated))
	for index, key := range outdated {
		removed[index] = almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: key})
	}
	if err := committer.appendKeyed(ctx, removed); err != nil {
		return errors.Annotate(err, "removing earlier snapshots")
	}
	sets.removed(len(parts))
	return nil
}

// appendKeyed appends records to the partition of the snapshots.
func (committer *Committer) appendKeyed(ctx context.Context, keyed []almondcross.KeyedRecord) error {
	records := make([][]byte, len(keyed))
	for index, record := range keyed {
		var err error
		if records[index], err = committer.config.KeyedCodec.EncodeKeyed(record); err != nil {
			return errors.Trace(err)
		}
	}
	for len(records) > 0 {
		count := recordsPerCall(records, committer.config.CallBytes)
		callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		_, err := committer.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
			Partition: committer.config.Snapshots, Records: records[:count],
		}))
		cancel()
		if err != nil {
			return errors.Trace(err)
		}
		records = records[count:]
	}
	return nil
}

// recordsPerCall returns how many of the records fit in one append: at least one.
func recordsPerCall(records [][]byte, limit int) int {
	size := 0
	for index, record := range records {
		size += recordOverheadBytes + len(record)
		if size > limit && index > 0 {
			return index
		}
	}
	return len(records)
}
