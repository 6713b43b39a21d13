package checker

import (
	"context"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// readKB is the maximum size of the records that one read returns, in kilobytes, as for the reads of hosts.
const readKB = 512

// StoreConfig holds the dependencies of InForce.
type StoreConfig struct {
	Reader    almondcross.StoreReader
	Codec     almondcross.WorkerCodec
	Partition almondcross.Partition // Partition is the keyed partition that holds the configuration.
	Key       string                // Key is the key of the configuration.
}

// Stored is the configuration that a store holds.
type Stored struct {
	Table         almondcross.RouteTable
	Found         bool // Found reports whether the store has a valid version.
	NewestInvalid bool // NewestInvalid reports whether hosts reject the newest record, so that an earlier one is in force.
}

// InForce returns the valid version with the highest number, which hosts have in force whatever was written after it. It returns
// an error if the store cannot be read.
func InForce(ctx context.Context, config StoreConfig) (Stored, error) {
	var stored Stored
	newest, end, err := config.Reader.Newest(ctx, config.Partition)
	if err != nil {
		return Stored{}, errors.Annotate(err, "reading the configuration")
	}
	for _, record := range newest {
		if stored, err = config.with(stored, record); err != nil {
			stored.NewestInvalid = true
		}
	}
	next := int64(0)
	for next < end {
		records, err := config.read(ctx, next)
		if errors.Is(err, almondcross.ErrStoreTrimmed) && records.First() > next {
			next = records.First()
			continue
		}
		if err != nil {
			return Stored{}, errors.Annotate(err, "reading the earlier versions of the configuration")
		}
		if len(records.Records()) == 0 {
			break
		}
		for index, source := range records.Records() {
			if record, err := config.Codec.DecodeKeyed(source, next+int64(index)); err == nil {
				stored, _ = config.with(stored, record) // An earlier version that is invalid was never in force.
			}
		}
		next += int64(len(records.Records()))
	}
	return stored, nil
}

func (storeconfig StoreConfig) read(ctx context.Context, from int64) (almondcross.StoreRecords, error) {
	records, err := storeconfig.Reader.Read(ctx, almondcross.NewStoreRead(almondcross.StoreReadConfig{
		Partition: storeconfig.Partition, From: from, MaxKB: readKB,
	}))
	return records, errors.Trace(err)
}

// with returns a copy with the version of a record if that is higher. It ignores other keys and deletions, and returns an error
// and the same value for a version that hosts reject.
func (storeconfig StoreConfig) with(stored Stored, record almondcross.KeyedRecord) (Stored, error) {
	if record.Key() != storeconfig.Key || len(record.Value()) == 0 {
		return stored, nil
	}
	table, err := storeconfig.Codec.DecodeRoutes(record.Value())
	if err != nil {
		return stored, errors.Trace(err)
	}
	if !stored.Found || table.Version() > stored.Table.Version() {
		stored.Table, stored.Found = table, true
	}
	return stored, nil
}
