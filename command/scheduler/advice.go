package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

// Figures of advice.
const (
	// ticketMargin is the validity that a ticket must have left when a run is placed: the append, the
	// way of the start order and a late timer.
	ticketMargin = 300 * time.Millisecond
	// adviceRetry is the pause after a failed call for advice.
	adviceRetry = 100 * time.Millisecond
	// shareStart is the part of workers that advice is taken to allow before any answer.
	shareStart = 0.5
	// shareWeight is the weight of a new answer in the learned part.
	shareWeight = 0.1
	// spareFactor is by how much the named workers exceed what is expected to be needed.
	spareFactor = 1.6
	// fewestAsked is the least number of workers in a call, so that a small stage is not left without any.
	fewestAsked = 6
	// mostAsked is the most workers that one call may name.
	mostAsked = 100
	// longAdvice is the length of a call from which it counts as long.
	longAdvice = 200 * time.Millisecond
	// longPart is the part of the advisers that long calls may occupy.
	longPart = 0.7
)

// ticket is a ticket with the time until which it can be used.
type ticket struct {
	secret string
	until  time.Time
	born   int64
}

// stageAdvice is what is known of the advice on one stage.
type stageAdvice struct {
	asking  bool
	retryAt time.Time
	tickets map[string]ticket
	allow   map[string]bool // allow holds what advice said of a worker; that never changes for a stage.
}

// adviser is a host that calls the advice service; it makes one call at a time.
type adviser struct {
	name string
	busy *almondcross.StageID
	long bool // long tells that the call under way is a long one.
}

func (machine *Machine) adviserChanged(change almondcross.AdviserChanged) {
	if change.Adviser() == machine.config.Host {
		return
	}
	gone := machine.advisers[change.Adviser()]
	if change.Present() {
		machine.advisers[change.Adviser()] = &adviser{name: change.Adviser()}
	} else {
		delete(machine.advisers, change.Adviser())
	}
	machine.config.Log.Record("adviser_changed", almondcross.Text("adviser", change.Adviser()), almondcross.Text("present", yesNo(change.Present())))
	if machine.leader == nil {
		return
	}
	machine.leader.dirty = true
	if gone != nil && gone.busy != nil {
		if advice := machine.leader.asked[*gone.busy]; advice != nil {
			advice.asking = false
		}
	}
}

func (machine *Machine) adviceOf(stage almondcross.StageID) *stageAdvice {
	advice := machine.leader.asked[stage]
	if advice == nil {
		advice = &stageAdvice{tickets: map[string]ticket{}, allow: map[string]bool{}}
		machine.leader.asked[stage] = advice
	}
	return advice
}

func (machine *Machine) forgetAdvice(stage almondcross.StageID) { delete(machine.leader.asked, stage) }

// allowed returns the rooms whose workers hold a usable ticket.
func (stageadvice *stageAdvice) allowed(rooms []almondcross.WorkerRoom, now time.Time) []almondcross.WorkerRoom {
	var allowed []almondcross.WorkerRoom
	for _, room := range rooms {
		if held, ok := stageadvice.tickets[room.Worker()]; ok && now.Before(held.until) {
			allowed = append(allowed, room)
		}
	}
	return allowed
}

// requestAdvice asks for tickets of workers that have room, if a host is free to ask.
func (machine *Machine) requestAdvice(queue almondcross.Queue, stage *stage, rooms []almondcross.WorkerRoom) {
	advice := machine.adviceOf(stage.id)
	if advice.asking || machine.now.Before(advice.retryAt) || len(machine.advisers) == 0 {
		return
	}
	named := machine.nameWorkers(queue, stage, advice, rooms)
	if len(named) == 0 {
		return
	}
	length := queue.Advice().Base() + time.Duration(len(named))*queue.Advice().PerWorker()
	adviser := machine.freeAdviser(length >= longAdvice)
	if adviser == nil {
		return
	}
	advice.asking = true
	id := stage.id
	adviser.busy, adviser.long = &id, length >= longAdvice
	machine.do(Ask{Adviser: adviser.name, Query: almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{Stage: stage.id, Workers: named})})
}

// nameWorkers returns the workers to ask about: those known to be allowed, then those with the most room,
// as many as are expected to yield room for the whole stage.
func (machine *Machine) nameWorkers(queue almondcross.Queue, stage *stage, advice *stageAdvice, rooms []almondcross.WorkerRoom) []string {
	share, known := machine.leader.shares[queue.Name()]
	if !known {
		share = shareStart
	}
	sorted := append([]almondcross.WorkerRoom(nil), rooms...)
	sortByRoom(sorted)
	wanted := float64(stage.open - stage.active)
	var named, unknown []string
	var expected, possible float64
	for _, room := range sorted {
		allowed, told := advice.allow[room.Worker()]
		if held, ok := advice.tickets[room.Worker()]; ok && machine.now.Before(held.until) {
			expected += float64(room.Tasks())
			possible += float64(room.Tasks())
			continue
		}
		switch {
		case told && !allowed:
		case told:
			possible += float64(room.Tasks())
			if expected < wanted*spareFactor && len(named) < mostAsked {
				named = append(named, room.Worker())
				expected += float64(room.Tasks())
			}
		default:
			possible += float64(room.Tasks())
			unknown = append(unknown, room.Worker())
			if len(named) < mostAsked && (expected < wanted*spareFactor || len(named) < fewestAsked) {
				named = append(named, room.Worker())
				expected += float64(room.Tasks()) * share
			}
		}
	}
	if stage.spec.Gang() && possible < wanted || len(named) == 0 {
		return nil
	}
	return named
}

// freeAdviser returns a host that may make a call. Long calls leave some hosts to the short ones.
func (machine *Machine) freeAdviser(long bool) *adviser {
	var free *adviser
	longs := 0
	for _, adviser := range machine.advisers {
		if adviser.busy != nil {
			if adviser.long {
				longs++
			}
			continue
		}
		if free == nil || adviser.name < free.name {
			free = adviser
		}
	}
	if long && len(machine.advisers) > 1 && float64(longs+1) > longPart*float64(len(machine.advisers)) {
		return nil
	}
	return free
}

// adviceAnswered keeps the tickets of an answer.
func (machine *Machine) adviceAnswered(answer almondcross.AdviceAnswered) {
	id := answer.Query().Stage()
	if adviser := machine.advisers[answer.Adviser()]; adviser != nil && adviser.busy != nil && *adviser.busy == id {
		adviser.busy = nil
	}
	machine.leader.dirty = true
	advice := machine.leader.asked[id]
	if advice == nil {
		return
	}
	advice.asking = false
	if answer.Err() != nil {
		advice.retryAt = machine.now.Add(adviceRetry)
		machine.config.Log.Record("advice_failed", almondcross.Text("stage", id.String()), almondcross.Text("adviser", answer.Adviser()),
			almondcross.Text("reason", answer.Err().Error()))
		return
	}
	job := machine.state.jobs[id.Job]
	if job == nil {
		return
	}
	queue := machine.queue(job)
	validity := answer.Result().Validity()
	if validity == 0 {
		validity = queue.Advice().Validity()
	}
	for _, worker := range answer.Query().Workers() {
		advice.allow[worker] = false
	}
	until := answer.Received().Add(validity - ticketMargin)
	for _, given := range answer.Result().Tickets() {
		advice.allow[given.Worker()] = true
		born := int64(0)
		if worker := machine.leader.workers[given.Worker()]; worker != nil {
			born = worker.born
		}
		advice.tickets[given.Worker()] = ticket{secret: given.Secret(), until: until, born: born}
	}
	share, known := machine.leader.shares[queue.Name()]
	if !known {
		share = shareStart
	}
	asked, allowed := len(answer.Query().Workers()), len(answer.Result().Tickets())
	machine.leader.shares[queue.Name()] = share + shareWeight*(float64(allowed)/float64(max(asked, 1))-share)
	machine.config.Meters.Advised(queue.Name(), allowed, asked)
	machine.config.Log.Record("advised", almondcross.Text("stage", id.String()), almondcross.Text("adviser", answer.Adviser()),
		almondcross.Number("asked", asked), almondcross.Number("allowed", allowed))
}
