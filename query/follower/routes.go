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
	// routesWait is how long a read of the configuration waits for a change. The store leaves some reads waiting although
	// a change was made. The waits of such a read and of a next one without an answer, and hedgeDelay, must together be
	// shorter than the time in which a change has to be in force, 2.5 s.
	routesWait = time.Second
	// routesRetry is the delay after a failed read.
	routesRetry = 150 * time.Millisecond
	// routesSpread is the longest time by which the hosts of a large cell draw out that delay. An outage ends the reads of all hosts at
	// one moment, and each reads the complete configuration afterwards.
	routesSpread = 850 * time.Millisecond
	// routesRefresh is the maximum time between two reads of the complete configuration.
	routesRefresh = 5 * time.Second
)

// readSource is how a version of the configuration was read, as it is logged.
type readSource string

const (
	sourceWatch    readSource = "watch"    // sourceWatch is a read that waits for changes.
	sourceComplete readSource = "complete" // sourceComplete is a read of the newest record.
	sourceHistory  readSource = "history"  // sourceHistory is a read of the records that precede an unreadable one.
)

// routesReader reads the configuration. It belongs to the duty of Routes.
type routesReader struct {
	follower   *Follower
	next       int64     // next is the offset from which to read changes, negative if the complete configuration has to be read.
	completeAt time.Time // completeAt is when the complete configuration was last read.
	// confirmedAt is when the last read that succeeded was sent: every version that is missing here was published later.
	confirmedAt time.Time
	failing     bool // failing is set after a failed read.
	rejected    *rejections
}

// Routes returns the duty that watches the configuration and calls apply with each newer version.
func (follower *Follower) Routes(apply func(ctx context.Context, record almondcross.RoutesRecord)) Duty {
	return func(ctx context.Context) error {
		reader := &routesReader{
			follower: follower, next: -1, confirmedAt: time.Now(),
			rejected: &rejections{log: follower.config.Log, count: follower.config.Rejected, reported: map[int64]struct{}{}},
		}
		for ctx.Err() == nil {
			if record, found := reader.read(ctx); found {
				apply(ctx, record)
			}
		}
		return nil
	}
}

// read reads once, and returns a version that is newer than those read before. It pauses after a failed read.
func (routesreader *routesReader) read(ctx context.Context) (almondcross.RoutesRecord, bool) {
	follower, source, sentAt := routesreader.follower, sourceWatch, time.Now()
	var records []almondcross.KeyedRecord
	var err error
	if routesreader.next < 0 || sentAt.Sub(routesreader.completeAt) > routesRefresh {
		source = sourceComplete
		records, routesreader.next, err = readNewest(ctx, follower.hedged, follower.config.Configuration, readTimeout)
		routesreader.completeAt = time.Now()
	} else {
		records, routesreader.next, err = follower.readKeyed(ctx, follower.config.Configuration, routesreader.next, routesWait)
	}
	if routesreader.failing != (err != nil) {
		routesreader.failing = err != nil
		follower.logRoutesReadState(err, routesreader.rejected.inForce)
	}
	if err != nil {
		routesreader.next = -1
		ring.Pause(ctx, follower.routesPause())
		return almondcross.RoutesRecord{}, false
	}
	newest, found := follower.newestVersion(records, routesreader.rejected)
	if !found && routesreader.rejected.inForce == 0 && slices.ContainsFunc(records, follower.isConfiguration) {
		source = sourceHistory
		newest, found = follower.earlierVersion(ctx, routesreader.rejected)
	}
	found = found && newest.Table().Version() > routesreader.rejected.inForce
	if found {
		routesreader.rejected.inForce = newest.Table().Version()
		routesreader.logVersion(source, sentAt)
	}
	routesreader.confirmedAt = sentAt
	if follower.config.Confirmed != nil {
		follower.config.Confirmed(sentAt)
	}
	return newest, found
}

// logVersion logs that a version was read, by a read that was sent at a time. The version may have been published at any time
// after the read before was sent.
func (routesreader *routesReader) logVersion(source readSource, sentAt time.Time) {
	now := time.Now()
	routesreader.follower.config.Log.Record("routes_read", almondcross.Number("version", routesreader.rejected.inForce),
		almondcross.Text("source", string(source)), almondcross.Millis("took_ms", now.Sub(sentAt)),
		almondcross.Millis("unconfirmed_ms", now.Sub(routesreader.confirmedAt)))
}

// newestVersion returns the highest version among the records that can be decoded.
func (follower *Follower) newestVersion(records []almondcross.KeyedRecord, rejected *rejections) (almondcross.RoutesRecord, bool) {
	var newest almondcross.RoutesRecord
	found := false
	for _, record := range records {
		if decoded, ok := follower.decodeRoutes(record, rejected); ok && (!found || decoded.Table().Version() > newest.Table().Version()) {
			newest, found = decoded, true
		}
	}
	return newest, found
}

// earlierVersion returns the highest version in the records that precede an unreadable one. A host without any route
// table could not serve callers until operators publish the next version.
func (follower *Follower) earlierVersion(ctx context.Context, rejected *rejections) (almondcross.RoutesRecord, bool) {
	partition := follower.config.Configuration
	oldest := int64(0)
	if records, err := readFrom(ctx, follower.config.Reader, partition, 0, 0); errors.Is(err, almondcross.ErrStoreTrimmed) {
		oldest = records.First()
	}
	var newest almondcross.RoutesRecord
	found := false
	for next := oldest; ; {
		records, after, err := follower.readKeyed(ctx, partition, next, 0)
		if err != nil || after == next {
			return newest, found
		}
		if version, ok := follower.newestVersion(records, rejected); ok && (!found || version.Table().Version() > newest.Table().Version()) {
			newest, found = version, true
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

func (follower *Follower) decodeRoutes(record almondcross.KeyedRecord, rejected *rejections) (almondcross.RoutesRecord, bool) {
	if !follower.isConfiguration(record) {
		return almondcross.RoutesRecord{}, false
	}
	table, err := follower.config.WorkerCodec.DecodeRoutes(record.Value())
	if err != nil {
		rejected.report(record, err)
		return almondcross.RoutesRecord{}, false
	}
	return almondcross.NewRoutesRecord(almondcross.RoutesRecordConfig{Table: table, Source: record.Value()}), true
}
