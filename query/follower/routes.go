package follower

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// routesWait is how long a read of the configuration waits for a change. A read may miss changes made
	// while it waits, so the wait is short compared with the time in which a change must take effect.
	routesWait = 1300 * time.Millisecond
	// routesRetry is the delay after a failed read.
	routesRetry = 150 * time.Millisecond
	// routesSpread is the longest time by which the hosts of a large cell draw out that delay. An outage ends the reads of all hosts at
	// one moment, and each reads the complete configuration afterwards.
	routesSpread = 850 * time.Millisecond
	// routesRefresh is the maximum time between two reads of the complete configuration.
	routesRefresh = 5 * time.Second
	// maxRejections is the number of rejected versions that a host remembers so as to log each of them once.
	maxRejections = 1000
)

// rejections logs each version of the configuration that cannot be put in force, once. It belongs to the duty that reads them.
type rejections struct {
	log      almondcross.EventLog
	count    func()             // count is called for each of them, nil for none.
	inForce  int64              // inForce is the version in force, 0 for none.
	reported map[int64]struct{} // reported holds the offsets of the reported records.
}

// report logs a record. The reason of a decoder has no keys.
func (rejections *rejections) report(record almondcross.KeyedRecord, reason error) {
	if _, known := rejections.reported[record.Offset()]; known {
		return
	}
	if len(rejections.reported) >= maxRejections {
		clear(rejections.reported)
	}
	rejections.reported[record.Offset()] = struct{}{}
	if rejections.count != nil {
		rejections.count()
	}
	rejections.log.Record("routes_rejected", almondcross.Number("offset", record.Offset()), almondcross.Number("in_force", rejections.inForce),
		almondcross.Text("reason", reason.Error()))
}

// Routes returns the duty that watches the configuration and calls apply with each newer version of the route table.
func (follower *Follower) Routes(apply func(ctx context.Context, table almondcross.RouteTable)) Duty {
	return func(ctx context.Context) error {
		next, refreshed := int64(-1), time.Time{}
		rejected := &rejections{log: follower.config.Log, count: follower.config.Rejected, reported: map[int64]struct{}{}}
		failing := false
		for ctx.Err() == nil {
			var records []almondcross.KeyedRecord
			var err error
			if next < 0 || time.Since(refreshed) > routesRefresh {
				records, next, err = follower.readNewest(ctx, follower.config.Configuration, readTimeout)
				refreshed = time.Now()
			} else {
				records, next, err = follower.readKeyed(ctx, follower.config.Configuration, next, routesWait)
			}
			if failing != (err != nil) {
				failing = err != nil
				follower.logRoutesReadState(err, rejected.inForce)
			}
			if err != nil {
				next = -1
				ring.Pause(ctx, follower.routesPause())
				continue
			}
			table, found := follower.newestTable(records, rejected)
			if !found && rejected.inForce == 0 && slices.ContainsFunc(records, follower.isConfiguration) {
				table, found = follower.earlierTable(ctx, rejected)
			}
			if found && table.Version() > rejected.inForce {
				rejected.inForce = table.Version()
				apply(ctx, table)
			}
		}
		return nil
	}
}

// newestTable returns the route table with the highest version among the records that can be decoded.
func (follower *Follower) newestTable(records []almondcross.KeyedRecord, rejected *rejections) (almondcross.RouteTable, bool) {
	var newest almondcross.RouteTable
	found := false
	for _, record := range records {
		if table, ok := follower.decodeTable(record, rejected); ok && (!found || table.Version() > newest.Version()) {
			newest, found = table, true
		}
	}
	return newest, found
}

// earlierTable returns the newest route table in the records that precede an unreadable one. A host without any route
// table could not serve callers until operators publish the next version.
func (follower *Follower) earlierTable(ctx context.Context, rejected *rejections) (almondcross.RouteTable, bool) {
	partition := follower.config.Configuration
	oldest := int64(0)
	if records, err := follower.read(ctx, partition, 0, 0); errors.Is(err, almondcross.ErrStoreTrimmed) {
		oldest = records.First()
	}
	var newest almondcross.RouteTable
	found := false
	for next := oldest; ; {
		records, after, err := follower.readKeyed(ctx, partition, next, 0)
		if err != nil || after == next {
			return newest, found
		}
		if table, ok := follower.newestTable(records, rejected); ok && (!found || table.Version() > newest.Version()) {
			newest, found = table, true
		}
		next = after
	}
}

// routesPause returns the delay after a failed read.
func (follower *Follower) routesPause() time.Duration {
	if follower.config.Large == nil || !follower.config.Large() {
		return routesRetry
	}
	return routesRetry + rand.N(routesSpread) //nolint:gosec // Jitter needs no secrecy.
}

// logRoutesReadState logs that reading the configuration started to fail, or that it succeeds again.
func (follower *Follower) logRoutesReadState(err error, version int64) {
	if err == nil {
		follower.config.Log.Record("routes_read_again", almondcross.Number("version", version))
		return
	}
	follower.config.Log.Record("routes_not_read", almondcross.Number("version", version), almondcross.Text("reason", err.Error()))
}

func (follower *Follower) isConfiguration(record almondcross.KeyedRecord) bool {
	return record.Key() == follower.config.ConfigurationKey && len(record.Value()) > 0
}

func (follower *Follower) decodeTable(record almondcross.KeyedRecord, rejected *rejections) (almondcross.RouteTable, bool) {
	if !follower.isConfiguration(record) {
		return almondcross.RouteTable{}, false
	}
	table, err := follower.config.WorkerCodec.DecodeRoutes(record.Value())
	if err != nil {
		rejected.report(record, err)
		return almondcross.RouteTable{}, false
	}
	return table, true
}
