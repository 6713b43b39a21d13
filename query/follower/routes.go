package follower

import (
	"context"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// routesWait is how long a read of the configuration waits for a change. A watch may stay silent
	// while changes are made, so it is short against the time in which a change must be in force.
	routesWait = 1300 * time.Millisecond
	// routesRetry is the pause after a failed read.
	routesRetry = 150 * time.Millisecond
	// routesRefresh is the longest time between two reads of the newest configuration as a whole.
	routesRefresh = 5 * time.Second
)

// Routes follows the configuration and gives each newer version to all sinks.
func (follower *Follower) Routes(take func(ctx context.Context, table almondcross.RouteTable)) Duty {
	return func(ctx context.Context) error {
		next, version, refreshed := int64(-1), int64(0), time.Time{}
		lost := false
		for ctx.Err() == nil {
			var records []almondcross.KeyedRecord
			var err error
			if next < 0 || time.Since(refreshed) > routesRefresh {
				records, next, err = follower.newest(ctx, follower.config.Configuration)
				refreshed = time.Now()
			} else {
				records, next, err = follower.keyed(ctx, follower.config.Configuration, next, routesWait)
			}
			if lost != (err != nil) {
				lost = err != nil
				follower.logRoutes(err, version)
			}
			if err != nil {
				next = -1
				ring.Pause(ctx, routesRetry)
				continue
			}
			for _, record := range records {
				table, ok := follower.table(record)
				if ok && table.Version() > version {
					version = table.Version()
					take(ctx, table)
				}
			}
		}
		return nil
	}
}

// logRoutes records that the configuration cannot be read any more, or can be again.
func (follower *Follower) logRoutes(err error, version int64) {
	if err == nil {
		follower.config.Log.Record("routes_read_again", almondcross.Number("version", version))
		return
	}
	follower.config.Log.Record("routes_not_read", almondcross.Number("version", version), almondcross.Text("reason", err.Error()))
}

func (follower *Follower) table(record almondcross.KeyedRecord) (almondcross.RouteTable, bool) {
	if record.Key() != follower.config.ConfigurationKey || len(record.Value()) == 0 {
		return almondcross.RouteTable{}, false
	}
	table, err := follower.config.Workers.DecodeRoutes(record.Value())
	if err != nil {
		follower.broken.count(follower.config.Configuration, record.Offset(), err)
		return almondcross.RouteTable{}, false
	}
	return table, true
}
