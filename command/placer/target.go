package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// acquireInterval is the time between two attempts of the preferred holder. A failed
	// holder's lease ends HolderLease after its last renewal.
	acquireInterval = 500 * time.Millisecond
	// otherInterval is the time between two attempts of a host that is not the preferred
	// holder; it covers a preferred holder that cannot reach the target.
	otherInterval = 5 * time.Second
	// handBackAfter is how long another member must be the preferred holder before it gets the
	// target. It doubles up to handBackLimit with each hand-back that returned, so that a
	// preferred holder that cannot reach the target does not make the lease alternate.
	handBackAfter = 3 * time.Second
	handBackLimit = 5 * time.Minute
	// closingInterval is the time after which a hand-back that waits for starts is tried again.
	closingInterval = 100 * time.Millisecond
	// congestionTime is how long a target gets no start after its dispatcher's ring refused one.
	congestionTime = 20 * time.Millisecond
)

type holding int

const (
	stateIdle holding = iota
	stateAcquiring
	stateHeld
	stateReleasing
)

// target is one target of the data centre.
type target struct {
	target      almondcross.Target
	createdFor  almondcross.Target // the target as its dispatcher knows it
	created     bool
	listed      bool
	state       holding
	retrying    bool // a timerAcquire is set
	retryAt     time.Time
	retryOther  bool // it was set while another member was preferred
	handingBack bool // a timerHandBack is set
	closing     bool // no new starts, because the target is about to be handed back
	otherSince  time.Time
	handBack    time.Duration

	known     bool // the capacity is known from a grant
	term      almondcross.Term
	capacity  almondcross.Resources
	used      almondcross.Resources
	longUsed  almondcross.Resources
	free      almondcross.Resources // the room that the placement policy was told
	longFree  almondcross.Resources
	open      bool
	leaving   bool
	renewedAt time.Time
	renewSet  bool
	starting  int
	congested bool // the ring of the dispatcher refused a start
	jobs      map[almondcross.TaskID]*job
	reserved  *gang
	gained    bool
	health    health
}

// list takes the live list; targets of other data centres are not ours to hold.
func (machine *Machine) list(hosts almondcross.LiveHosts) {
	machine.hosts = hosts
	for _, entry := range machine.sorted {
		entry.listed = false
	}
	machine.listed = 0
	for _, listed := range hosts.Targets() {
		if listed.DataCentre() != machine.dataCentre() && machine.dataCentre() != "" {
			continue
		}
		entry, ok := machine.targets[listed.Name()]
		if !ok {
			entry = &target{handBack: handBackAfter, jobs: map[almondcross.TaskID]*job{}}
			machine.targets[listed.Name()] = entry
			machine.sorted = append(machine.sorted, entry)
		}
		entry.target, entry.listed = listed, true
		machine.listed++
	}
	slices.SortFunc(machine.sorted, func(first, second *target) int {
		return cmp.Compare(first.target.Name(), second.target.Name())
	})
	for _, entry := range slices.Clone(machine.sorted) {
		machine.setRoom(entry)
		machine.pursue(entry)
	}
}

func (machine *Machine) dataCentre() string { return machine.view.Self().DataCentre() }

func (machine *Machine) prefers(entry *target) bool {
	holder, ok := machine.view.PreferredHolder(entry.target)
	return ok && holder.ID() == machine.self
}

// pursue acquires, keeps or gives up the lease of a target.
func (machine *Machine) pursue(entry *target) {
	switch entry.state {
	case stateIdle:
		machine.pursueIdle(entry)
	case stateHeld:
		machine.pursueHeld(entry)
	case stateAcquiring, stateReleasing:
	}
}

func (machine *Machine) pursueIdle(entry *target) {
	outdated := entry.created && entry.createdFor.Address() != entry.target.Address()
	if machine.draining || !entry.listed || outdated {
		machine.drop(entry)
	}
	if !entry.listed && len(entry.jobs) == 0 {
		delete(machine.targets, entry.target.Name())
		if entry.health.ejected {
			machine.ejected--
		}
		machine.sorted = slices.DeleteFunc(machine.sorted, func(other *target) bool { return other == entry })
		return
	}
	if machine.draining || !entry.listed || machine.dataCentre() == "" || entry.target.DataCentre() != machine.dataCentre() {
		return
	}
	if wait := machine.view.ReadyAt().Sub(machine.now); wait > 0 {
		entry.retryOther = false
		machine.retryAcquire(entry, wait)
		return
	}
	preferred := machine.prefers(entry)
	if entry.retrying && (!entry.retryOther || !preferred) {
		return
	}
	if !preferred {
		entry.retryOther = true
		machine.retryAcquire(entry, machine.jitter(otherInterval))
		return
	}
	machine.acquire(entry)
}

func (machine *Machine) acquire(entry *target) {
	if !entry.created {
		entry.created, entry.createdFor = true, entry.target
		machine.emit(Effect{Kind: EffectCreate, Target: entry.target})
	}
	entry.state = stateAcquiring
	machine.send(entry.target.Name(), almondcross.AcquireLease{})
}

func (machine *Machine) drop(entry *target) {
	if entry.created {
		entry.created = false
		machine.emit(Effect{Kind: EffectDrop, Name: entry.target.Name()})
	}
}

// jitter spreads attempts of several hosts over a fifth of the interval.
func (machine *Machine) jitter(interval time.Duration) time.Duration {
	return interval + time.Duration(machine.nextRandom()%uint64(interval/5))
}

func (machine *Machine) retryAcquire(entry *target, wait time.Duration) {
	// A timer of the longer interval may be pending when this host becomes the preferred holder.
	at := machine.now.Add(wait)
	if entry.retrying && !at.Before(entry.retryAt) {
		return
	}
	entry.retrying, entry.retryAt = true, at
	machine.after(wait, timer{kind: timerAcquire, target: entry})
}

// retry is called when a timerAcquire is due; it tries even when another member is preferred.
func (machine *Machine) retry(entry *target) {
	if !entry.retrying || machine.now.Before(entry.retryAt) {
		return
	}
	entry.retrying = false
	ready := !machine.view.ReadyAt().After(machine.now)
	if entry.state == stateIdle && entry.listed && !machine.draining && ready &&
		machine.dataCentre() != "" && entry.target.DataCentre() == machine.dataCentre() {
		machine.acquire(entry)
		return
	}
	machine.pursue(entry)
}

// pursueHeld hands the target to its preferred holder once that member has been preferred for
// a while and no start is unanswered.
func (machine *Machine) pursueHeld(entry *target) {
	if machine.draining || (!entry.listed && len(entry.jobs) == 0) {
		machine.release(entry)
		return
	}
	if machine.prefers(entry) || !entry.listed {
		entry.otherSince = time.Time{}
		if entry.closing {
			entry.closing = false
			machine.setRoom(entry)
		}
		return
	}
	if _, ok := machine.view.PreferredHolder(entry.target); !ok {
		return
	}
	if entry.otherSince.IsZero() {
		entry.otherSince = machine.now
	}
	wait := entry.otherSince.Add(entry.handBack).Sub(machine.now)
	if wait <= 0 && entry.reserved != nil {
		wait = handBackAfter
	}
	if wait <= 0 && entry.starting > 0 {
		entry.closing = true
		machine.setRoom(entry)
		wait = closingInterval
	}
	if wait > 0 {
		if !entry.handingBack {
			entry.handingBack = true
			machine.after(wait, timer{kind: timerHandBack, target: entry})
		}
		return
	}
	entry.handBack = min(2*entry.handBack, handBackLimit)
	machine.release(entry)
}

func (machine *Machine) release(entry *target) {
	entry.state = stateReleasing
	machine.setRoom(entry)
	machine.send(entry.target.Name(), almondcross.ReleaseLease{})
}

// grant takes a new lease. The inventory is the authority on what runs on the target.
func (machine *Machine) grant(grant almondcross.Grant) {
	entry, ok := machine.targets[grant.Target()]
	if !ok || (entry.state == stateHeld && !entry.term.Less(grant.Term())) {
		return
	}
	if entry.state == stateHeld || entry.state == stateReleasing {
		machine.leave(entry)
	}
	entry.state, entry.known, entry.closing = stateHeld, true, false
	entry.otherSince = time.Time{}
	entry.term, entry.capacity, entry.leaving = grant.Term(), grant.Capacity(), grant.Leaving()
	entry.renewedAt = machine.now
	machine.total = machine.total.Add(entry.capacity)
	machine.heldTargets++
	machine.Share.SetTotal(machine.total)
	machine.rerankAll()
	held := make(map[almondcross.TaskID]bool, len(grant.Inventory()))
	for _, item := range grant.Inventory() {
		if machine.takeItem(entry, item) {
			held[item.Task().ID()] = true
		}
	}
	for _, item := range entry.ordered() {
		if !held[item.task.ID()] {
			machine.lose(item)
		}
	}
	machine.setRoom(entry)
	machine.askAdoptions(entry, true)
	machine.sendRenewal(entry)
	machine.pursue(entry)
	machine.accountSoon()
}

// takeItem takes one inventory item and reports whether it takes room.
func (machine *Machine) takeItem(entry *target, item almondcross.InventoryItem) bool {
	task := item.Task()
	known := entry.jobs[task.ID()]
	if item.Finished() && known != nil && task.Attempt() < known.task.Attempt() {
		// The inventory keeps ends that were not read yet; an earlier attempt's says nothing of a later one.
		machine.endUnknown(entry.target.Name(), entry.term, item.Result(), task.Coordinator())
		return false
	}
	if known != nil && known.task.Attempt() != task.Attempt() {
		machine.lose(known)
		known = nil
	}
	if item.Finished() {
		if known != nil {
			machine.end(known, item.Result())
		} else {
			machine.endUnknown(entry.target.Name(), entry.term, item.Result(), task.Coordinator())
		}
		return false
	}
	if known == nil {
		known = machine.inherit(entry, task)
	}
	known.state, known.term, known.namedAt = jobRunning, entry.term, machine.now
	// Another holder may have had the task since this host last held the target.
	known.unconfirmed = true
	machine.charge(known)
	if known.haltCode != almondcross.CodeNone {
		machine.halt(known, known.haltCode)
	}
	return true
}

// inherit adds a task that another holder started.
func (machine *Machine) inherit(entry *target, task almondcross.Task) *job {
	key := jobKey{task.ID(), task.Attempt()}
	if waiting, ok := machine.jobs[key]; ok {
		machine.discard(waiting)
	}
	item := &job{task: task, target: entry, unconfirmed: true, sentAt: machine.now, startedAt: machine.now, accountedAt: machine.now}
	machine.sequence++
	item.sequence = machine.sequence
	machine.setBand(item)
	machine.jobs[key] = item
	entry.jobs[task.ID()] = item
	machine.watch(item)
	return item
}

// renewed takes an answered renewal. The measured use that it carries lags and frees nothing.
func (machine *Machine) renewed(message almondcross.TargetRenewed) {
	entry, ok := machine.targets[message.Target()]
	if !ok {
		return
	}
	for _, id := range message.Named() {
		if item, ok := entry.jobs[id]; ok {
			item.namedAt = machine.now
		}
	}
	if entry.state != stateHeld || entry.term != message.Term() {
		return
	}
	entry.renewedAt = machine.now
	if message.Renewal().Leaving() != entry.leaving {
		entry.leaving = message.Renewal().Leaving()
		machine.setRoom(entry)
	}
}

// released takes the end of a lease, or that it was not granted.
func (machine *Machine) released(message almondcross.TargetReleased) {
	entry, ok := machine.targets[message.Target()]
	if !ok || entry.state == stateIdle || (entry.state == stateHeld && message.Term().Less(entry.term)) {
		return
	}
	asked, held := entry.state == stateReleasing, entry.state == stateHeld
	if asked || held {
		machine.leave(entry)
	}
	entry.state = stateIdle
	if held && !asked && entry.listed && !machine.draining {
		// The tasks of the target stop soon unless their leases are renewed, so the host that was
		// the holder asks again at once even when another member is preferred.
		machine.acquire(entry)
		return
	}
	if asked {
		machine.drop(entry)
		entry.retryOther = true
		machine.retryAcquire(entry, machine.jitter(2*otherInterval))
	} else if !held && machine.prefers(entry) {
		entry.retryOther = false
		machine.retryAcquire(entry, acquireInterval)
	}
	machine.pursue(entry)
}

// ordered returns the tasks of a target in order of their starts. Go's map order is random, and a seed
// must give the same history each time.
func (target *target) ordered() []*job {
	return slices.SortedFunc(maps.Values(target.jobs), func(first, second *job) int {
		return cmp.Compare(first.sequence, second.sequence)
	})
}

// leave makes the tasks of a target unreachable after the end of a lease.
func (machine *Machine) leave(entry *target) {
	machine.total = machine.total.Sub(entry.capacity)
	machine.heldTargets--
	machine.Share.SetTotal(machine.total)
	machine.rerankAll()
	for _, item := range entry.ordered() {
		machine.uncharge(item)
		if item.state == jobStarting {
			entry.starting--
		}
		// An unanswered start, or an unanswered renewal that names the task for the first time, may
		// have arrived as long as the worker kept the lease.
		if item.namedAt.Before(entry.renewedAt) {
			item.namedAt = entry.renewedAt
		}
		item.state = jobUnreachable
		machine.timers.push(timer{at: item.namedAt.Add(almondcross.LostAfter), kind: timerLost, job: item})
	}
	entry.state = stateIdle
	machine.dropReservation(entry)
	machine.setRoom(entry)
}
