package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// usagePeriod is the length of an accounting period.
	usagePeriod = 10 * time.Minute
	// usageRetention is how long a period stays in the state after its start, so that every scheduler can
	// store it.
	usageRetention = time.Hour
	// usageInterval is the time between two writes of changed periods.
	usageInterval = 10 * time.Second
)

// updateUsage changes the usage of a queue in the current period.
func (state *state) updateUsage(queue almondcross.Queue, change func(usage almondcross.QueueUsage) almondcross.QueueUsage) {
	if queue.Name() == "" {
		return
	}
	from := state.batchTime.Truncate(usagePeriod)
	key := almondcross.UsageKey{From: from.Unix(), Queue: queue.Name()}
	usage, known := state.usage[key]
	if !known {
		usage = almondcross.NewQueueUsage(almondcross.QueueUsageConfig{
			From: from, Queue: queue.Name(), Pool: queue.Pool(), Priority: queue.Priority(),
		})
	}
	state.usage[key] = change(usage)
	state.unstoredUsage[key] = struct{}{}
}

// addRunUsage adds the resources that a run used until its end.
func (state *state) addRunUsage(job *job, stage *stage, record almondcross.TaskRecord, kind almondcross.EndKind) {
	consumed := resourceSeconds(stage.spec.Resources(), state.batchTime.Sub(record.Since()))
	state.updateUsage(job.settings.Queue(), func(usage almondcross.QueueUsage) almondcross.QueueUsage {
		usage = usage.WithReceived(usage.Received().Add(consumed))
		switch kind {
		case almondcross.EndDone:
			return usage.WithDoneRuns(usage.DoneRuns() + 1)
		case almondcross.EndFailed:
			return usage.WithFailedRuns(usage.FailedRuns() + 1).WithLost(usage.Lost().Add(consumed))
		default:
			return usage.WithAbortedRuns(usage.AbortedRuns() + 1).WithLost(usage.Lost().Add(consumed))
		}
	})
}

// maxResourceSeconds is the maximum usage of one run. A conversion from float64 beyond the range of int64 is not defined.
const maxResourceSeconds = 1 << 53

// resourceSeconds returns resources multiplied by a duration in seconds, at most maxResourceSeconds of each.
func resourceSeconds(resources almondcross.Resources, length time.Duration) almondcross.Resources {
	seconds := max(length, 0).Seconds()
	scale := func(amount int64) int64 { return int64(min(float64(amount)*seconds, maxResourceSeconds)) }
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: scale(resources.MilliCPU()), MemoryMB: scale(resources.MemoryMB()), Accelerators: scale(resources.Accelerators()),
	})
}

// expireUsage drops the periods whose retention has ended.
func (state *state) expireUsage() {
	for key := range state.usage {
		if state.batchTime.Sub(time.Unix(key.From, 0)) > usageRetention {
			delete(state.usage, key)
			delete(state.unstoredUsage, key)
		}
	}
}

// sortedUsage returns the usage of all periods, sorted by start and queue.
func (state *state) sortedUsage() []almondcross.QueueUsage {
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

// storeUsage stores the periods that have changed, once the workers and with them the capacity of each pool are known. The usage may include changes of the pending append; if
// that append fails, the next write corrects it.
func (machine *Machine) storeUsage() {
	leader := machine.leader
	if !leader.workersListed || leader.usageStoring || machine.now.Sub(leader.usageAt) < usageInterval || len(machine.state.unstoredUsage) == 0 {
		return
	}
	leader.usageAt, leader.usageStoring = machine.now, true
	capacity := map[string]almondcross.Resources{}
	for _, worker := range leader.sortedWorkers {
		if worker.announced {
			capacity[worker.info.Pool()] = capacity[worker.info.Pool()].Add(worker.info.Capacity())
		}
	}
	var usages []almondcross.QueueUsage
	for _, usage := range machine.state.sortedUsage() {
		key := almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}
		if _, changed := machine.state.unstoredUsage[key]; changed {
			usages = append(usages, usage.WithCapacity(resourceSeconds(capacity[usage.Pool()], usagePeriod)))
		}
	}
	clear(machine.state.unstoredUsage)
	machine.emit(StoreUsage{Request: almondcross.NewUsageStore(almondcross.UsageStoreConfig{Usages: usages})})
}

// usageStored handles the answer to a write; periods that could not be stored are written again.
func (machine *Machine) usageStored(stored almondcross.UsageStored) {
	machine.leader.usageStoring = false
	if stored.Err() == nil {
		return
	}
	machine.config.Log.Record("usage_not_stored", almondcross.Number("periods", len(stored.Usages())), almondcross.Text("reason", stored.Err().Error()))
	for _, usage := range stored.Usages() {
		machine.state.unstoredUsage[almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}] = struct{}{}
	}
}
