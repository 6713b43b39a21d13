package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

// publish emits the snapshot of the held targets and the summary for the peers.
func (machine *Machine) publish() {
	machine.publishSet = false
	held := make([]almondcross.HeldTarget, 0, len(machine.targets))
	var free, largest almondcross.Resources
	for _, entry := range machine.sorted {
		if entry.state != stateHeld {
			continue
		}
		room := entry.capacity.Sub(entry.used)
		held = append(held, almondcross.NewHeldTarget(almondcross.HeldTargetConfig{
			Target: entry.target, Term: entry.term, Total: entry.capacity, Free: room, Running: len(entry.jobs),
			Leaving: entry.leaving || entry.target.State() == almondcross.HostLeaving, Ejected: entry.health.ejected,
		}))
		if !entry.open {
			continue
		}
		free = free.Add(room)
		if largest.Dominant(entry.capacity) < room.Dominant(entry.capacity) {
			largest = room
		}
	}
	machine.emit(Effect{Kind: EffectPublish, Held: held})
	machine.emit(Effect{Kind: EffectSummary, Summary: almondcross.NewSummary(almondcross.SummaryConfig{
		CatalogueOffset: machine.catalogue.Offset(), Free: free, LargestFree: largest,
		Waiting: machine.waiting, Oldest: machine.oldest(), Held: len(held), Ejected: machine.ejected,
		Largest: machine.largest(),
	})})
	if machine.waiting > 0 {
		// The age of the oldest task changes without a message.
		machine.publishSoon()
	}
}

// largest returns the largest known capacity of each resource; peers refuse a task that fits nowhere.
func (machine *Machine) largest() almondcross.Resources {
	var largest almondcross.Resources
	for _, entry := range machine.sorted {
		if entry.known && entry.listed {
			largest = largest.Max(entry.capacity)
		}
	}
	return largest
}

func (machine *Machine) oldest() time.Duration {
	age := time.Duration(0)
	for _, waiting := range machine.order {
		age = max(age, machine.now.Sub(waiting.first().queuedAt))
	}
	for _, group := range machine.gangs {
		age = max(age, machine.now.Sub(group.queuedAt))
	}
	return age
}
