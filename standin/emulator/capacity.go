package emulator

import (
	"time"

	"github.com/almondcross/almondcross"
)

// capacityGrace is how long after its announcement a smaller capacity may be unknown to the scheduler.
const capacityGrace = contactTime + announceInterval

// shrinkDurationFactor makes a capacity stay small for several times the duration of its fault, since a start over it
// counts only after capacityGrace.
const shrinkDurationFactor = 3

// capacityPeriod is a capacity of a worker and when it came into force.
type capacityPeriod struct {
	from     time.Duration
	capacity almondcross.Resources
}

// shrinkWorker reduces the capacity of a worker, which keeps its runs, and restores it after the fault. The
// worker announces both with its next announcement.
func (simulation *Simulation) shrinkWorker(worker *modelWorker, fault Fault) {
	if len(worker.capacityPeriods) > 0 && worker.capacityPeriods[len(worker.capacityPeriods)-1].capacity != worker.fullCapacity {
		return
	}
	share := 0.1 + 0.8*simulation.random.Float64()
	worker.setCapacity(simulation.now, almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: int64(share * float64(worker.fullCapacity.MilliCPU())), MemoryMB: int64(share * float64(worker.fullCapacity.MemoryMB())),
	}))
	simulation.schedule(shrinkDurationFactor*fault.Duration, func() { worker.setCapacity(simulation.now, worker.fullCapacity) })
}

func (modelworker *modelWorker) setCapacity(now time.Duration, capacity almondcross.Resources) {
	modelworker.announcement = modelworker.announcement.WithCapacity(capacity)
	modelworker.capacityPeriods = append(modelworker.capacityPeriods, capacityPeriod{from: now, capacity: capacity})
}

// largestCapacity returns the largest capacity in force at any time since a time.
func (modelworker *modelWorker) largestCapacity(since time.Duration) almondcross.Resources {
	var largest almondcross.Resources
	for index, period := range modelworker.capacityPeriods {
		if index+1 == len(modelworker.capacityPeriods) || modelworker.capacityPeriods[index+1].from > since {
			largest = largest.Max(period.capacity)
		}
	}
	return largest
}
