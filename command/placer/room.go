package placer

import (
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// reserveParts divides a target into the parts by which the reserve changes. The reserve is
	// between 1/8 and 3/4 of a target while there is short work.
	reserveParts = 16
	reserveLeast = 2
	reserveMost  = 12
	// reserveLinger is how long the reserve is kept after the last short task.
	reserveLinger = time.Minute
)

// setRoom tells the placement policy the room of a target.
func (machine *Machine) setRoom(entry *target) {
	free := entry.capacity.Sub(entry.used)
	longFree := free
	if machine.reserve > 0 {
		longFree = least(free, entry.capacity.Sub(machine.reserveOf(entry.capacity)).Sub(entry.longUsed))
	}
	if entry.reserved != nil {
		longFree = almondcross.Resources{}.Sub(almondcross.NewResources(almondcross.ResourcesConfig{Slots: 1, MilliCPU: 1, MemoryMB: 1}))
	}
	open := entry.state == stateHeld && entry.listed && !entry.leaving && !entry.closing && !entry.congested && !machine.draining &&
		entry.target.State() != almondcross.HostLeaving && entry.health.allows() && entry.allowsBackfill(machine.now)
	machine.publishSoon()
	if !open {
		if entry.open {
			entry.open = false
			machine.Placement.Remove(entry.target.Name())
		}
		return
	}
	grew := !entry.open || !free.Fits(entry.free) || !longFree.Fits(entry.longFree)
	entry.open, entry.free, entry.longFree = true, free, longFree
	machine.Placement.SetRoom(almondcross.NewTargetRoom(almondcross.TargetRoomConfig{
		Name: entry.target.Name(), Rack: entry.target.Rack(), Capacity: entry.capacity, Free: free, LongFree: longFree,
	}))
	if grew && !entry.gained {
		entry.gained = true
		machine.gained = append(machine.gained, entry)
	}
}

// roomFor returns the room that a task may use on an open target.
func (target *target) roomFor(item *job) almondcross.Resources {
	if item.mayReserve() {
		return target.free
	}
	return target.longFree
}

// shortDemand returns the part of the held capacity that short work needs: half as much again as
// it runs on and waits for, and what its stragglers keep.
func (machine *Machine) shortDemand() float64 {
	return 1.5*machine.short.Dominant(machine.total) + machine.straggling.Dominant(machine.total)
}

// addShort counts a task of the short band that waits or runs. The reserve rises at once.
func (machine *Machine) addShort(item *job) {
	item.short = true
	machine.short = machine.short.Add(item.task.Resources())
	machine.lastShort = machine.now
	owner := item.task.Owner()
	machine.shortOwners[owner]++
	if machine.shortOwners[owner] == 1 {
		machine.limitReserve()
	}
	machine.shortPeak = max(machine.shortPeak, machine.shortDemand())
	if wanted := machine.reserveFor(machine.shortDemand()); wanted > machine.reserve {
		machine.reserve = wanted
		machine.resetRooms()
		machine.accountSoon()
	}
}

// dropShort takes back addShort when the task ended.
func (machine *Machine) dropShort(item *job) {
	if !item.short {
		return
	}
	item.short = false
	if item.straggler {
		machine.straggling = machine.straggling.Sub(item.task.Resources())
	} else {
		machine.short = machine.short.Sub(item.task.Resources())
	}
	owner := item.task.Owner()
	machine.shortOwners[owner]--
	if machine.shortOwners[owner] == 0 {
		delete(machine.shortOwners, owner)
	}
}

// limitReserve bounds the reserve by what the owners of short work are due, so that it does not
// cut into the shares of the others.
func (machine *Machine) limitReserve() {
	due := 0.0
	for owner := range machine.shortOwners {
		due += machine.Share.Fair(owner)
	}
	machine.reserveMost = min(reserveMost, max(reserveLeast, int64(due*reserveParts)))
}

// lowerReserve lets the reserve follow the peak of the last interval down, and ends it
// reserveLinger after the last short task.
func (machine *Machine) lowerReserve() {
	machine.limitReserve()
	wanted := max(machine.reserveFor(machine.shortPeak), machine.reserve-1)
	if machine.now.Sub(machine.lastShort) > reserveLinger {
		wanted = 0
	}
	machine.shortPeak = machine.shortDemand()
	if wanted < machine.reserve {
		machine.reserve = wanted
		machine.resetRooms()
	}
}

// reserveFor returns the reserve for a demand, in parts of reserveParts.
func (machine *Machine) reserveFor(demand float64) int64 {
	return min(machine.reserveMost, max(reserveLeast, int64(math.Ceil(demand*reserveParts))))
}

func (machine *Machine) resetRooms() {
	for _, entry := range machine.sorted {
		machine.setRoom(entry)
	}
}

// reserveOf returns the part of a target that long work may not take.
func (machine *Machine) reserveOf(capacity almondcross.Resources) almondcross.Resources {
	part := func(amount int64) int64 { return amount * machine.reserve / reserveParts }
	slots := part(capacity.Slots())
	if slots == 0 && capacity.Slots() > 2 && machine.reserve > 0 {
		slots = 1
	}
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: part(capacity.MilliCPU()), MemoryMB: part(capacity.MemoryMB()), Slots: slots,
	})
}

func least(first, second almondcross.Resources) almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU:     min(first.MilliCPU(), second.MilliCPU()),
		MemoryMB:     min(first.MemoryMB(), second.MemoryMB()),
		Accelerators: min(first.Accelerators(), second.Accelerators()),
		Slots:        min(first.Slots(), second.Slots()),
	})
}

// charge counts a task against its target and its owner's share.
func (machine *Machine) charge(item *job) {
	if item.charged {
		return
	}
	item.charged = true
	entry, task := item.target, item.task
	entry.used = entry.used.Add(task.Resources())
	if item.long {
		entry.longUsed = entry.longUsed.Add(task.Resources())
	}
	machine.running[task.Entry()]++
	machine.Share.Take(task.Owner(), task.Entry(), task.Resources())
	machine.rerank(task.Owner())
	machine.Placement.Placed(task.Entry(), task.Class(), entry.target.Rack())
}

// uncharge takes back a charge after a confirmed end or the end of the lease.
func (machine *Machine) uncharge(item *job) {
	if !item.charged {
		return
	}
	item.charged = false
	entry, task := item.target, item.task
	entry.used = entry.used.Sub(task.Resources())
	if item.long {
		entry.longUsed = entry.longUsed.Sub(task.Resources())
	}
	machine.running[task.Entry()]--
	machine.Share.Return(task.Owner(), task.Entry(), task.Resources())
	machine.rerank(task.Owner())
	machine.Placement.Freed(task.Entry(), task.Class(), entry.target.Rack())
}
