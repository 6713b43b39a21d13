package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// checkpointTime is how long a victim has to save its progress before it is throttled, and
	// throttleTime how long until it is stopped. With reclaimRetry they leave an urgent task two
	// sets of victims within its bound of 1.8 s.
	checkpointTime = 200 * time.Millisecond
	throttleTime   = 100 * time.Millisecond
	// reclaimRetry is the time after the stop from which other victims are taken; they are
	// stopped at once.
	reclaimRetry = 550 * time.Millisecond
	// throttlePercent is the processor time that a victim keeps until it is stopped.
	throttlePercent = 10
	// reclaimLimit bounds the tasks for which victims are sought at once.
	reclaimLimit = 64
	// returnAfter is how long a task of an owner below its promise waits before lent work is
	// stopped for it, and returnInterval how often such tasks are sought.
	returnAfter    = 10 * time.Second
	returnInterval = time.Second
	// returnShortAfter is returnAfter for tasks of the short band, whose callers wait. A burst
	// that ends before the victims are stopped stops nothing.
	returnShortAfter = 50 * time.Millisecond
	// returnShortInterval is returnInterval while urgent or short tasks wait.
	returnShortInterval = 50 * time.Millisecond
	// seekLimit bounds the tasks that one search for victims looks at; the next search begins at
	// another target.
	seekLimit = 2048
	// drainTime is the time within which the room of victims is to end the wait of a line.
	drainTime = time.Second
	// returnBatch bounds the tasks of a line for which victims are sought at once.
	returnBatch = 16
)

type reclaimPhase int

const (
	phaseCheckpoint reclaimPhase = iota
	phaseThrottle
	phaseStop
)

// reclaim takes room from lent work for one waiting task.
type reclaim struct {
	item    *job // the task, nil when the reclaim ended
	code    almondcross.Code
	phase   reclaimPhase
	victims []*job
}

// fulfilled reports whether every victim has ended.
func (reclaim *reclaim) fulfilled() bool {
	for _, victim := range reclaim.victims {
		if victim.state != jobDone {
			return false
		}
	}
	return true
}

// startReclaim checkpoints lent work whose end makes room for a waiting task; it reports false
// when there is none.
func (machine *Machine) startReclaim(item *job, code almondcross.Code) bool {
	if item.reclaim != nil || machine.reclaiming >= reclaimLimit {
		return true
	}
	victims := machine.seekVictims(item)
	if len(victims) == 0 {
		return false
	}
	item.reclaim = &reclaim{item: item, code: code, victims: victims}
	machine.reclaiming++
	for _, victim := range victims {
		victim.victimOf = item.reclaim
		machine.lentTaken[victim.task.Owner()] += victim.task.Resources().Dominant(machine.total)
		machine.send(victim.target.target.Name(), almondcross.NewCheckpointTask(almondcross.CheckpointTaskConfig{
			Term: victim.target.term, ID: victim.task.ID(),
		}))
	}
	machine.after(checkpointTime, timer{kind: timerReclaim, reclaim: item.reclaim})
	return true
}

// continueReclaim throttles the victims, then stops them, then looks for other victims.
func (machine *Machine) continueReclaim(current *reclaim) {
	item := current.item
	if item == nil {
		return
	}
	switch current.phase {
	case phaseCheckpoint:
		current.phase = phaseThrottle
		for _, victim := range current.victims {
			if victim.onTarget() {
				machine.send(victim.target.target.Name(), almondcross.NewThrottleTask(almondcross.ThrottleTaskConfig{
					Term: victim.target.term, ID: victim.task.ID(), Percent: throttlePercent,
				}))
			}
		}
		machine.after(throttleTime, timer{kind: timerReclaim, reclaim: item.reclaim})
	case phaseThrottle:
		machine.stopVictims(item, current)
	case phaseStop:
		machine.endReclaim(item)
		if current.code != almondcross.CodePreemptedUrgent {
			return
		}
		machine.seekBudget = seekLimit
		if machine.startReclaim(item, current.code) && item.reclaim != nil {
			machine.stopVictims(item, item.reclaim)
		}
	}
}

// stopVictims stops the victims of a task and sets the time for the next ones.
func (machine *Machine) stopVictims(item *job, current *reclaim) {
	current.phase = phaseStop
	for _, victim := range current.victims {
		if victim.onTarget() {
			machine.account(victim.task, almondcross.AccountEventConfig{Code: current.code, Count: 1})
			machine.story(victim.task, "stopped", current.code, victim.target.target.Name(), "for "+item.task.ID().String())
			machine.halt(victim, current.code)
		}
	}
	machine.after(reclaimRetry, timer{kind: timerReclaim, reclaim: item.reclaim})
}

// passReclaim passes the reclaim of a task that no longer waits on to the next one of its line.
// Otherwise a line of short tasks, each of which starts before its victims are stopped, would
// never get more room.
func (machine *Machine) passReclaim(item *job, waiting *line) {
	current := item.reclaim
	if current == nil {
		return
	}
	if current.fulfilled() {
		machine.endReclaim(item)
		return
	}
	sought := 0
	for index := waiting.head; index < len(waiting.jobs) && sought <= reclaimLimit; index++ {
		next := waiting.jobs[index]
		if next == nil {
			continue
		}
		sought++
		if next.reclaim != nil || next.task.Resources() != item.task.Resources() {
			continue
		}
		item.reclaim, next.reclaim, current.item = nil, current, next
		return
	}
	machine.endReclaim(item)
}

// endReclaim ends the reclaim of a task. Victims that were not stopped yet get their processor
// time back.
func (machine *Machine) endReclaim(item *job) {
	current := item.reclaim
	if current == nil {
		return
	}
	item.reclaim, current.item = nil, nil
	machine.reclaiming--
	for _, victim := range current.victims {
		if victim.haltCode == almondcross.CodeNone && victim.onTarget() && victim.victimOf != nil {
			if current.phase == phaseThrottle {
				machine.send(victim.target.target.Name(), almondcross.NewThrottleTask(almondcross.ThrottleTaskConfig{
					Term: victim.target.term, ID: victim.task.ID(), Percent: 100,
				}))
			}
			machine.settleVictim(victim)
		}
	}
}

// settleVictim takes a victim out of the lent work that is being reclaimed.
func (machine *Machine) settleVictim(victim *job) {
	if victim.victimOf == nil {
		return
	}
	victim.victimOf = nil
	owner := victim.task.Owner()
	machine.lentTaken[owner] -= victim.task.Resources().Dominant(machine.total)
	if machine.lentTaken[owner] < 1e-9 {
		delete(machine.lentTaken, owner)
	}
}

// seekVictims returns the fewest lent tasks of one target whose end makes room for a task.
func (machine *Machine) seekVictims(item *job) []*job {
	var best []*job
	begin := int(machine.nextRandom() % uint64(len(machine.sorted)+1))
	for index := range machine.sorted {
		// Searches begin at different targets, so that the loss is spread over the cluster.
		entry := machine.sorted[(begin+index)%len(machine.sorted)]
		if machine.seekBudget <= 0 {
			break
		}
		if !entry.open || !item.task.Resources().Fits(entry.capacity) {
			continue
		}
		victims := machine.victimsOn(entry, item)
		if victims != nil && (best == nil || len(victims) < len(best)) {
			best = victims
		}
		if len(best) == 1 {
			break
		}
	}
	return best
}

// victimsOn returns lent tasks of a target that together make room for a task, nil for none.
func (machine *Machine) victimsOn(entry *target, item *job) []*job {
	var candidates []*job
	for _, candidate := range entry.jobs {
		machine.seekBudget--
		if machine.mayReclaim(candidate, item, 0) {
			candidates = append(candidates, candidate)
		}
	}
	// The newest tasks lose the least progress.
	slices.SortFunc(candidates, func(first, second *job) int { return cmp.Compare(second.sequence, first.sequence) })
	room := entry.roomFor(item)
	taken := map[string]float64{}
	victims := candidates[:0]
	for _, candidate := range candidates {
		owner := candidate.task.Owner()
		if !machine.mayReclaim(candidate, item, taken[owner]) {
			continue
		}
		victims = append(victims, candidate)
		taken[owner] += candidate.task.Resources().Dominant(machine.total)
		room = room.Add(candidate.task.Resources())
		if item.task.Resources().Fits(room) {
			return victims
		}
	}
	return nil
}

// mayReclaim reports whether a task is lent work that may be stopped: it may be repeated, is
// neither urgent nor a service, and its owner keeps its promise without it.
func (machine *Machine) mayReclaim(candidate, item *job, taken float64) bool {
	task := candidate.task
	if candidate.state != jobRunning || candidate.victimOf != nil || candidate.haltCode != almondcross.CodeNone ||
		!task.Repeatable() || task.Urgent() || task.Size() > 1 || task.Class() == almondcross.ClassService ||
		(task.Owner() == item.task.Owner() && !item.task.Urgent()) {
		return false
	}
	lent := machine.Share.Lent(task.Owner()) - machine.lentTaken[task.Owner()] - taken
	return lent >= task.Resources().Dominant(machine.total)/2
}

// returnSoon sets the time at which waiting tasks may claim lent work. A timer that was set for
// later is left to fire as well.
func (machine *Machine) returnSoon() {
	due := machine.now.Add(returnShortInterval)
	if machine.returnAt.IsZero() || due.Before(machine.returnAt) {
		machine.returnAt = due
		machine.timers.push(timer{at: due, kind: timerReturn})
	}
}

// returnShares claims lent shares back for owners below their promise whose tasks waited long,
// and seeks victims again for urgent tasks that found none.
func (machine *Machine) returnShares() {
	if machine.now.Before(machine.returnAt) {
		return
	}
	machine.returnAt = time.Time{}
	machine.seekBudget = seekLimit
	short := false
	for _, waiting := range machine.order {
		if machine.limited(waiting) {
			continue
		}
		short = short || waiting.key.urgent || waiting.key.band == almondcross.BandShort
		machine.returnLine(waiting)
	}
	if len(machine.order) == 0 || !machine.returnAt.IsZero() {
		return
	}
	wait := returnInterval
	if short {
		wait = returnShortInterval
	}
	machine.returnAt = machine.now.Add(wait)
	machine.timers.push(timer{at: machine.returnAt, kind: timerReturn})
}

// neededSlots returns how many tasks of a line have to run at once to end its wait within
// drainTime; short tasks share the room of one victim one after another.
func (machine *Machine) neededSlots(waiting *line) int {
	estimate := machine.Estimator.Estimate(waiting.key.entry, waiting.first().task.ExpectedRun())
	part := min(1, estimate.Seconds()/drainTime.Seconds())
	return min(returnBatch, int(math.Ceil(part*float64(waiting.live))))
}

// returnLine seeks victims for the first tasks of a line.
func (machine *Machine) returnLine(waiting *line) {
	limit, code := returnAfter, almondcross.CodeLentShareReturned
	switch {
	case waiting.key.urgent:
		limit, code = 0, almondcross.CodePreemptedUrgent
	case waiting.key.band == almondcross.BandShort:
		limit = returnShortAfter
	}
	var claimed almondcross.Resources
	most := machine.neededSlots(waiting)
	sought := 0
	for _, item := range waiting.jobs[waiting.head:] {
		if item == nil {
			continue
		}
		if sought++; sought > most || machine.now.Sub(item.queuedAt) < limit {
			return
		}
		claimed = claimed.Add(item.task.Resources())
		if !waiting.key.urgent && waiting.account.Exceeds(claimed) {
			return
		}
		if !machine.startReclaim(item, code) {
			return
		}
	}
}
