package follower_test

import (
	"context"
	"fmt"
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
	reads     int
	published time.Time
}

// record returns the stored record of a version, whose offset is one less.
func (faultystore *faultyStore) record(version int64) almondcross.KeyedRecord {
	return almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{
		Key: "config", Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[],"limits":{}}`, version), Offset: version - 1,
	})
}

func (faultystore *faultyStore) newest() int64 {
	if faultystore.published.IsZero() {
		return 1
	}
	return 2
}

func (faultystore *faultyStore) Read(ctx context.Context, query almondcross.StoreRead) (almondcross.StoreRecords, error) {
	faultystore.reads++
	read := almondcross.StoreRecordsConfig{From: query.From(), End: query.From()}
	switch faultystore.reads {
	case 1:
		faultystore.published = time.Now()
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
		require.NoError(t, reader.Routes(func(_ context.Context, table almondcross.RouteTable) {
			if table.Version() == 2 {
				inForce = time.Now()
			}
		})(ctx))
		require.False(t, inForce.IsZero())
		require.LessOrEqual(t, inForce.Sub(store.published), applyBound)
	})
}
