package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

// publish emits the snapshot of the held targets and the summary for the peers.
func (machine *Machine) publish() {
	machine.publishTimerSet = false
	held := make([]almondcross.HeldTarget, 0, len(machine.targets))
	var free, largest almondcross.Resources
	for _, target := range machine.sortedTargets {
		if target.state != leaseHeld {
			continue
		}
		available := target.capacity.Sub(target.used)
		held = append(held, almondcross.NewHeldTarget(almondcross.HeldTargetConfig{
			Target: target.info, Term: target.term, Total: target.capacity, Free: available, Running: len(target.attempts),
			Leaving: target.leaving || target.info.State() == almondcross.HostLeaving, Ejected: target.health.ejected,
		}))
		if !target.schedulable {
			continue
		}
		free = free.Add(available)
		if largest.Dominant(target.capacity) < available.Dominant(target.capacity) {
			largest = available
		}
	}
	machine.emit(Effect{Kind: EffectPublish, Held: held})
	machine.emit(Effect{Kind: EffectSummary, Summary: almondcross.NewSummary(almondcross.SummaryConfig{
		CatalogueOffset: machine.catalogue.Offset(), Free: free, LargestFree: largest,
		Waiting: machine.waitingCount, Oldest: machine.oldestWait(), Held: len(held), Ejected: machine.ejectedCount,
		Largest: machine.largestCapacity(),
	})})
	if machine.waitingCount > 0 {
		// The wait of the oldest task grows without any message.
		machine.schedulePublish()
	}
}

// largestCapacity returns the largest known capacity of each resource. Peers use it to refuse a task that
// fits no target of the data centre.
func (machine *Machine) largestCapacity() almondcross.Resources {
	var largest almondcross.Resources
	for _, target := range machine.sortedTargets {
		if target.capacityKnown && target.listed {
			largest = largest.Max(target.capacity)
		}
	}
	return largest
}

func (machine *Machine) oldestWait() time.Duration {
	age := time.Duration(0)
	for _, queue := range machine.activeQueues {
		age = max(age, machine.now.Sub(queue.first().queuedAt))
	}
	for _, group := range machine.gangs {
		age = max(age, machine.now.Sub(group.queuedAt))
	}
	return age
}
