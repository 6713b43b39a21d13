package committer

import (
	"context"
	"fmt"
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
	// snapshotSetCount is the number of key sets. A snapshot that takes several appends is written beside the stored
	// one, so that a complete snapshot exists at any time. Each of two consecutive schedulers has two sets.
	snapshotSetCount = 4
	setsPerScheduler = 2
	// maxUnknownParts is the number of keys that are removed from a set that another scheduler wrote.
	maxUnknownParts = 64
)

// snapshotSets tracks which keys of snapshots the store may hold.
type snapshotSets struct {
	epoch int64 // epoch is the epoch of the scheduler of the last snapshot.
	next  int   // next is the set of the next snapshot. It is not the set of the last complete one.
	parts [snapshotSetCount]int
}

// startEpoch chooses the sets for an epoch. The sets of earlier schedulers are unknown then.
func (snapshotsets *snapshotSets) startEpoch(epoch int64) {
	snapshotsets.epoch = epoch
	snapshotsets.next = int(epoch>>almondcross.EpochRandomBits) % (snapshotSetCount / setsPerScheduler) * setsPerScheduler
	for set := range snapshotsets.parts {
		snapshotsets.parts[set] = maxUnknownParts
	}
}

// stored records that the snapshot in the next set is complete and that the store holds no other one.
func (snapshotsets *snapshotSets) stored(parts int) {
	current := snapshotsets.next
	snapshotsets.parts = [snapshotSetCount]int{}
	snapshotsets.parts[current] = parts
	snapshotsets.next = current/setsPerScheduler*setsPerScheduler + (current+1)%setsPerScheduler
}

// outdatedKeys returns the keys to remove once the next set holds a complete snapshot with a number of parts.
func (snapshotsets *snapshotSets) outdatedKeys(parts int) []string {
	var keys []string
	for set, count := range snapshotsets.parts {
		first := 0
		if set == snapshotsets.next {
			first = parts
		}
		for part := first; part < count; part++ {
			keys = append(keys, snapshotKey(set, part))
		}
	}
	return keys
}

func snapshotKey(set, part int) string { return fmt.Sprintf("set-%d-part-%03d", set, part) }

func (committer *Committer) storeSnapshot(ctx context.Context, request almondcross.SnapshotStore) {
	answer := almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{
		Next: request.Snapshot().Next(), Err: committer.writeSnapshot(ctx, request.Snapshot()),
	})
	_ = committer.config.Sink.Put(ctx, answer) // Put fails only when the context has ended.
}

// writeSnapshot appends the parts of a snapshot in as many calls as the store's limit requires. The last call also
// removes the earlier snapshot. If a call fails, the earlier snapshot stays, and the next one uses the same keys.
func (committer *Committer) writeSnapshot(ctx context.Context, snapshot almondcross.StateSnapshot) error {
	parts, err := committer.config.Codec.EncodeSnapshot(snapshot, committer.config.RecordBytes-keyedOverheadBytes)
	if err != nil {
		return errors.Trace(err)
	}
	sets := &committer.snapshots
	if sets.epoch != snapshot.SchedulerEpoch() {
		sets.startEpoch(snapshot.SchedulerEpoch())
	}
	records, err := committer.snapshotRecords(parts)
	if err != nil {
		return errors.Trace(err)
	}
	sets.parts[sets.next] = max(sets.parts[sets.next], len(parts))
	for len(records) > 0 {
		count := recordsPerCall(records, committer.config.CallBytes)
		callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
		_, err = committer.config.Writer.Append(callCtx, almondcross.NewStoreAppend(almondcross.StoreAppendConfig{
			Partition: committer.config.Snapshots, Records: records[:count],
		}))
		cancel()
		if err != nil {
			return errors.Trace(err)
		}
		records = records[count:]
	}
	sets.stored(len(parts))
	return nil
}

// snapshotRecords returns the records of all parts in the next set, followed by those that remove the outdated keys.
func (committer *Committer) snapshotRecords(parts [][]byte) ([][]byte, error) {
	sets := &committer.snapshots
	keyed := make([]almondcross.KeyedRecord, 0, len(parts))
	for index, part := range parts {
		keyed = append(keyed, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: snapshotKey(sets.next, index), Value: part}))
	}
	for _, key := range sets.outdatedKeys(len(parts)) {
		keyed = append(keyed, almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: key}))
	}
	records := make([][]byte, len(keyed))
	for index, record := range keyed {
		var err error
		if records[index], err = committer.config.KeyedCodec.EncodeKeyed(record); err != nil {
			return nil, errors.Trace(err)
		}
	}
	return records, nil
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
