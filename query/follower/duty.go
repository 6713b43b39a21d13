package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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

const (
	// reportPeriod is the time in which an unreadable record is logged once, however often it is read.
	reportPeriod = 10 * time.Minute
	// maxReports is the maximum number of unreadable records that are logged in a period; the others are only counted.
	maxReports = 200
)

// decodeFailures counts and logs records that could not be decoded. It is safe for concurrent use.
type decodeFailures struct {
	log      almondcross.EventLog
	clock    almondcross.Clock
	total    atomic.Int64
	period   atomic.Int64 // period is the number of the current reportPeriod.
	reports  atomic.Int64 // reports counts the records logged in the period.
	reported sync.Map     // reported holds the records logged in the period.
}

// recordKey identifies a record by its key, or by its offset where records have no keys.
type recordKey struct {
	partition almondcross.Partition
	key       string
	offset    int64
}

func newDecodeFailures(log almondcross.EventLog, clock almondcross.Clock) *decodeFailures {
	return &decodeFailures{log: log, clock: clock}
}

func (decodefailures *decodeFailures) countKeyed(partition almondcross.Partition, record almondcross.KeyedRecord, err error) {
	decodefailures.report(recordKey{partition: partition, key: record.Key()}, record.Offset(), err)
}

func (decodefailures *decodeFailures) count(partition almondcross.Partition, offset int64, err error) {
	decodefailures.report(recordKey{partition: partition, offset: offset}, offset, err)
}

func (decodefailures *decodeFailures) report(record recordKey, offset int64, err error) {
	total := decodefailures.total.Add(1)
	period := decodefailures.clock.Now().UnixNano() / int64(reportPeriod)
	if decodefailures.period.Swap(period) != period {
		decodefailures.reported.Clear()
		decodefailures.reports.Store(0)
	}
	if decodefailures.reports.Load() >= maxReports {
		return
	}
	if _, known := decodefailures.reported.LoadOrStore(record, struct{}{}); known {
		return
	}
	decodefailures.reports.Add(1)
	decodefailures.log.Record("record_unreadable", almondcross.Text("topic", record.partition.Topic), almondcross.Number("partition", record.partition.Number),
		almondcross.Text("key", record.key), almondcross.Number("offset", offset), almondcross.Number("total", total), almondcross.Text("reason", err.Error()))
}
