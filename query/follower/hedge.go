package follower

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// hedgeDelay is the time, beyond the wait of a read, after which a read without an answer is sent again. A slow store takes 250 ms.
const hedgeDelay = 300 * time.Millisecond

// hedgedReader sends reads that have no answer in time a second time. A connection that went silent, or an answer that was lost, then
// costs hedgeDelay instead of the time limit of the read.
type hedgedReader struct{ almondcross.StoreReader }

// Read reads records of a partition. The second read does not wait: what the first one waits for is there, or not.
func (hedgedreader hedgedReader) Read(ctx context.Context, query almondcross.StoreRead) (almondcross.StoreRecords, error) {
	return hedge(ctx, query.Wait()+hedgeDelay, func(ctx context.Context, repeated bool) (almondcross.StoreRecords, error) {
		if repeated {
			return hedgedreader.StoreReader.Read(ctx, query.WithWait(0))
		}
		return hedgedreader.StoreReader.Read(ctx, query)
	})
}

// newestRecords is the result of Newest.
type newestRecords struct {
	records []almondcross.KeyedRecord
	end     int64
}

// Newest returns the newest records of a partition and its end.
func (hedgedreader hedgedReader) Newest(ctx context.Context, partition almondcross.Partition) ([]almondcross.KeyedRecord, int64, error) {
	newest, err := hedge(ctx, hedgeDelay, func(ctx context.Context, _ bool) (newestRecords, error) {
		records, end, err := hedgedreader.StoreReader.Newest(ctx, partition)
		return newestRecords{records: records, end: end}, err
	})
	return newest.records, newest.end, err
}

// hedge calls read, and a second time if the first call has not returned after a delay. It returns the first result that is an answer
// of the store, or else the last one, and ends the other call.
func hedge[T any](ctx context.Context, delay time.Duration, read func(ctx context.Context, repeated bool) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 2) // The slower call may put its result after the other one was taken.
	call := func(repeated bool) {
		value, err := read(ctx, repeated)
		results <- result{value: value, err: err}
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	go call(false)
	for pending := 1; ; {
		select {
		case result := <-results:
			pending--
			if pending == 0 || result.err == nil || errors.Is(result.err, almondcross.ErrStoreTrimmed) {
				return result.value, result.err
			}
		case <-timer.C:
			pending++
			go call(true)
		}
	}
}
