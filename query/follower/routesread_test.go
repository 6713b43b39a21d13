package follower_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/follower"
)

// applyBound is the tightest bound of the deployments for the time from the acknowledgement of a version until it is in force.
const applyBound = 2500 * time.Millisecond

// faultyStore publishes version 2 just after the first waiting read was sent. That read misses it, and the next one is not answered.
type faultyStore struct {
	t         *testing.T
	reads     atomic.Int64
	published atomic.Pointer[time.Time]
}

// record returns the stored record of a version, whose offset is one less.
func (faultystore *faultyStore) record(version int64) almondcross.KeyedRecord {
	return almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{
		Key: "config", Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{}}`, version), Offset: version - 1,
	})
}

func (faultystore *faultyStore) newest() int64 {
	if faultystore.published.Load() == nil {
		return 1
	}
	return 2
}

func (faultystore *faultyStore) Read(ctx context.Context, query almondcross.StoreRead) (almondcross.StoreRecords, error) {
	read := almondcross.StoreRecordsConfig{From: query.From(), End: query.From()}
	switch faultystore.reads.Add(1) {
	case 1:
		now := time.Now()
		faultystore.published.Store(&now)
		time.Sleep(query.Wait()) //nolint:forbidigo // The wait of the read, in virtual time.
		return almondcross.NewStoreRecords(read), nil
	case 2:
		<-ctx.Done()
		return almondcross.StoreRecords{}, almondcross.ErrStoreRefused
	}
	if newest := faultystore.newest(); query.From() < newest {
		raw, err := translator.Codec{}.EncodeKeyed(faultystore.record(newest))
		require.NoError(faultystore.t, err)
		read.Records, read.End = [][]byte{raw}, newest
	} else {
		time.Sleep(query.Wait()) //nolint:forbidigo // The wait of the read, in virtual time.
	}
	return almondcross.NewStoreRecords(read), nil
}

func (faultystore *faultyStore) Newest(context.Context, almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	newest := faultystore.newest()
	return []almondcross.KeyedRecord{faultystore.record(newest)}, newest, nil
}

// Guards against a version that is in force too late because the read that waited for it missed it and the next one had no answer.
func TestVersionIsInForceInTimeAfterAMissedAndAnUnansweredRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		store := &faultyStore{t: t}
		reader := follower.New(follower.Config{
			Reader: store, WorkerCodec: translator.Codec{}, Log: discardLog{}, Clock: systemClock{}, ConfigurationKey: "config",
		})
		var inForce time.Time
		require.NoError(t, reader.Routes(func(_ context.Context, record almondcross.RoutesRecord) {
			if record.Table().Version() == 2 {
				inForce = time.Now()
			}
		})(ctx))
		require.False(t, inForce.IsZero())
		require.LessOrEqual(t, inForce.Sub(*store.published.Load()), applyBound)
	})
}

// silentStore leaves the first read of the newest records without an answer.
type silentStore struct {
	faultyStore
	silenced atomic.Bool
}

func (silentstore *silentStore) Newest(ctx context.Context, partition almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	if silentstore.silenced.CompareAndSwap(false, true) {
		<-ctx.Done()
		return nil, 0, almondcross.ErrStoreRefused
	}
	return silentstore.faultyStore.Newest(ctx, partition)
}

// Guards against a scheduler that learns late which workers drain, because a single read of the workers has no answer.
func TestUnansweredReadOfTheWorkersIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		read := ask[almondcross.WorkersQuery, almondcross.WorkersRead](t, follower.Config{
			Reader: &silentStore{}, WorkerCodec: translator.Codec{}, Log: discardLog{},
		}, (*follower.Follower).Workers, almondcross.NewWorkersQuery(almondcross.WorkersQueryConfig{From: -1}))
		require.NoError(t, read.Err())
		require.Less(t, time.Since(started), 500*time.Millisecond)
	})
}
