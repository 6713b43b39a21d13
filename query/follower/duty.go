package follower

import (
	"context"
	"sync/atomic"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Duty runs until its context ends.
type Duty func(ctx context.Context) error

// Run works until the context ends.
func (duty Duty) Run(ctx context.Context) error { return duty(ctx) }

func serve[Q any](queries *ring.Ring[Q], handle func(ctx context.Context, query Q)) Duty {
	return func(ctx context.Context) error { return ring.Serve(ctx, queries, handle) }
}

// brokenRecords counts the records that could not be decoded; several duties use it.
type brokenRecords struct {
	log   almondcross.EventLog
	total atomic.Int64
}

func newBrokenRecords(log almondcross.EventLog) *brokenRecords { return &brokenRecords{log: log} }

func (brokenrecords *brokenRecords) count(partition almondcross.Partition, offset int64, err error) {
	brokenrecords.log.Record("record_unreadable", almondcross.Text("topic", partition.Topic), almondcross.Number("partition", partition.Number),
		almondcross.Number("offset", offset), almondcross.Number("total", brokenrecords.total.Add(1)), almondcross.Text("reason", err.Error()))
}
