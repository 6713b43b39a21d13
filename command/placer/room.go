package placer

import "github.com/almondcross/almondcross"

// setRoom tells the placement policy the room of a target.
func (machine *Machine) setRoom(entry *target) {
	free := entry.capacity.Sub(entry.used)
	longFree := free
	if machine.reserving() {
		longFree = least(free, entry.capacity.Sub(reserveOf(entry.capacity)).Sub(entry.longUsed))
	}
	if entry.reserved != nil {
		longFree = almondcross.Resources{}.Sub(almondcross.NewResources(almondcross.ResourcesConfig{Slots: 1, MilliCPU: 1, MemoryMB: 1}))
	}
	open := entry.state == stateHeld && entry.listed && !entry.leaving && !entry.closing && !machine.draining &&
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
func (entry *target) roomFor(item *job) almondcross.Resources {
	if item.mayReserve() {
		return entry.free
	}
	return entry.longFree
}

// reserving reports whether short work is present, so that its reserve is kept free.
func (machine *Machine) reserving() bool {
	return !machine.lastShort.IsZero() && machine.now.Sub(machine.lastShort) <= reserveLinger
}

// noteShort starts the reserve with the first short task.
func (machine *Machine) noteShort() {
	before := machine.reserving()
	machine.lastShort = machine.now
	if !before {
		machine.resetRooms()
	}
}

func (machine *Machine) resetRooms() {
	for _, entry := range machine.targets {
		machine.setRoom(entry)
	}
}

func reserveOf(capacity almondcross.Resources) almondcross.Resources {
	slots := capacity.Slots() / reserveFraction
	if slots == 0 && capacity.Slots() >= reserveFraction/2 {
		slots = 1
	}
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: capacity.MilliCPU() / reserveFraction,
		MemoryMB: capacity.MemoryMB() / reserveFraction,
		Slots:    slots,
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
	machine.Placement.Freed(task.Entry(), task.Class(), entry.target.Rack())
}
