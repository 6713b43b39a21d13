package placer

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// checkpointTime is how long a victim has to save its progress before it is throttled, and
	// throttleTime how long until it is stopped. With reclaimRetry they leave an urgent task two
	// attempts within its bound of 1.8 s.
	checkpointTime = 250 * time.Millisecond
	throttleTime   = 250 * time.Millisecond
	// reclaimRetry is the time after the stop from which other victims are taken.
	reclaimRetry = 600 * time.Millisecond
	// throttlePercent is the processor time that a victim keeps until it is stopped.
	throttlePercent = 10
	// reclaimLimit bounds the tasks for which victims are sought at once.
	reclaimLimit = 64
	// returnAfter is how long a task of an owner below its promise waits before lent work is
	// stopped for it, and returnInterval how often such tasks are sought.
	returnAfter    = 10 * time.Second
	returnInterval = time.Second
)

type reclaimPhase int

const (
	phaseCheckpoint reclaimPhase = iota
	phaseThrottle
	phaseStop
)

// reclaim takes room from lent work for one waiting task.
type reclaim struct {
	code    almondcross.Code
	phase   reclaimPhase
	victims []*job
}

// startReclaim checkpoints lent work whose end makes room for a waiting task.
func (machine *Machine) startReclaim(item *job, code almondcross.Code) {
	if item.reclaim != nil || machine.reclaiming >= reclaimLimit {
		return
	}
	victims := machine.seekVictims(item)
	if len(victims) == 0 {
		return
	}
	item.reclaim = &reclaim{code: code, victims: victims}
	machine.reclaiming++
	for _, victim := range victims {
		victim.victimOf = item
		machine.lentTaken[victim.task.Owner()] += victim.task.Resources().Dominant(machine.total)
		machine.send(victim.target.target.Name(), almondcross.NewCheckpointTask(almondcross.CheckpointTaskConfig{
			Term: victim.target.term, Id: victim.task.Id(),
		}))
	}
	machine.after(checkpointTime, timer{kind: timerReclaim, job: item})
}

// continueReclaim throttles the victims, then stops them, then looks for other victims.
func (machine *Machine) continueReclaim(item *job) {
	current := item.reclaim
	if current == nil || item.state != jobQueued {
		return
	}
	switch current.phase {
	case phaseCheckpoint:
		current.phase = phaseThrottle
		for _, victim := range current.victims {
			if victim.onTarget() {
				machine.send(victim.target.target.Name(), almondcross.NewThrottleTask(almondcross.ThrottleTaskConfig{
					Term: victim.target.term, Id: victim.task.Id(), Percent: throttlePercent,
				}))
			}
		}
		machine.after(throttleTime, timer{kind: timerReclaim, job: item})
	case phaseThrottle:
		current.phase = phaseStop
		for _, victim := range current.victims {
			if victim.onTarget() {
				machine.account(victim.task, almondcross.AccountEventConfig{Code: current.code, Count: 1})
				machine.story(victim.task, "stopped", current.code, victim.target.target.Name(), "for "+item.task.Id().String())
				machine.halt(victim, current.code)
			}
		}
		machine.after(reclaimRetry, timer{kind: timerReclaim, job: item})
	case phaseStop:
		machine.endReclaim(item)
		machine.startReclaim(item, current.code)
	}
}

// endReclaim ends the reclaim of a task that no longer waits. Victims that were not stopped yet
// get their processor time back.
func (machine *Machine) endReclaim(item *job) {
	current := item.reclaim
	if current == nil {
		return
	}
	item.reclaim = nil
	machine.reclaiming--
	for _, victim := range current.victims {
		if victim.haltCode == almondcross.CodeNone && victim.onTarget() {
			if current.phase == phaseThrottle {
				machine.send(victim.target.target.Name(), almondcross.NewThrottleTask(almondcross.ThrottleTaskConfig{
					Term: victim.target.term, Id: victim.task.Id(), Percent: 100,
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
	for _, entry := range machine.targets {
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
	var victims []*job
	room := entry.roomFor(item)
	taken := map[string]float64{}
	for _, candidate := range entry.jobs {
		if !machine.mayReclaim(candidate, item, taken) {
			continue
		}
		victims = append(victims, candidate)
		taken[candidate.task.Owner()] += candidate.task.Resources().Dominant(machine.total)
		room = room.Add(candidate.task.Resources())
		if item.task.Resources().Fits(room) {
			return victims
		}
	}
	return nil
}

// mayReclaim reports whether a task is lent work that may be stopped: it may be repeated, is
// neither urgent nor a service, and its owner keeps its promise without it.
func (machine *Machine) mayReclaim(candidate, item *job, taken map[string]float64) bool {
	task := candidate.task
	if candidate.state != jobRunning || candidate.victimOf != nil || candidate.haltCode != almondcross.CodeNone ||
		!task.Repeatable() || task.Urgent() || task.Size() > 1 || task.Class() == almondcross.ClassService ||
		(task.Owner() == item.task.Owner() && !item.task.Urgent()) {
		return false
	}
	lent := machine.Share.Lent(task.Owner()) - machine.lentTaken[task.Owner()] - taken[task.Owner()]
	return lent >= task.Resources().Dominant(machine.total)/2
}

func (machine *Machine) returnSoon() {
	if !machine.returnSet {
		machine.returnSet = true
		machine.after(returnInterval, timer{kind: timerReturn})
	}
}

// returnShares claims lent shares back for owners below their promise whose tasks waited long,
// and seeks victims again for urgent tasks that found none.
func (machine *Machine) returnShares() {
	machine.returnSet = false
	for _, waiting := range machine.order {
		item := waiting.first()
		if machine.limited(item.task.Entry()) {
			continue
		}
		if item.task.Urgent() {
			machine.startReclaim(item, almondcross.CodePreemptedUrgent)
			continue
		}
		byOwner, _ := machine.Share.Ratio(item.task.Owner(), item.task.Entry(), item.task.Resources())
		if byOwner <= 1 && machine.now.Sub(item.queuedAt) >= returnAfter {
			machine.startReclaim(item, almondcross.CodeLentShareReturned)
		}
	}
	if len(machine.order) > 0 {
		machine.returnSoon()
	}
}
