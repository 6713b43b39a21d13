package orderer

import (
	"time"

	"github.com/almondcross/almondcross"
)

// maxWait is the wait from which work goes before all other work of its priority. It is several times the latency objective of
// long jobs, so that it takes effect only where work would otherwise wait without end.
const maxWait = time.Minute

// The groups of work in the order in which they are served.
const (
	groupInTime  = iota // groupInTime can still be in time, or has no objective.
	groupLate           // groupLate can only be late.
	groupTooLate        // groupTooLate can only be too late to be of use.
)

// BySlack implements almondcross.OrderPolicy.
type BySlack struct{}

// Rank returns the rank of work at a time: by whether it can be in time, then by how long it can still wait. Work that is too
// late is served in the order of its arrival.
func (BySlack) Rank(query almondcross.OrderQuery, now time.Time) almondcross.OrderRank {
	group, key := groupInTime, query.LatestStart()
	switch {
	case now.Sub(query.Since()) >= maxWait:
		return almondcross.NewOrderRank(almondcross.OrderRankConfig{Overdue: true, Key: query.Since()})
	case query.LatestStart().IsZero():
		key = query.Since()
	case !now.After(query.LatestStart()):
	case !now.After(query.LatestUsefulStart()):
		group = groupLate
	default:
		group, key = groupTooLate, query.Since()
	}
	return almondcross.NewOrderRank(almondcross.OrderRankConfig{Group: group, Key: key})
}
