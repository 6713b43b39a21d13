package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// checkpointGrace is how long a victim has to save its progress before it is throttled, and
	// throttleGrace how long it is throttled before it is stopped. With reclaimRetryDelay they allow two
	// sets of victims for an urgent task within its start bound of 1.8 s.
	checkpointGrace = 200 * time.Millisecond
	throttleGrace   = 100 * time.Millisecond
	// reclaimRetryDelay is the time after the stop of the victims after which other victims are chosen;
	// these are stopped at once.
	reclaimRetryDelay = 550 * time.Millisecond
	// throttlePercent is the percentage of its processor time that a throttled victim keeps until it is stopped.
	throttlePercent = 10
	// maxReclaims bounds the number of tasks for which victims are preempted at the same time.
	maxReclaims = 64
	// reclaimAfter is how long a task of an owner below its promised share waits before tasks of owners
	// above theirs are stopped for it, and reclaimInterval how often such waiting tasks are searched for.
	reclaimAfter    = 10 * time.Second
	reclaimInterval = time.Second
	// reclaimShortAfter is reclaimAfter for tasks of the short band, whose callers wait for the answer.
	// If a burst of short tasks ends before its victims are stopped, none is stopped.
	reclaimShortAfter = 50 * time.Millisecond
	// reclaimShortInterval is reclaimInterval while urgent or short tasks wait.
	reclaimShortInterval = 50 * time.Millisecond
	// searchLimit bounds the number of tasks that one search for victims examines; the next search
	// starts at another target.
	searchLimit = 2048
	// queueDrainTime is the time within which the capacity reclaimed for a queue should empty it.
	queueDrainTime = time.Second
	// reclaimBatch bounds the number of tasks of a queue for which victims are preempted at the same time.
	reclaimBatch = 16
)

type reclaimPhase int

const (
	phaseCheckpoint reclaimPhase = iota
	phaseThrottle
	phaseStop
)

// reclaim is the preemption of borrowed work for one waiting task. Borrowed work is the part of an owner's
// tasks that exceeds its promised share; it runs on shares that other owners did not use.
type reclaim struct {
	attempt *attempt // the waiting task, nil when the reclaim has ended
	code    almondcross.Code
	phase   reclaimPhase
	victims []*attempt
}

// fulfilled reports whether every victim has ended.
func (reclaim *reclaim) fulfilled() bool {
	for _, victim := range reclaim.victims {
		if victim.state != done {
			return false
		}
	}
	return true
}

// startReclaim chooses victims among borrowed work whose end frees enough capacity for a waiting task and has
// them checkpointed. It returns false if there are none, and true without effect if the task already has
// a reclaim or maxReclaims is reached.
func (machine *Machine) startReclaim(waiting *attempt, code almondcross.Code) bool {
	if waiting.reclaim != nil || machine.reclaimCount >= maxReclaims {
		return true
	}
	victims := machine.findVictims(waiting)
	if len(victims) == 0 {
		return false
	}
	waiting.reclaim = &reclaim{attempt: waiting, code: code, victims: victims}
	machine.reclaimCount++
	for _, victim := range victims {
		victim.victimOf = waiting.reclaim
		machine.reclaimedShares[victim.task.Owner()] += victim.task.Resources().Dominant(machine.totalCapacity)
		machine.send(victim.target.info.Name(), almondcross.NewCheckpointTask(almondcross.CheckpointTaskConfig{
			Term: victim.target.term, ID: victim.task.ID(),
		}))
	}
	machine.setTimer(checkpointGrace, timer{kind: timerReclaim, reclaim: waiting.reclaim})
	return true
}

// advanceReclaim moves a reclaim to its next phase: it throttles the victims, then stops them, then ends the
// reclaim. For an urgent task it then starts a new reclaim whose victims are stopped at once.
func (machine *Machine) advanceReclaim(reclaim *reclaim) {
	waiting := reclaim.attempt
	if waiting == nil {
		return
	}
	switch reclaim.phase {
	case phaseCheckpoint:
		reclaim.phase = phaseThrottle
		for _, victim := range reclaim.victims {
			if victim.onTarget() {
				machine.send(victim.target.info.Name(), almondcross.NewThrottleTask(almondcross.ThrottleTaskConfig{
					Term: victim.target.term, ID: victim.task.ID(), Percent: throttlePercent,
				}))
			}
		}
		machine.setTimer(throttleGrace, timer{kind: timerReclaim, reclaim: waiting.reclaim})
	case phaseThrottle:
		machine.stopVictims(waiting, reclaim)
	case phaseStop:
		machine.endReclaim(waiting)
		if reclaim.code != almondcross.CodePreemptedUrgent {
			return
		}
		machine.searchBudget = searchLimit
		if machine.startReclaim(waiting, reclaim.code) && waiting.reclaim != nil {
			machine.stopVictims(waiting, waiting.reclaim)
		}
	}
}

// stopVictims stops the victims of a task and sets the timer after which other victims are chosen.
func (machine *Machine) stopVictims(waiting *attempt, reclaim *reclaim) {
	reclaim.phase = phaseStop
	for _, victim := range reclaim.victims {
		if victim.onTarget() {
			machine.account(victim.task, almondcross.AccountEventConfig{Code: reclaim.code, Count: 1})
			machine.recordDecision(victim.task, "stopped", reclaim.code, victim.target.info.Name(), "for "+waiting.task.ID().String())
			machine.halt(victim, reclaim.code)
		}
	}
	machine.setTimer(reclaimRetryDelay, timer{kind: timerReclaim, reclaim: waiting.reclaim})
}

// transferReclaim transfers the reclaim of a task that no longer waits to the next task of its queue with
// the same resources. Otherwise a queue of short tasks, each of which starts before its victims are
// stopped, would never get more capacity.
func (machine *Machine) transferReclaim(attempt *attempt, queue *queue) {
	reclaim := attempt.reclaim
	if reclaim == nil {
		return
	}
	if reclaim.fulfilled() {
		machine.endReclaim(attempt)
		return
	}
	examined := 0
	for index := queue.head; index < len(queue.attempts) && examined <= maxReclaims; index++ {
		next := queue.attempts[index]
		if next == nil {
			continue
		}
		examined++
		if next.reclaim != nil || next.task.Resources() != attempt.task.Resources() {
			continue
		}
		attempt.reclaim, next.reclaim, reclaim.attempt = nil, reclaim, next
		return
	}
	machine.endReclaim(attempt)
}

// endReclaim ends the reclaim of a task. Victims that were throttled but not stopped get their full
// processor time back.
func (machine *Machine) endReclaim(waiting *attempt) {
	reclaim := waiting.reclaim
	if reclaim == nil {
		return
	}
	waiting.reclaim, reclaim.attempt = nil, nil
	machine.reclaimCount--
	for _, victim := range reclaim.victims {
		if victim.haltCode == almondcross.CodeNone && victim.onTarget() && victim.victimOf != nil {
			if reclaim.phase == phaseThrottle {
				machine.send(victim.target.info.Name(), almondcross.NewThrottleTask(almondcross.ThrottleTaskConfig{
					Term: victim.target.term, ID: victim.task.ID(), Percent: 100,
				}))
			}
			machine.clearVictim(victim)
		}
	}
}

// clearVictim removes a victim from its reclaim and from reclaimedShares.
func (machine *Machine) clearVictim(victim *attempt) {
	if victim.victimOf == nil {
		return
	}
	victim.victimOf = nil
	owner := victim.task.Owner()
	machine.reclaimedShares[owner] -= victim.task.Resources().Dominant(machine.totalCapacity)
	if machine.reclaimedShares[owner] < 1e-9 {
		delete(machine.reclaimedShares, owner)
	}
}

// findVictims returns the smallest set found of borrowed tasks on one target whose end frees enough capacity
// for a task. It stops when searchBudget is used up.
func (machine *Machine) findVictims(waiting *attempt) []*attempt {
	var best []*attempt
	offset := int(machine.nextRandom() % uint64(len(machine.sortedTargets)+1))
	for index := range machine.sortedTargets {
		// Searches start at different targets, to spread preemption over the cluster.
		target := machine.sortedTargets[(offset+index)%len(machine.sortedTargets)]
		if machine.searchBudget <= 0 {
			break
		}
		if !target.schedulable || !waiting.task.Resources().Fits(target.capacity) {
			continue
		}
		victims := machine.victimsOn(target, waiting)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
		if len(best) == 1 {
			break
		}
	}
	return best
}

// victimsOn returns borrowed tasks of a target whose end frees enough capacity for a task, nil if there are none.
func (machine *Machine) victimsOn(target *target, waiting *attempt) []*attempt {
	var candidates []*attempt
	for _, candidate := range target.attempts {
		machine.searchBudget--
		if machine.mayReclaim(candidate, waiting, 0) {
			candidates = append(candidates, candidate)
		}
	}
	// The most recently started tasks lose the least progress.
	slices.SortFunc(candidates, func(first, second *attempt) int { return cmp.Compare(second.startSequence, first.startSequence) })
	free := target.freeFor(waiting)
	takenByOwner := map[string]float64{}
	victims := candidates[:0]
	for _, candidate := range candidates {
		owner := candidate.task.Owner()
		if !machine.mayReclaim(candidate, waiting, takenByOwner[owner]) {
			continue
		}
		victims = append(victims, candidate)
		takenByOwner[owner] += candidate.task.Resources().Dominant(machine.totalCapacity)
		free = free.Add(candidate.task.Resources())
		if waiting.task.Resources().Fits(free) {
			return victims
		}
	}
	return nil
}

// mayReclaim reports whether a candidate is borrowed work that may be stopped for a waiting task. It must run
// and be repeatable, and not be urgent, a gang's or a service's. At least half of its dominant share must be
// borrowed by its owner. The owner must be another one unless the waiting task is urgent. alreadyTaken is the
// dominant share that is taken from the owner in the same search.
func (machine *Machine) mayReclaim(candidate, waiting *attempt, alreadyTaken float64) bool {
	task := candidate.task
	if candidate.state != running || candidate.victimOf != nil || candidate.haltCode != almondcross.CodeNone ||
		!task.Repeatable() || task.Urgent() || task.Size() > 1 || task.Class() == almondcross.ClassService ||
		(task.Owner() == waiting.task.Owner() && !waiting.task.Urgent()) {
		return false
	}
	borrowed := machine.Share.BorrowedShare(task.Owner()) - machine.reclaimedShares[task.Owner()] - alreadyTaken
	return borrowed >= task.Resources().Dominant(machine.totalCapacity)/2
}

// scheduleShareReclaim sets the next reclaim of shares to reclaimShortInterval from now, unless it is due
// earlier. A timer already set for later still fires, and has no effect.
func (machine *Machine) scheduleShareReclaim() {
	due := machine.now.Add(reclaimShortInterval)
	if machine.shareReclaimDue.IsZero() || due.Before(machine.shareReclaimDue) {
		machine.shareReclaimDue = due
		machine.timers.push(timer{at: due, kind: timerReclaimShares})
	}
}

// reclaimShares reclaims borrowed shares for owners below their promised share whose tasks have waited long
// enough, and searches again for victims for urgent tasks that found none.
func (machine *Machine) reclaimShares() {
	if machine.now.Before(machine.shareReclaimDue) {
		return
	}
	machine.shareReclaimDue = time.Time{}
	machine.searchBudget = searchLimit
	short := false
	for _, queue := range machine.activeQueues {
		if machine.atLimit(queue) {
			continue
		}
		short = short || queue.key.urgent || queue.key.band == almondcross.BandShort
		machine.reclaimForQueue(queue)
	}
	if len(machine.activeQueues) == 0 || !machine.shareReclaimDue.IsZero() {
		return
	}
	wait := reclaimInterval
	if short {
		wait = reclaimShortInterval
	}
	machine.shareReclaimDue = machine.now.Add(wait)
	machine.timers.push(timer{at: machine.shareReclaimDue, kind: timerReclaimShares})
}

// neededTasks returns how many tasks of a queue have to run at the same time to empty it within
// queueDrainTime. Several tasks that are shorter than queueDrainTime can use the capacity of one victim one
// after another, so fewer victims than tasks are needed.
func (machine *Machine) neededTasks(queue *queue) int {
	estimate := machine.Estimator.Estimate(queue.key.entry, queue.first().task.ExpectedRun())
	part := min(1, estimate.Seconds()/queueDrainTime.Seconds())
	return min(reclaimBatch, int(math.Ceil(part*float64(queue.length))))
}

// reclaimForQueue starts reclaims for the first tasks of a queue.
func (machine *Machine) reclaimForQueue(queue *queue) {
	limit, code := reclaimAfter, almondcross.CodeLentShareReturned
	switch {
	case queue.key.urgent:
		limit, code = 0, almondcross.CodePreemptedUrgent
	case queue.key.band == almondcross.BandShort:
		limit = reclaimShortAfter
	}
	var demand almondcross.Resources
	needed := machine.neededTasks(queue)
	examined := 0
	for _, attempt := range queue.attempts[queue.head:] {
		if attempt == nil {
			continue
		}
		if examined++; examined > needed || machine.now.Sub(attempt.queuedAt) < limit {
			return
		}
		demand = demand.Add(attempt.task.Resources())
		if !queue.key.urgent && queue.shareAccount.ExceedsFairShare(demand) {
			return
		}
		if !machine.startReclaim(attempt, code) {
			return
		}
	}
}
