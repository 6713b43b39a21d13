package counter

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
)

// Counter updates the metrics of a host's scheduling decisions.
type Counter struct {
	set *metrics.Set
	// workspaces holds the names of the metrics of workspaces. Only the duty of the scheduler uses it.
	workspaces map[string]struct{}
}

// New returns a counter that registers its metrics in a set.
func New(set *metrics.Set) *Counter { return &Counter{set: set, workspaces: map[string]struct{}{}} }

func (counter *Counter) add(name string, count int) { counter.set.GetOrCreateCounter(name).Add(count) }

// Elected counts an election that this host won.
func (counter *Counter) Elected() { counter.add("almondcross_elections_won_total", 1) }

// CommitRepeated counts a retried append to the journal.
func (counter *Counter) CommitRepeated() { counter.add("almondcross_commits_repeated_total", 1) }

// JobRepeated counts a repeated submission of a job.
func (counter *Counter) JobRepeated() { counter.add("almondcross_jobs_repeated_total", 1) }

// Admitted counts an admitted job of a queue.
func (counter *Counter) Admitted(queue string) {
	counter.add(fmt.Sprintf("almondcross_jobs_admitted_total{queue=%q}", queue), 1)
}

// Finished counts a job of a queue that reached a final state.
func (counter *Counter) Finished(queue string, state almondcross.JobState) {
	counter.add(fmt.Sprintf("almondcross_jobs_finished_total{queue=%q,state=%q}", queue, state), 1)
}

// StartAnswered counts a start order by the result of its answer.
func (counter *Counter) StartAnswered(result almondcross.OrderResult) {
	counter.add(fmt.Sprintf("almondcross_starts_total{result=%q}", result), 1)
}

// StopSent counts a stop order by the reason for it.
func (counter *Counter) StopSent(reason string) {
	counter.add(fmt.Sprintf("almondcross_stops_sent_total{reason=%q}", reason), 1)
}

// Ended counts an ended run by the kind of its end.
func (counter *Counter) Ended(kind almondcross.EndKind) {
	counter.add(fmt.Sprintf("almondcross_runs_ended_total{end=%q}", kind), 1)
}

// Advised counts an answer of the advice service, with the numbers of workers that it allowed and that were in the query.
func (counter *Counter) Advised(queue string, allowed, asked int) {
	counter.add(fmt.Sprintf("almondcross_advice_calls_total{queue=%q}", queue), 1)
	counter.add(fmt.Sprintf("almondcross_advice_workers_asked_total{queue=%q}", queue), asked)
	counter.add(fmt.Sprintf("almondcross_advice_workers_allowed_total{queue=%q}", queue), allowed)
}

// FormatUnknown counts a scheduler whose journal this host cannot read in full.
func (counter *Counter) FormatUnknown() { counter.add("almondcross_journal_formats_unknown_total", 1) }

// RoutesRejected counts a version of the configuration that cannot be put in force.
func (counter *Counter) RoutesRejected() { counter.add("almondcross_routes_rejected_total", 1) }

// RoutesConfirmed sets the time as of which the configuration in force on this host is known to be the newest one.
func (counter *Counter) RoutesConfirmed(at time.Time) {
	counter.set.GetOrCreateGauge("almondcross_routes_confirmed_timestamp_seconds", nil).Set(float64(at.UnixMilli()) / 1000)
}

// RoutesInForce sets the version of the configuration in force on this host.
func (counter *Counter) RoutesInForce(version int64) {
	counter.set.GetOrCreateGauge("almondcross_routes_version", nil).Set(float64(version))
}

// RoomRefused counts a job or cancellation of a queue for which the state had no room.
func (counter *Counter) RoomRefused(queue string) {
	counter.add(fmt.Sprintf("almondcross_room_refused_total{queue=%q}", queue), 1)
}

// StateHeld sets the memory in bytes that the jobs of the state are estimated to take, and its limit.
func (counter *Counter) StateHeld(used, limit int64) {
	counter.set.GetOrCreateGauge("almondcross_state_bytes", nil).Set(float64(used))
	counter.set.GetOrCreateGauge("almondcross_state_limit_bytes", nil).Set(float64(limit))
}

// StateTooLarge counts a state that this host could not hold.
func (counter *Counter) StateTooLarge() { counter.add("almondcross_states_too_large_total", 1) }

// Examined counts how often a worker was looked at in a placement pass.
func (counter *Counter) Examined(workers int) {
	counter.add("almondcross_placement_workers_examined_total", workers)
}

// Workspaces replaces the usage of workspaces: what their runs hold, their quotas, and how many of their stages wait for quota.
// A resource without a quota has none. The number of workspaces is bounded by the caller.
func (counter *Counter) Workspaces(usages []almondcross.WorkspaceUsage) {
	current := map[string]struct{}{}
	set := func(name string, value int64) {
		current[name] = struct{}{}
		counter.set.GetOrCreateGauge(name, nil).Set(float64(value))
	}
	for _, usage := range usages {
		set(fmt.Sprintf("almondcross_workspace_waiting_stages{workspace=%q}", usage.Workspace()), int64(usage.WaitingStages()))
		for _, amount := range [...]struct {
			resource    string
			held, quota int64
		}{
			{"cpu_millis", usage.Held().MilliCPU(), usage.Quota().MilliCPU()},
			{"memory_mb", usage.Held().MemoryMB(), usage.Quota().MemoryMB()},
			{"accelerators", usage.Held().Accelerators(), usage.Quota().Accelerators()},
		} {
			set(fmt.Sprintf("almondcross_workspace_held{workspace=%q,resource=%q}", usage.Workspace(), amount.resource), amount.held)
			if amount.quota > 0 {
				set(fmt.Sprintf("almondcross_workspace_quota{workspace=%q,resource=%q}", usage.Workspace(), amount.resource), amount.quota)
			}
		}
	}
	for name := range counter.workspaces {
		if _, kept := current[name]; !kept {
			counter.set.UnregisterMetric(name)
		}
	}
	counter.workspaces = current
}

// WorkerPaced counts a worker that was found slow, or trusted again.
func (counter *Counter) WorkerPaced(slow bool) {
	counter.add(fmt.Sprintf("almondcross_worker_speed_changes_total{slow=\"%t\"}", slow), 1)
}

// Ordered records how long an order to a worker took.
func (counter *Counter) Ordered(kind string, took time.Duration) {
	counter.set.GetOrCreateHistogram(fmt.Sprintf("almondcross_order_seconds{kind=%q}", kind)).Update(max(took, 0).Seconds())
}

// Relayed counts orders to workers that were passed to another host.
func (counter *Counter) Relayed(orders int) { counter.add("almondcross_orders_relayed_total", orders) }

// SentDirectly counts an order that the scheduler's host sends to its worker.
func (counter *Counter) SentDirectly() { counter.add("almondcross_orders_direct_total", 1) }

// RelayFailed counts relayed orders whose outcome is unknown because a host was lost or silent.
func (counter *Counter) RelayFailed(orders int) {
	counter.add("almondcross_orders_relay_failed_total", orders)
}

// Answered records the status and the time of an answer to a caller.
func (counter *Counter) Answered(method, queue string, status int, took time.Duration) {
	counter.add(fmt.Sprintf("almondcross_answers_total{method=%q,queue=%q,status=\"%d\"}", method, queue, status), 1)
	counter.set.GetOrCreateHistogram(fmt.Sprintf("almondcross_answer_seconds{method=%q,queue=%q}", method, queue)).Update(took.Seconds())
}

// BodyRefused counts a body of a request that was refused: for the bytes of all bodies, or since it did not arrive in time.
func (counter *Counter) BodyRefused(reason string) {
	counter.add(fmt.Sprintf("almondcross_bodies_refused_total{reason=%q}", reason), 1)
}

// AnswerUnread counts a connection whose client did not read what a server sent.
func (counter *Counter) AnswerUnread(server string) {
	counter.add(fmt.Sprintf("almondcross_answers_unread_total{server=%q}", server), 1)
}
