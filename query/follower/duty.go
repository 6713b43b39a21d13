package follower

import (
	"context"
	"sync/atomic"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Duty is a function that runs until its context ends.
type Duty func(ctx context.Context) error

// Run runs the duty until the context ends.
func (duty Duty) Run(ctx context.Context) error { return duty(ctx) }

func serve[Q any](queries *ring.Ring[Q], handle func(ctx context.Context, query Q)) Duty {
	return func(ctx context.Context) error { return ring.Serve(ctx, queries, handle) }
}

// decodeFailures counts and logs records that could not be decoded. It is safe for concurrent use.
type decodeFailures struct {
	log   almondcross.EventLog
	total atomic.Int64
}

func newDecodeFailures(log almondcross.EventLog) *decodeFailures { return &decodeFailures{log: log} }

func (decodefailures *decodeFailures) count(partition almondcross.Partition, offset int64, err error) {
	decodefailures.log.Record("record_unreadable", almondcross.Text("topic", partition.Topic), almondcross.Number("partition", partition.Number),
		almondcross.Number("offset", offset), almondcross.Number("total", decodefailures.total.Add(1)), almondcross.Text("reason", err.Error()))
}
