package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// acquireInterval is the time between two attempts of the preferred holder to acquire a lease. The
	// lease of a failed holder ends HolderLease after its last renewal.
	acquireInterval = 500 * time.Millisecond
	// nonPreferredInterval is the time between two attempts of a host that is not the preferred holder.
	// Its attempts are needed if the preferred holder cannot reach the target.
	nonPreferredInterval = 5 * time.Second
	// initialHandoverDelay is how long another member must be the preferred holder before the target is
	// released to it. The delay doubles with each handover of the target, up to maxHandoverDelay, so that
	// the lease does not alternate if the preferred holder cannot reach the target.
	initialHandoverDelay = 3 * time.Second
	maxHandoverDelay     = 5 * time.Minute
	// closingRetryInterval is the time after which a handover that waits for unanswered starts is retried.
	closingRetryInterval = 100 * time.Millisecond
	// congestionDelay is how long a target gets no starts after its dispatcher's ring refused one.
	congestionDelay = 20 * time.Millisecond
)

type leaseState int

const (
	leaseIdle leaseState = iota
	leaseAcquiring
	leaseHeld
	leaseReleasing
)

// target is the state of one target of the data centre.
type target struct {
	info                almondcross.Target
	dispatcherInfo      almondcross.Target // the target as passed to its dispatcher
	hasDispatcher       bool
	listed              bool
	state               leaseState
	acquireTimerSet     bool // a timerAcquire is pending
	acquireDue          time.Time
	acquireNonPreferred bool // the timer was set while another member was the preferred holder
	handoverTimerSet    bool // a timerHandover is pending
	closing             bool // no new starts, because the target is about to be handed over
	otherPreferredSince time.Time
	handoverDelay       time.Duration

	capacityKnown bool // the capacity is known from a grant
	term          almondcross.Term
	capacity      almondcross.Resources
	used          almondcross.Resources
	longUsed      almondcross.Resources
	free          almondcross.Resources // the free capacity that was passed to the placement policy
	regularFree   almondcross.Resources
	schedulable   bool
	leaving       bool
	renewedAt     time.Time
	renewTimerSet bool
	startingCount int
	congested     bool // the ring of the dispatcher refused a start
	attempts      map[almondcross.TaskID]*attempt
	reservedFor   *gang
	pending       bool
	health        health
	silentLosses  []*attempt // the attempts that were reported lost because the target did not answer
}

// applyLiveList updates the targets from a live list. Targets of other data centres are ignored; this host
// must not hold them.
func (machine *Machine) applyLiveList(hosts almondcross.LiveHosts) {
	machine.liveHosts = hosts
	for _, target := range machine.sortedTargets {
		target.listed = false
	}
	machine.listedCount = 0
	for _, listed := range hosts.Targets() {
		if listed.DataCentre() != machine.dataCentre() && machine.dataCentre() != "" {
			continue
		}
		existing, ok := machine.targets[listed.Name()]
		if !ok {
			existing = &target{handoverDelay: initialHandoverDelay, attempts: map[almondcross.TaskID]*attempt{}}
			machine.targets[listed.Name()] = existing
			machine.sortedTargets = append(machine.sortedTargets, existing)
		}
		existing.info, existing.listed = listed, true
		machine.listedCount++
	}
	slices.SortFunc(machine.sortedTargets, func(first, second *target) int {
		return cmp.Compare(first.info.Name(), second.info.Name())
	})
	for _, target := range slices.Clone(machine.sortedTargets) {
		machine.updateFree(target)
		machine.reconcile(target)
	}
}

func (machine *Machine) dataCentre() string { return machine.view.Self().DataCentre() }

func (machine *Machine) isPreferredHolder(target *target) bool {
	holder, ok := machine.view.PreferredHolder(target.info)
	return ok && holder.ID() == machine.self
}

// reconcile acquires, keeps or releases the lease of a target, as the view and the live list require.
func (machine *Machine) reconcile(target *target) {
	switch target.state {
	case leaseIdle:
		machine.reconcileIdle(target)
	case leaseHeld:
		machine.reconcileHeld(target)
	case leaseAcquiring, leaseReleasing:
	}
}

func (machine *Machine) reconcileIdle(idle *target) {
	outdated := idle.hasDispatcher && idle.dispatcherInfo.Address() != idle.info.Address()
	if machine.draining || !idle.listed || outdated {
		machine.dropDispatcher(idle)
	}
	if !idle.listed && len(idle.attempts) == 0 {
		machine.removeTarget(idle)
		return
	}
	if machine.draining || !idle.listed || machine.dataCentre() == "" || idle.info.DataCentre() != machine.dataCentre() {
		return
	}
	if wait := machine.view.ReadyAt().Sub(machine.now); wait > 0 {
		idle.acquireNonPreferred = false
		machine.scheduleAcquire(idle, wait)
		return
	}
	preferred := machine.isPreferredHolder(idle)
	if idle.acquireTimerSet && (!idle.acquireNonPreferred || !preferred) {
		return
	}
	if !preferred {
		idle.acquireNonPreferred = true
		machine.scheduleAcquire(idle, machine.jitter(nonPreferredInterval))
		return
	}
	machine.acquire(idle)
}

// removeTarget removes a target that is neither listed nor held. A timer of a removed target may fire after the same
// name was listed again, and must leave the later target in place.
func (machine *Machine) removeTarget(removed *target) {
	name := removed.info.Name()
	if machine.targets[name] != removed {
		return
	}
	delete(machine.targets, name)
	if removed.health.ejected {
		machine.ejectedCount--
	}
	machine.sortedTargets = slices.DeleteFunc(machine.sortedTargets, func(other *target) bool { return other == removed })
}

func (machine *Machine) acquire(target *target) {
	if !target.hasDispatcher {
		target.hasDispatcher, target.dispatcherInfo = true, target.info
		machine.emit(Effect{Kind: EffectCreate, Target: target.info})
	}
	target.state = leaseAcquiring
	machine.send(target.info.Name(), almondcross.AcquireLease{})
}

func (machine *Machine) dropDispatcher(target *target) {
	if target.hasDispatcher {
		target.hasDispatcher = false
		machine.emit(Effect{Kind: EffectDrop, Name: target.info.Name()})
	}
}

// jitter adds up to a fifth of the interval at random, to spread the attempts of several hosts.
func (machine *Machine) jitter(interval time.Duration) time.Duration {
	return interval + time.Duration(machine.nextRandom()%uint64(interval/5))
}

func (machine *Machine) scheduleAcquire(target *target, wait time.Duration) {
	// A timer for the longer nonPreferredInterval may be pending when this host becomes the preferred holder.
	at := machine.now.Add(wait)
	if target.acquireTimerSet && !at.Before(target.acquireDue) {
		return
	}
	target.acquireTimerSet, target.acquireDue = true, at
	machine.setTimer(wait, timer{kind: timerAcquire, target: target})
}

// handleAcquireTimer tries to acquire the lease when a timerAcquire is due, even if another member is the
// preferred holder.
func (machine *Machine) handleAcquireTimer(target *target) {
	if !target.acquireTimerSet || machine.now.Before(target.acquireDue) {
		return
	}
	target.acquireTimerSet = false
	ready := !machine.view.ReadyAt().After(machine.now)
	if target.state == leaseIdle && target.listed && !machine.draining && ready &&
		machine.dataCentre() != "" && target.info.DataCentre() == machine.dataCentre() {
		machine.acquire(target)
		return
	}
	machine.reconcile(target)
}

// reconcileHeld releases the target to its preferred holder once that member has been preferred for
// the target's handoverDelay, no gang has reserved the target and no start is unanswered.
func (machine *Machine) reconcileHeld(target *target) {
	if machine.draining || (!target.listed && len(target.attempts) == 0) {
		machine.release(target)
		return
	}
	if machine.isPreferredHolder(target) || !target.listed {
		target.otherPreferredSince = time.Time{}
		if target.closing {
			target.closing = false
			machine.updateFree(target)
		}
		return
	}
	if _, ok := machine.view.PreferredHolder(target.info); !ok {
		return
	}
	if target.otherPreferredSince.IsZero() {
		target.otherPreferredSince = machine.now
	}
	wait := target.otherPreferredSince.Add(target.handoverDelay).Sub(machine.now)
	if wait <= 0 && target.reservedFor != nil {
		wait = initialHandoverDelay
	}
	if wait <= 0 && target.startingCount > 0 {
		target.closing = true
		machine.updateFree(target)
		wait = closingRetryInterval
	}
	if wait > 0 {
		if !target.handoverTimerSet {
			target.handoverTimerSet = true
			machine.setTimer(wait, timer{kind: timerHandover, target: target})
		}
		return
	}
	target.handoverDelay = min(2*target.handoverDelay, maxHandoverDelay)
	machine.release(target)
}

func (machine *Machine) release(target *target) {
	target.state = leaseReleasing
	machine.updateFree(target)
	machine.send(target.info.Name(), almondcross.ReleaseLease{})
}

// granted handles the grant of a lease. The inventory is authoritative for what runs on the target: tasks
// that it does not list are reported lost.
func (machine *Machine) granted(grant almondcross.Grant) {
	target, ok := machine.targets[grant.Target()]
	if !ok || (target.state == leaseHeld && !target.term.Less(grant.Term())) {
		return
	}
	if target.state == leaseHeld || target.state == leaseReleasing {
		machine.loseLease(target)
	}
	target.state, target.capacityKnown, target.closing = leaseHeld, true, false
	target.otherPreferredSince = time.Time{}
	target.term, target.capacity, target.leaving = grant.Term(), grant.Capacity(), grant.Leaving()
	target.renewedAt = machine.now
	machine.totalCapacity = machine.totalCapacity.Add(target.capacity)
	machine.heldCount++
	machine.Share.SetTotal(machine.totalCapacity)
	machine.updateAllRanks()
	inInventory := make(map[almondcross.TaskID]bool, len(grant.Inventory()))
	for _, item := range grant.Inventory() {
		if machine.applyInventoryItem(target, item) {
			inInventory[item.Task().ID()] = true
		}
	}
	for _, attempt := range target.orderedAttempts() {
		if !inInventory[attempt.task.ID()] {
			machine.reportLost(attempt, attempt.term.Boot() != target.term.Boot())
		}
	}
	machine.correctSilentLosses(target)
	machine.updateFree(target)
	machine.requestAdoptions(target, true)
	machine.sendRenewList(target)
	machine.reconcile(target)
	machine.scheduleAccounting()
}

// applyInventoryItem handles one inventory item and reports whether it uses capacity.
func (machine *Machine) applyInventoryItem(target *target, item almondcross.InventoryItem) bool {
	task := item.Task()
	known := target.attempts[task.ID()]
	if item.Finished() && known != nil && task.Attempt() < known.task.Attempt() {
		// The inventory still lists ends that were not read; the end of an earlier attempt does not end a later one.
		machine.reportUnknownEnd(target.info.Name(), target.term, item.Result(), task)
		return false
	}
	if known != nil && known.task.Attempt() != task.Attempt() {
		machine.reportLost(known, known.term.Boot() != target.term.Boot())
		known = nil
	}
	if item.Finished() {
		if known != nil {
			machine.finishAttempt(known, item.Result())
		} else {
			machine.reportUnknownEnd(target.info.Name(), target.term, item.Result(), task)
		}
		return false
	}
	if known == nil {
		known = machine.addInherited(target, task)
	}
	known.state, known.term, known.renewedAt = running, target.term, machine.now
	// Another holder may have held the task since this host last held the target.
	known.unconfirmed = true
	machine.charge(known)
	if known.haltCode != almondcross.CodeNone {
		machine.halt(known, known.haltCode)
	}
	return true
}

// addInherited adds a task that another holder started.
func (machine *Machine) addInherited(target *target, task almondcross.Task) *attempt {
	key := taskKey{task.ID(), task.Attempt()}
	if duplicate, ok := machine.attempts[key]; ok {
		machine.discard(duplicate)
	}
	attempt := &attempt{task: task, target: target, unconfirmed: true, sentAt: machine.now, startedAt: machine.now, accountedAt: machine.now}
	machine.startSequence++
	attempt.startSequence = machine.startSequence
	machine.classify(attempt)
	machine.attempts[key] = attempt
	target.attempts[task.ID()] = attempt
	machine.setRunTimers(attempt)
	return attempt
}

// renewed handles an answered renewal. The measured usage that it contains lags behind, so it frees no capacity.
func (machine *Machine) renewed(message almondcross.TargetRenewed) {
	target, ok := machine.targets[message.Target()]
	if !ok {
		return
	}
	for _, id := range message.RenewedTasks() {
		if attempt, ok := target.attempts[id]; ok {
			attempt.renewedAt = machine.now
		}
	}
	if target.state != leaseHeld || target.term != message.Term() {
		return
	}
	target.renewedAt = machine.now
	if message.Renewal().Leaving() != target.leaving {
		target.leaving = message.Renewal().Leaving()
		machine.updateFree(target)
	}
}

// released handles the end of a lease or the refusal to grant it.
func (machine *Machine) released(message almondcross.TargetReleased) {
	target, ok := machine.targets[message.Target()]
	if !ok || target.state == leaseIdle || (target.state == leaseHeld && message.Term().Less(target.term)) {
		return
	}
	releaseRequested, wasHeld := target.state == leaseReleasing, target.state == leaseHeld
	if releaseRequested || wasHeld {
		machine.loseLease(target)
	}
	target.state = leaseIdle
	if wasHeld && !releaseRequested && target.listed && !machine.draining {
		// The tasks of the target stop soon unless their leases are renewed, so the previous holder
		// tries to acquire the lease again at once, even if another member is the preferred holder.
		machine.acquire(target)
		return
	}
	if releaseRequested {
		machine.dropDispatcher(target)
		target.acquireNonPreferred = true
		machine.scheduleAcquire(target, machine.jitter(2*nonPreferredInterval))
	} else if !wasHeld && machine.isPreferredHolder(target) {
		target.acquireNonPreferred = false
		machine.scheduleAcquire(target, acquireInterval)
	}
	machine.reconcile(target)
}

// orderedAttempts returns the attempts of a target in the order of their starts. Map order is random, and the
// decisions must be reproducible from the seed.
func (target *target) orderedAttempts() []*attempt {
	return slices.SortedFunc(maps.Values(target.attempts), func(first, second *attempt) int {
		return cmp.Compare(first.startSequence, second.startSequence)
	})
}

// loseLease marks the tasks of a target as unreachable after the end of its lease.
func (machine *Machine) loseLease(target *target) {
	machine.totalCapacity = machine.totalCapacity.Sub(target.capacity)
	machine.heldCount--
	machine.Share.SetTotal(machine.totalCapacity)
	machine.updateAllRanks()
	for _, attempt := range target.orderedAttempts() {
		machine.uncharge(attempt)
		if attempt.state == starting {
			target.startingCount--
		}
		// An unanswered start, or an unanswered renewal that lists the task for the first time, may have
		// reached the worker at any time while it kept the lease, so LostAfter does not count from before
		// the last answered renewal.
		if attempt.renewedAt.Before(target.renewedAt) {
			attempt.renewedAt = target.renewedAt
		}
		attempt.state = unreachable
		machine.timers.push(timer{at: attempt.renewedAt.Add(almondcross.LostAfter), kind: timerLost, attempt: attempt})
	}
	target.state = leaseIdle
	machine.cancelReservation(target)
	machine.updateFree(target)
}
