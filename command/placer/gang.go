package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// reservationTimeout is how long a gang holds the reservation before the next gang gets it.
	reservationTimeout = 30 * time.Second
	// backfillWindow is the first part of a reservation, during which short tasks may use the
	// reserved targets. After it, capacity that becomes free on them is kept for the gang, so
	// that a stream of short tasks cannot starve it.
	backfillWindow = reservationTimeout / 2
	// gangAssemblyTimeout is how long the tasks of a gang without a timeout may take to arrive.
	gangAssemblyTimeout = 30 * time.Second
)

// gang is a request whose tasks start all together or not at all.
type gang struct {
	key      almondcross.Key
	attempts []*attempt
	size     int
	complete bool
	removed  bool
	queuedAt time.Time

	targets       []*target // the reserved targets in order of name
	reservedUntil time.Time
}

// addToGang adds a task to its gang and tries to start the gang once it is complete.
func (machine *Machine) addToGang(added *attempt) {
	key := added.task.ID().Key()
	group, ok := machine.gangs[key]
	if ok && group.attempts[0].task.Attempt() != added.task.Attempt() {
		machine.refuseGang(group, almondcross.CodeWaitedGang)
		ok = false
	}
	if !ok {
		group = &gang{key: key, size: added.task.Size(), queuedAt: machine.now}
		machine.gangs[key] = group
	}
	added.gang, added.waitCode = group, almondcross.CodeWaitedGang
	group.attempts = append(group.attempts, added)
	machine.attempts[added.key()] = added
	machine.waitingCount++
	wait := added.task.Timeout()
	if wait == 0 && !ok {
		machine.setTimer(gangAssemblyTimeout, timer{kind: timerGang, gang: group})
	}
	if wait > 0 {
		machine.setTimer(wait, timer{kind: timerTimeout, attempt: added})
	}
	if len(group.attempts) < group.size {
		return
	}
	group.complete = true
	slices.SortFunc(group.attempts, func(first, second *attempt) int {
		return cmp.Compare(first.task.ID().Index(), second.task.ID().Index())
	})
	if machine.gangNeverFits(group) {
		machine.refuseGang(group, almondcross.CodeNeverFits)
		return
	}
	if machine.startGang(group) {
		return
	}
	machine.gangQueue = append(machine.gangQueue, group)
	machine.reserveNext()
}

func (machine *Machine) removeFromGang(removed *attempt) {
	group := removed.gang
	removed.gang = nil
	machine.waitingCount--
	group.attempts = slices.DeleteFunc(group.attempts, func(other *attempt) bool { return other == removed })
	if len(group.attempts) == 0 {
		machine.removeGang(group)
	}
}

// removeGang removes a gang from the gang queue and gives its reservation to the next gang.
func (machine *Machine) removeGang(group *gang) {
	if group.removed {
		return
	}
	group.removed = true
	if machine.gangs[group.key] == group {
		delete(machine.gangs, group.key)
	}
	machine.gangQueue = slices.DeleteFunc(machine.gangQueue, func(other *gang) bool { return other == group })
	machine.unreserve(group)
	machine.reserveNext()
}

func (machine *Machine) refuseGang(group *gang, code almondcross.Code) {
	for _, attempt := range slices.Clone(group.attempts) {
		machine.refuse(attempt, code)
	}
}

func (machine *Machine) gangNeverFits(group *gang) bool {
	need, fitting, known := group.attempts[0].task.Resources(), int64(0), false
	for _, target := range machine.sortedTargets {
		if target.capacityKnown && target.listed {
			known = true
			fitting += fitCount(need, target.capacity)
		}
	}
	return known && fitting < int64(group.size)
}

// fitCount returns how many times need fits into free.
func fitCount(need, free almondcross.Resources) int64 {
	const unlimited = int64(1) << 40
	fit := unlimited
	for _, pair := range [][2]int64{
		{need.MilliCPU(), free.MilliCPU()},
		{need.MemoryMB(), free.MemoryMB()},
		{need.Accelerators(), free.Accelerators()},
		{need.Slots(), free.Slots()},
	} {
		if pair[0] > 0 {
			fit = min(fit, max(0, pair[1])/pair[0])
		}
	}
	return fit
}

// startGang starts all tasks of a gang or none.
func (machine *Machine) startGang(group *gang) bool {
	chosen, ok := machine.chooseAll(group.attempts, make([]*target, 0, group.size))
	if ok {
		machine.startGangTasks(group, chosen)
	}
	return ok
}

// chooseAll appends a target for each task to chosen and reports whether all of them have one. The
// placement policy sees each tentative choice as used capacity while the others are chosen; it is
// undone afterwards.
func (machine *Machine) chooseAll(attempts []*attempt, chosen []*target) ([]*target, bool) {
	previous := len(chosen)
	for _, attempt := range attempts {
		name, ok := machine.choose(attempt)
		if !ok {
			break
		}
		target := machine.targets[name]
		chosen = append(chosen, target)
		machine.adjustFree(target, attempt.task.Resources())
	}
	for index, target := range chosen[previous:] {
		machine.adjustFree(target, almondcross.Resources{}.Sub(attempts[index].task.Resources()))
	}
	return chosen, len(chosen)-previous == len(attempts)
}

func (machine *Machine) adjustFree(target *target, by almondcross.Resources) {
	target.free, target.regularFree = target.free.Sub(by), target.regularFree.Sub(by)
	machine.offerFree(target)
}

// offerFree passes the free capacity of a target to the placement policy.
func (machine *Machine) offerFree(target *target) {
	machine.Placement.SetTarget(almondcross.NewTargetCapacity(almondcross.TargetCapacityConfig{
		Name: target.info.Name(), Rack: target.info.Rack(), Capacity: target.capacity, Free: target.free, RegularFree: target.regularFree,
	}))
}

func (machine *Machine) startGangTasks(group *gang, chosen []*target) {
	for index, attempt := range slices.Clone(group.attempts) {
		machine.start(attempt, chosen[index])
		machine.waitingCount--
		attempt.gang = nil
	}
	group.attempts = nil
	machine.removeGang(group)
}

// reserveNext gives the reservation to the first gang in the queue. A gang that the schedulable targets cannot
// hold goes to the end of the queue instead, and the next one is tried at the next call. Only one gang at a
// time holds the reservation and takes its targets in order of name, so that two gangs cannot deadlock.
func (machine *Machine) reserveNext() {
	if machine.reservedGang != nil || len(machine.gangQueue) == 0 {
		return
	}
	group := machine.gangQueue[0]
	need := group.attempts[0].task.Resources()
	fitting := int64(0)
	for _, target := range machine.sortedTargets {
		if !target.schedulable || fitting >= int64(group.size) {
			continue
		}
		fit := fitCount(need, target.capacity.Sub(target.serviceUsage()))
		if fit > 0 {
			fitting += fit
			group.targets = append(group.targets, target)
		}
	}
	if fitting < int64(group.size) {
		group.targets = nil
		machine.gangQueue = append(machine.gangQueue[1:], group)
		return
	}
	machine.reservedGang, group.reservedUntil = group, machine.now.Add(reservationTimeout)
	for _, target := range group.targets {
		target.reservedFor = group
		machine.updateFree(target)
	}
	machine.setTimer(reservationTimeout, timer{kind: timerGang, gang: group})
	machine.setTimer(backfillWindow, timer{kind: timerGang, gang: group})
}

// serviceUsage returns the resources used by services, which do not end in time for a reservation.
func (target *target) serviceUsage() almondcross.Resources {
	var sum almondcross.Resources
	for _, attempt := range target.attempts {
		if attempt.task.Class() == almondcross.ClassService {
			sum = sum.Add(attempt.task.Resources())
		}
	}
	return sum
}

func (machine *Machine) unreserve(group *gang) {
	if machine.reservedGang == group {
		machine.reservedGang = nil
	}
	targets := group.targets
	group.targets = nil
	for _, target := range targets {
		if target.reservedFor == group {
			target.reservedFor = nil
			machine.updateFree(target)
		}
	}
}

// cancelReservation cancels the reservation that includes a target whose lease ended.
func (machine *Machine) cancelReservation(target *target) {
	if group := target.reservedFor; group != nil {
		machine.unreserve(group)
		machine.reserveNext()
	}
}

// handleGangTimer closes the reserved targets to short tasks after backfillWindow, gives the
// reservation to the next gang after reservationTimeout, and refuses a gang that is still incomplete.
func (machine *Machine) handleGangTimer(group *gang) {
	if group.removed {
		return
	}
	if !group.complete {
		machine.refuseGang(group, almondcross.CodeWaitedGang)
		return
	}
	if machine.reservedGang != group {
		return
	}
	if machine.now.Before(group.reservedUntil) {
		for _, target := range group.targets {
			machine.updateFree(target)
		}
		return
	}
	machine.unreserve(group)
	machine.gangQueue = append(slices.DeleteFunc(machine.gangQueue, func(other *gang) bool { return other == group }), group)
	machine.reserveNext()
}

// allowsBackfill reports whether tasks outside the gang may start on the target: it is not reserved, or
// the reservation is still within backfillWindow.
func (target *target) allowsBackfill(now time.Time) bool {
	group := target.reservedFor
	return group == nil || now.Before(group.reservedUntil.Add(backfillWindow-reservationTimeout))
}

// startWaitingGangs starts the waiting gangs that fit after a target gained free capacity.
func (machine *Machine) startWaitingGangs(target *target) {
	if group := machine.reservedGang; group != nil {
		if target.reservedFor == group {
			machine.startReservedGang(group)
		}
		return
	}
	for _, group := range slices.Clone(machine.gangQueue) {
		if !machine.startGang(group) {
			break
		}
	}
	machine.reserveNext()
}

// startReservedGang starts the gang that holds the reservation if its reserved targets, together with
// the free capacity of other targets, suffice.
func (machine *Machine) startReservedGang(group *gang) {
	need := group.attempts[0].task.Resources()
	chosen := make([]*target, 0, group.size)
	for _, target := range group.targets {
		if target.state != leaseHeld || target.leaving || target.closing || target.congested {
			continue
		}
		for fit := fitCount(need, target.capacity.Sub(target.used)); fit > 0 && len(chosen) < group.size; fit-- {
			chosen = append(chosen, target)
		}
	}
	chosen, ok := machine.chooseAll(group.attempts[len(chosen):], chosen)
	if ok {
		machine.startGangTasks(group, chosen)
	}
}
