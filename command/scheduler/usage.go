package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// usagePeriod is the length of a period of the account.
	usagePeriod = 10 * time.Minute
	// usageKept is how long a period stays in the state after its start, so that every scheduler stores it.
	usageKept = time.Hour
	// usageInterval is the time between two writes of the periods that have changed.
	usageInterval = 10 * time.Second
)

// account changes the usage of a queue in the present period.
func (state *state) account(queue almondcross.Queue, change func(usage almondcross.QueueUsage) almondcross.QueueUsage) {
	if queue.Name() == "" {
		return
	}
	from := state.at.Truncate(usagePeriod)
	key := almondcross.UsageKey{From: from.Unix(), Queue: queue.Name()}
	usage, known := state.usage[key]
	if !known {
		usage = almondcross.NewQueueUsage(almondcross.QueueUsageConfig{
			From: from, Queue: queue.Name(), Pool: queue.Service(), Priority: queue.Priority(),
		})
	}
	state.usage[key] = change(usage)
	state.changed[key] = struct{}{}
}

// accountRun adds what a run held until its end.
func (state *state) accountRun(job *job, stage *stage, record almondcross.TaskRecord, kind almondcross.EndKind) {
	held := timesSeconds(stage.spec.Resources(), state.at.Sub(record.Since()))
	state.account(job.queue, func(usage almondcross.QueueUsage) almondcross.QueueUsage {
		usage = usage.WithReceived(usage.Received().Add(held))
		switch kind {
		case almondcross.EndDone:
			return usage.WithDone(usage.Done() + 1)
		case almondcross.EndFailed:
			return usage.WithUnfinished(usage.Unfinished() + 1).WithLost(usage.Lost().Add(held))
		default:
			return usage.WithWithdrawn(usage.Withdrawn() + 1).WithLost(usage.Lost().Add(held))
		}
	})
}

// timesSeconds returns resources times seconds.
func timesSeconds(resources almondcross.Resources, length time.Duration) almondcross.Resources {
	seconds := max(length, 0).Seconds()
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: int64(float64(resources.MilliCPU()) * seconds), MemoryMB: int64(float64(resources.MemoryMB()) * seconds),
		Accelerators: int64(float64(resources.Accelerators()) * seconds),
	})
}

// forgetUsage drops the periods that every scheduler had the time to store.
func (state *state) forgetUsage() {
	for key := range state.usage {
		if state.at.Sub(time.Unix(key.From, 0)) > usageKept {
			delete(state.usage, key)
			delete(state.changed, key)
		}
	}
}

// usages returns the usage of all periods in order.
func (state *state) usages() []almondcross.QueueUsage {
	list := make([]almondcross.QueueUsage, 0, len(state.usage))
	for _, usage := range state.usage {
		list = append(list, usage)
	}
	slices.SortFunc(list, func(a, b almondcross.QueueUsage) int {
		if order := a.From().Compare(b.From()); order != 0 {
			return order
		}
		return strings.Compare(a.Queue(), b.Queue())
	})
	return list
}

// storeUsage stores the periods that have changed. Usage that is stored belongs to committed changes or to
// changes of the append under way; the next write corrects what an append that failed has added.
func (machine *Machine) storeUsage() {
	leader := machine.leader
	if leader.usageStoring || machine.now.Sub(leader.usageAt) < usageInterval || len(machine.state.changed) == 0 {
		return
	}
	leader.usageAt, leader.usageStoring = machine.now, true
	capacity := map[string]almondcross.Resources{}
	for _, worker := range leader.order {
		if worker.listed {
			capacity[worker.worker.Pool()] = capacity[worker.worker.Pool()].Add(worker.worker.Capacity())
		}
	}
	var usages []almondcross.QueueUsage
	for _, usage := range machine.state.usages() {
		key := almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}
		if _, changed := machine.state.changed[key]; changed {
			usages = append(usages, usage.WithCapacity(timesSeconds(capacity[usage.Pool()], usagePeriod)))
		}
	}
	clear(machine.state.changed)
	machine.do(StoreUsage{Request: almondcross.NewUsageStore(almondcross.UsageStoreConfig{Usages: usages})})
}

// usageStored writes the periods again that the store did not take.
func (machine *Machine) usageStored(stored almondcross.UsageStored) {
	machine.leader.usageStoring = false
	if stored.Err() == nil {
		return
	}
	machine.config.Log.Record("usage_not_stored", almondcross.Number("periods", len(stored.Usages())), almondcross.Text("reason", stored.Err().Error()))
	for _, usage := range stored.Usages() {
		machine.state.changed[almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}] = struct{}{}
	}
}
