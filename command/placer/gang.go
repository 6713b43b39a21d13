package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// gangLimit is how long a gang keeps its reservation before the next gang gets a turn.
	gangLimit = 30 * time.Second
	// backfillLimit is the part of the reservation during which short work may use its room;
	// after it the room that becomes free is kept, so that a stream of short work cannot
	// starve the gang.
	backfillLimit = gangLimit / 2
	// gangGather is how long the tasks of a gang without a timeout may take to arrive.
	gangGather = 30 * time.Second
)

// gang is a request whose tasks start all at once or not at all.
type gang struct {
	key      almondcross.Key
	jobs     []*job
	size     int
	complete bool
	gone     bool
	queuedAt time.Time

	targets       []*target // the reserved targets in the order of their names
	reservedUntil time.Time
}

// joinGang adds a task to its gang and tries to start the gang once it is complete.
func (machine *Machine) joinGang(item *job) {
	key := item.task.ID().Key()
	group, ok := machine.gangs[key]
	if ok && group.jobs[0].task.Attempt() != item.task.Attempt() {
		machine.refuseGang(group, almondcross.CodeWaitedGang)
		ok = false
	}
	if !ok {
		group = &gang{key: key, size: item.task.Size(), queuedAt: machine.now}
		machine.gangs[key] = group
	}
	item.gang, item.waitCode = group, almondcross.CodeWaitedGang
	group.jobs = append(group.jobs, item)
	machine.jobs[item.key()] = item
	machine.waiting++
	wait := item.task.Timeout()
	if wait == 0 && !ok {
		machine.after(gangGather, timer{kind: timerGang, gang: group})
	}
	if wait > 0 {
		machine.after(wait, timer{kind: timerTimeout, job: item})
	}
	if len(group.jobs) < group.size {
		return
	}
	group.complete = true
	slices.SortFunc(group.jobs, func(first, second *job) int {
		return cmp.Compare(first.task.ID().Index(), second.task.ID().Index())
	})
	if machine.gangNeverFits(group) {
		machine.refuseGang(group, almondcross.CodeNeverFits)
		return
	}
	if machine.startGang(group) {
		return
	}
	machine.gangLine = append(machine.gangLine, group)
	machine.passReservation()
}

func (machine *Machine) leaveGang(item *job) {
	group := item.gang
	item.gang = nil
	machine.waiting--
	group.jobs = slices.DeleteFunc(group.jobs, func(other *job) bool { return other == item })
	if len(group.jobs) == 0 {
		machine.endGang(group)
	}
}

// endGang takes a gang out of the line and gives its reservation to the next one.
func (machine *Machine) endGang(group *gang) {
	if group.gone {
		return
	}
	group.gone = true
	if machine.gangs[group.key] == group {
		delete(machine.gangs, group.key)
	}
	machine.gangLine = slices.DeleteFunc(machine.gangLine, func(other *gang) bool { return other == group })
	machine.unreserve(group)
	machine.passReservation()
}

func (machine *Machine) refuseGang(group *gang, code almondcross.Code) {
	for _, item := range slices.Clone(group.jobs) {
		machine.refuse(item, code)
	}
}

func (machine *Machine) gangNeverFits(group *gang) bool {
	need, room, known := group.jobs[0].task.Resources(), int64(0), false
	for _, entry := range machine.sorted {
		if entry.known && entry.listed {
			known = true
			room += count(need, entry.capacity)
		}
	}
	return known && room < int64(group.size)
}

// count returns how many times an amount fits into a room.
func count(need, room almondcross.Resources) int64 {
	const unlimited = int64(1) << 40
	fit := unlimited
	for _, pair := range [][2]int64{
		{need.MilliCPU(), room.MilliCPU()},
		{need.MemoryMB(), room.MemoryMB()},
		{need.Accelerators(), room.Accelerators()},
		{need.Slots(), room.Slots()},
	} {
		if pair[0] > 0 {
			fit = min(fit, max(0, pair[1])/pair[0])
		}
	}
	return fit
}

// startGang places every task of a gang or none.
func (machine *Machine) startGang(group *gang) bool {
	chosen, ok := machine.chooseAll(group.jobs, make([]*target, 0, group.size))
	if ok {
		machine.startMembers(group, chosen)
	}
	return ok
}

// chooseAll adds a target for each task and reports whether there was one. The placement policy
// is told of each tentative choice, and of its return afterwards.
func (machine *Machine) chooseAll(items []*job, chosen []*target) ([]*target, bool) {
	taken := len(chosen)
	for _, item := range items {
		name, ok := machine.choose(item)
		if !ok {
			break
		}
		entry := machine.targets[name]
		chosen = append(chosen, entry)
		machine.shiftRoom(entry, item.task.Resources())
	}
	for index, entry := range chosen[taken:] {
		machine.shiftRoom(entry, almondcross.Resources{}.Sub(items[index].task.Resources()))
	}
	return chosen, len(chosen)-taken == len(items)
}

func (machine *Machine) shiftRoom(entry *target, by almondcross.Resources) {
	entry.free, entry.longFree = entry.free.Sub(by), entry.longFree.Sub(by)
	machine.Placement.SetRoom(almondcross.NewTargetRoom(almondcross.TargetRoomConfig{
		Name: entry.target.Name(), Rack: entry.target.Rack(), Capacity: entry.capacity, Free: entry.free, LongFree: entry.longFree,
	}))
}

func (machine *Machine) startMembers(group *gang, chosen []*target) {
	for index, item := range slices.Clone(group.jobs) {
		machine.start(item, chosen[index])
		machine.waiting--
		item.gang = nil
	}
	group.jobs = nil
	machine.endGang(group)
}

// passReservation gives the reservation to the first waiting gang. One gang at a time holds it and takes
// its targets in the order of their names, so that two gangs cannot wait for each other.
func (machine *Machine) passReservation() {
	if machine.holder != nil || len(machine.gangLine) == 0 {
		return
	}
	group := machine.gangLine[0]
	need := group.jobs[0].task.Resources()
	room := int64(0)
	for _, entry := range machine.sorted {
		if !entry.open || room >= int64(group.size) {
			continue
		}
		fit := count(need, entry.capacity.Sub(entry.lasting()))
		if fit > 0 {
			room += fit
			group.targets = append(group.targets, entry)
		}
	}
	if room < int64(group.size) {
		group.targets = nil
		machine.gangLine = append(machine.gangLine[1:], group)
		return
	}
	machine.holder, group.reservedUntil = group, machine.now.Add(gangLimit)
	for _, entry := range group.targets {
		entry.reserved = group
		machine.setRoom(entry)
	}
	machine.after(gangLimit, timer{kind: timerGang, gang: group})
	machine.after(backfillLimit, timer{kind: timerGang, gang: group})
}

// lasting returns the room of services, which do not end in time for a reservation.
func (target *target) lasting() almondcross.Resources {
	var sum almondcross.Resources
	for _, item := range target.jobs {
		if item.task.Class() == almondcross.ClassService {
			sum = sum.Add(item.task.Resources())
		}
	}
	return sum
}

func (machine *Machine) unreserve(group *gang) {
	if machine.holder == group {
		machine.holder = nil
	}
	targets := group.targets
	group.targets = nil
	for _, entry := range targets {
		if entry.reserved == group {
			entry.reserved = nil
			machine.setRoom(entry)
		}
	}
}

// dropReservation ends the reservation that includes a target whose lease ended.
func (machine *Machine) dropReservation(entry *target) {
	if group := entry.reserved; group != nil {
		machine.unreserve(group)
		machine.passReservation()
	}
}

// expireReservation closes the reserved targets to short work after backfillLimit, passes the
// reservation on after gangLimit, and refuses a gang that did not become complete.
func (machine *Machine) expireReservation(group *gang) {
	if group.gone {
		return
	}
	if !group.complete {
		machine.refuseGang(group, almondcross.CodeWaitedGang)
		return
	}
	if machine.holder != group {
		return
	}
	if machine.now.Before(group.reservedUntil) {
		for _, entry := range group.targets {
			machine.setRoom(entry)
		}
		return
	}
	machine.unreserve(group)
	machine.gangLine = append(slices.DeleteFunc(machine.gangLine, func(other *gang) bool { return other == group }), group)
	machine.passReservation()
}

// allowsBackfill reports whether a target is not kept for a gang at this time.
func (target *target) allowsBackfill(now time.Time) bool {
	group := target.reserved
	return group == nil || now.Before(group.reservedUntil.Add(backfillLimit-gangLimit))
}

// tryGangs starts waiting gangs that a gain made room for.
func (machine *Machine) tryGangs(entry *target) {
	if group := machine.holder; group != nil {
		if entry.reserved == group {
			machine.tryReserved(group)
		}
		return
	}
	for _, group := range slices.Clone(machine.gangLine) {
		if !machine.startGang(group) {
			break
		}
	}
	machine.passReservation()
}

// tryReserved starts the gang with the reservation when its targets, with the room that is free
// elsewhere, are enough by now.
func (machine *Machine) tryReserved(group *gang) {
	need := group.jobs[0].task.Resources()
	chosen := make([]*target, 0, group.size)
	for _, entry := range group.targets {
		if entry.state != stateHeld || entry.leaving || entry.closing || entry.congested {
			continue
		}
		for fit := count(need, entry.capacity.Sub(entry.used)); fit > 0 && len(chosen) < group.size; fit-- {
			chosen = append(chosen, entry)
		}
	}
	chosen, ok := machine.chooseAll(group.jobs[len(chosen):], chosen)
	if ok {
		machine.startMembers(group, chosen)
	}
}
