package placer

import (
	"math"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// reserveParts is the number of parts into which the capacity of a target is divided to count the reserve.
	// The reserve is the capacity that long work may not use; it is between 1/8 and 3/4 of a target while
	// there is short work.
	reserveParts = 16
	minReserve   = 2
	maxReserve   = 12
	// reserveRetention is how long the reserve is kept after the last short task arrived.
	reserveRetention = time.Minute
)

// updateFree recomputes the free capacity of a target and whether it may get tasks, and updates the
// placement policy. A target whose free capacity grew is added to pendingTargets.
func (machine *Machine) updateFree(target *target) {
	free := target.capacity.Sub(target.used)
	regularFree := free
	if machine.reserve > 0 {
		regularFree = minResources(free, target.capacity.Sub(machine.reserveOf(target.capacity)).Sub(target.longUsed))
	}
	if target.reservedFor != nil {
		// Long work may not use a target that is reserved for a gang: no task fits into a negative capacity.
		regularFree = almondcross.Resources{}.Sub(almondcross.NewResources(almondcross.ResourcesConfig{Slots: 1, MilliCPU: 1, MemoryMB: 1}))
	}
	schedulable := target.state == leaseHeld && target.listed && !target.leaving && !target.closing && !target.congested && !machine.draining &&
		target.info.State() != almondcross.HostLeaving && target.health.allows() && target.allowsBackfill(machine.now)
	machine.schedulePublish()
	if !schedulable {
		if target.schedulable {
			target.schedulable = false
			machine.Placement.Remove(target.info.Name())
		}
		return
	}
	grew := !target.schedulable || !free.Fits(target.free) || !regularFree.Fits(target.regularFree)
	target.schedulable, target.free, target.regularFree = true, free, regularFree
	machine.offerFree(target)
	if grew && !target.pending {
		target.pending = true
		machine.pendingTargets = append(machine.pendingTargets, target)
	}
}

// freeFor returns the free capacity that a task may use on a schedulable target.
func (target *target) freeFor(attempt *attempt) almondcross.Resources {
	if attempt.mayUseReserve() {
		return target.free
	}
	return target.regularFree
}

// shortDemand returns the part of the held capacity that short work needs: 1.5 times the resources of its
// running and waiting tasks, plus those of its stragglers.
func (machine *Machine) shortDemand() float64 {
	return 1.5*machine.shortResources.Dominant(machine.totalCapacity) + machine.stragglerResources.Dominant(machine.totalCapacity)
}

// addShort counts a waiting or running task of the short band. The reserve grows at once if needed.
func (machine *Machine) addShort(attempt *attempt) {
	attempt.short = true
	machine.shortResources = machine.shortResources.Add(attempt.task.Resources())
	machine.lastShortArrival = machine.now
	owner := attempt.task.Owner()
	machine.shortTasksByOwner[owner]++
	if machine.shortTasksByOwner[owner] == 1 {
		machine.limitReserve()
	}
	machine.shortDemandPeak = max(machine.shortDemandPeak, machine.shortDemand())
	if wanted := machine.reserveFor(machine.shortDemand()); wanted > machine.reserve {
		machine.reserve = wanted
		machine.updateAllFree()
		machine.scheduleAccounting()
	}
}

// removeShort reverses addShort when the task has ended.
func (machine *Machine) removeShort(attempt *attempt) {
	if !attempt.short {
		return
	}
	attempt.short = false
	if attempt.straggler {
		machine.stragglerResources = machine.stragglerResources.Sub(attempt.task.Resources())
	} else {
		machine.shortResources = machine.shortResources.Sub(attempt.task.Resources())
	}
	owner := attempt.task.Owner()
	machine.shortTasksByOwner[owner]--
	if machine.shortTasksByOwner[owner] == 0 {
		delete(machine.shortTasksByOwner, owner)
	}
}

// limitReserve bounds the reserve by the sum of the fair shares of the owners of short work, so that it
// does not reduce the shares of the other owners.
func (machine *Machine) limitReserve() {
	fairShare := 0.0
	for owner := range machine.shortTasksByOwner {
		fairShare += machine.Share.FairShare(owner)
	}
	machine.reserveLimit = min(maxReserve, max(minReserve, int64(fairShare*reserveParts)))
}

// lowerReserve lowers the reserve towards the peak demand of the last account interval, by at most one part,
// and removes it reserveRetention after the last short task arrived.
func (machine *Machine) lowerReserve() {
	machine.limitReserve()
	wanted := max(machine.reserveFor(machine.shortDemandPeak), machine.reserve-1)
	if machine.now.Sub(machine.lastShortArrival) > reserveRetention {
		wanted = 0
	}
	machine.shortDemandPeak = machine.shortDemand()
	if wanted < machine.reserve {
		machine.reserve = wanted
		machine.updateAllFree()
	}
}

// reserveFor returns the reserve for a demand, in units of 1/reserveParts.
func (machine *Machine) reserveFor(demand float64) int64 {
	return min(machine.reserveLimit, max(minReserve, int64(math.Ceil(demand*reserveParts))))
}

func (machine *Machine) updateAllFree() {
	for _, target := range machine.sortedTargets {
		machine.updateFree(target)
	}
}

// reserveOf returns the part of a target's capacity that long work may not use.
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

func minResources(first, second almondcross.Resources) almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU:     min(first.MilliCPU(), second.MilliCPU()),
		MemoryMB:     min(first.MemoryMB(), second.MemoryMB()),
		Accelerators: min(first.Accelerators(), second.Accelerators()),
		Slots:        min(first.Slots(), second.Slots()),
	})
}

// charge counts a task against its target and its owner's share.
func (machine *Machine) charge(attempt *attempt) {
	if attempt.charged {
		return
	}
	attempt.charged = true
	target, task := attempt.target, attempt.task
	target.used = target.used.Add(task.Resources())
	if attempt.long {
		target.longUsed = target.longUsed.Add(task.Resources())
	}
	machine.runningByEntry[task.Entry()]++
	machine.Share.AddUsage(task.Owner(), task.Entry(), task.Resources())
	machine.updateRank(task.Owner())
	machine.Placement.AddPlaced(task.Entry(), task.Class(), target.info.Rack())
}

// uncharge reverses a charge after a confirmed end or the end of the lease.
func (machine *Machine) uncharge(attempt *attempt) {
	if !attempt.charged {
		return
	}
	attempt.charged = false
	target, task := attempt.target, attempt.task
	target.used = target.used.Sub(task.Resources())
	if attempt.long {
		target.longUsed = target.longUsed.Sub(task.Resources())
	}
	machine.runningByEntry[task.Entry()]--
	machine.Share.RemoveUsage(task.Owner(), task.Entry(), task.Resources())
	machine.updateRank(task.Owner())
	machine.Placement.RemovePlaced(task.Entry(), task.Class(), target.info.Rack())
}
