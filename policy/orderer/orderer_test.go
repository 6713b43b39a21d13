package orderer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/policy/orderer"
)

func query(since, latest, useful time.Duration) almondcross.OrderQuery {
	start := time.Unix(1000, 0)
	config := almondcross.OrderQueryConfig{Since: start.Add(since)}
	if latest != 0 {
		config.LatestStart, config.LatestUsefulStart = start.Add(latest), start.Add(useful)
	}
	return almondcross.NewOrderQuery(config)
}

// Guards against work that can no longer be in time before work that can, and against work that waits without end behind it.
func TestWorkThatCanBeInTimeGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0).Add(70 * time.Second)
	queries := map[string]almondcross.OrderQuery{
		"starved":      query(5*time.Second, 20*time.Second, 40*time.Second),
		"urgent":       query(65*time.Second, 71*time.Second, 90*time.Second),
		"in time":      query(60*time.Second, 75*time.Second, 90*time.Second),
		"no objective": query(69*time.Second, 0, 0),
		"late":         query(50*time.Second, 69*time.Second, 90*time.Second),
		"too late":     query(20*time.Second, 30*time.Second, 60*time.Second),
	}
	order := []string{"too late", "late", "in time", "no objective", "urgent", "starved"}
	slices.SortStableFunc(order, func(a, b string) int {
		policy := orderer.BySlack{}
		return policy.Rank(queries[a], now).Compare(policy.Rank(queries[b], now))
	})
	require.Equal(t, []string{"starved", "no objective", "urgent", "in time", "late", "too late"}, order)
}

// waitingJob is a job of a simulated burst.
type waitingJob struct {
	query    almondcross.OrderQuery
	deadline time.Time
}

// serve runs jobs of one length on a number of servers in the order of the policy, or of submission if it is nil, and returns how many
// are in time.
func serve(jobs []waitingJob, servers int, length time.Duration, policy almondcross.OrderPolicy) (inTime int, longestWait time.Duration) {
	free := make([]time.Time, servers)
	arrival := 0
	var waiting []waitingJob
	for now := time.Unix(1000, 0); arrival < len(jobs) || len(waiting) > 0; now = now.Add(10 * time.Millisecond) {
		for arrival < len(jobs) && !jobs[arrival].query.Since().After(now) {
			waiting = append(waiting, jobs[arrival])
			arrival++
		}
		if policy != nil {
			slices.SortStableFunc(waiting, func(a, b waitingJob) int {
				return policy.Rank(a.query, now).Compare(policy.Rank(b.query, now))
			})
		}
		for index := range free {
			if len(waiting) == 0 || free[index].After(now) {
				continue
			}
			free[index] = now.Add(length)
			if !free[index].After(waiting[0].deadline) {
				inTime++
			}
			longestWait = max(longestWait, now.Sub(waiting[0].query.Since()))
			waiting = waiting[1:]
		}
	}
	return inTime, longestWait
}

// Replays a burst of 2.5 times the capacity for ten seconds after which the load is at the capacity. Guards against an order in
// which nearly all jobs start when they have just become late: nine tenths of what the servers can do has to be in time, and no job may
// wait for longer than maxWait and the length of the burst, whose jobs reach maxWait within that time.
func TestBurstLeavesTheCapacityInTime(t *testing.T) {
	const servers, length, objective = 20, 2 * time.Second, 6 * time.Second
	start := time.Unix(1000, 0)
	var jobs []waitingJob
	for at, index := time.Duration(0), 0; at < 60*time.Second; index++ {
		since := start.Add(at)
		jobs = append(jobs, waitingJob{deadline: since.Add(objective), query: almondcross.NewOrderQuery(almondcross.OrderQueryConfig{
			Since: since, LatestStart: since.Add(objective - length), LatestUsefulStart: since.Add(3*objective - length),
		})})
		rate := 10.0 // Jobs a second that the servers can run.
		if at < 10*time.Second {
			rate *= 2.5
		}
		at += time.Duration(float64(time.Second) / rate)
	}
	capacity := 0
	for range jobs {
		if capacity++; capacity >= servers*int(60*time.Second/length) {
			break
		}
	}
	inOrder, _ := serve(jobs, servers, length, nil)
	bySlack, longest := serve(jobs, servers, length, orderer.BySlack{})
	require.Less(t, inOrder, capacity/3, "the load does not show the fault")
	require.GreaterOrEqual(t, float64(bySlack), 0.9*float64(capacity))
	require.LessOrEqual(t, longest, time.Minute+10*time.Second)
}
