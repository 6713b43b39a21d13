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
	// adviceSlack is how much longer than expected a call may take: the way to another region and back,
	// and a call of an earlier scheduler that the host still waits for.
	adviceSlack = 1200 * time.Millisecond
	// adviserRest is how long a host that did not answer in time is not asked.
	adviserRest = 2 * time.Second
	// shareStart is the part of workers that advice is taken to allow before any answer.
	shareStart = 0.5
	// shareWeight is the weight of a new answer in the learned part.
	shareWeight = 0.1
	// spareFactor is by how much the named workers exceed what is expected to be needed.
	spareFactor = 1.6
	// fewestAsked is the least number of workers in a call, so that a small stage is not left without any.
	fewestAsked = 6
	// fewestLong is the least number of workers in a long call, of which the named workers are a small part.
	fewestLong = 24
	// longCallPart is the part of the usable workers that a long call names at least. Most of its length does not
	// depend on the number of workers.
	longCallPart = 0.2
	// knownFactor is by how much the room on allowed workers exceeds a gang before it stops learning of others.
	knownFactor = 2
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
	latest  time.Time       // latest is when the last ticket can no longer be used.
	allow   map[string]bool // allow holds what advice said of a worker; that never changes for a stage.
}

// adviser is a host that calls the advice service; it makes one call at a time.
type adviser struct {
	name  string
	asked *adviceCall // asked is the call under way, nil for none.
	// strength is how well the host could schedule, and standby tells that it follows the journal.
	strength int
	standby  bool
	address  string // address is the one on which the host accepts links.
	// resetting tells that the host waits for its first views.
	resetting bool
	restAt    time.Time // restAt is when it may be asked again after a call that was given up.
}

// adviceCall is a call for advice that is under way.
type adviceCall struct {
	stage almondcross.StageID
	long  bool      // long tells that it counts as a long one.
	until time.Time // until is when it is given up.
}

func (machine *Machine) adviserChanged(change almondcross.AdviserChanged) {
	if change.Adviser() == machine.config.Host {
		return
	}
	gone := machine.advisers[change.Adviser()]
	if change.Present() {
		machine.advisers[change.Adviser()] = &adviser{
			name: change.Adviser(), strength: change.Strength(), address: change.Address(),
		}
	} else {
		delete(machine.advisers, change.Adviser())
	}
	machine.config.Log.Record("adviser_changed", almondcross.Text("adviser", change.Adviser()), almondcross.Text("present", yesNo(change.Present())))
	if machine.leader == nil {
		return
	}
	machine.leader.dirty = true
	if gone != nil {
		machine.abandon(gone)
	}
	if change.Present() {
		machine.linked(machine.advisers[change.Adviser()])
		machine.tellPeers(machine.advisers[change.Adviser()])
	} else {
		machine.fillStandbys()
	}
}

// abandon lets another host ask in place of one that does not answer.
func (machine *Machine) abandon(adviser *adviser) {
	if adviser.asked == nil {
		return
	}
	if advice := machine.leader.asked[adviser.asked.stage]; advice != nil {
		advice.asking = false
	}
	adviser.asked = nil
}

// sweepAdvisers gives up the calls that take too long.
func (machine *Machine) sweepAdvisers() {
	for _, adviser := range machine.advisers {
		if adviser.asked != nil && machine.now.After(adviser.asked.until) {
			machine.config.Log.Record("advice_given_up", almondcross.Text("stage", adviser.asked.stage.String()), almondcross.Text("adviser", adviser.name))
			machine.abandon(adviser)
			adviser.restAt = machine.now.Add(adviserRest)
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

// holds reports whether a worker holds a ticket that can be used.
func (stageadvice *stageAdvice) holds(worker *worker, now time.Time) bool {
	held, ok := stageadvice.tickets[worker.id]
	return ok && held.born == worker.born && now.Before(held.until)
}

// usable reports whether any ticket may still be used.
func (stageadvice *stageAdvice) usable(now time.Time) bool {
	return len(stageadvice.tickets) > 0 && now.Before(stageadvice.latest)
}

// requestAdvice asks for tickets of workers that have room, if a host is free to ask.
func (machine *Machine) requestAdvice(queue almondcross.Queue, stage *stage, advice *stageAdvice) {
	if advice.asking || machine.now.Before(advice.retryAt) {
		return
	}
	long := queue.Advice().Base()+queue.Advice().PerWorker()*time.Duration(fewestAsked) >= longAdvice
	adviser := machine.freeAdviser(long)
	if adviser == nil {
		return
	}
	var named []string
	if stage.spec.Gang() && long {
		named = machine.nameForGang(queue, stage, advice)
	} else {
		named = machine.nameWorkers(queue, stage, advice, machine.candidates(queue, stage, nil))
	}
	if len(named) == 0 {
		advice.retryAt = machine.now.Add(adviceRetry)
		return
	}
	length := queue.Advice().Base() + time.Duration(len(named))*queue.Advice().PerWorker()
	advice.asking = true
	adviser.asked = &adviceCall{stage: stage.id, long: long, until: machine.now.Add(length + adviceSlack)}
	machine.do(Ask{Adviser: adviser.name, Query: almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{Stage: stage.id, Workers: named})})
}

// nameWorkers returns the workers to ask about: those known to be allowed, then those with the most room,
// as many as are expected to yield room for the whole stage.
func (machine *Machine) nameWorkers(queue almondcross.Queue, stage *stage, advice *stageAdvice, rooms []almondcross.WorkerRoom) []string {
	share := machine.share(queue)
	sortByRoom(rooms)
	wanted := float64(stage.open - stage.active)
	var named []string
	var certain, expected float64
	for _, room := range rooms {
		if allowed, told := advice.allow[room.Worker()]; told && allowed {
			certain += float64(room.Tasks())
			expected += float64(room.Tasks())
			named = append(named, room.Worker())
		}
	}
	if certain >= wanted {
		return named[:min(len(named), mostAsked)]
	}
	for _, room := range rooms {
		if _, told := advice.allow[room.Worker()]; told || len(named) >= mostAsked {
			continue
		}
		if expected >= wanted*spareFactor && len(named) >= fewestAsked {
			break
		}
		named = append(named, room.Worker())
		expected += float64(room.Tasks()) * share
	}
	return named
}

// learnable returns the workers that advice has not told of for a stage: those with room now, and those that
// have room when what does not belong to gangs has ended, the latter behind the former.
func (machine *Machine) learnable(queue almondcross.Queue, stage *stage, advice *stageAdvice) (now, later []almondcross.WorkerRoom) {
	failed := stage.failedOn()
	for _, worker := range machine.leader.usable {
		if _, told := advice.allow[worker.id]; told || failed[worker.id] || worker.worker.Pool() != queue.Service() || !worker.worker.HasLabel(stage.spec.Label()) {
			continue
		}
		if tasks := fitting(worker.room().Sub(worker.held), stage.spec.Resources(), stage.spec.Count()); tasks > 0 {
			now = append(now, almondcross.NewWorkerRoom(almondcross.WorkerRoomConfig{Worker: worker.id, Tasks: tasks}))
		} else if tasks := fittingTasks(worker, stage); tasks > 0 {
			later = append(later, almondcross.NewWorkerRoom(almondcross.WorkerRoomConfig{Worker: worker.id, Tasks: tasks}))
		}
	}
	return now, later
}

// nameForGang returns the workers to ask about for a gang: those on which it fits now, with others that have
// room now if these may complete it. While it is not known to be allowed on enough workers, it learns of
// others; otherwise it waits for room.
func (machine *Machine) nameForGang(queue almondcross.Queue, stage *stage, advice *stageAdvice) []string {
	wanted := stage.open - stage.active
	var present, known, free int
	var allowed []string
	for _, room := range machine.candidates(queue, stage, nil) {
		if advice.allow[room.Worker()] {
			present += room.Tasks()
			allowed = append(allowed, room.Worker())
		}
	}
	if present >= wanted {
		return allowed[:min(len(allowed), mostAsked)]
	}
	now, later := machine.learnable(queue, stage, advice)
	for _, room := range now {
		free += room.Tasks()
	}
	if float64(present)+float64(free)*machine.share(queue) >= float64(wanted) {
		return machine.nameMore(queue, allowed, now, float64(wanted-present)*spareFactor)
	}
	for _, worker := range machine.leader.usable {
		if advice.allow[worker.id] {
			known += fittingTasks(worker, stage)
		}
	}
	if float64(known) >= float64(wanted)*knownFactor {
		return nil
	}
	return machine.nameMore(queue, allowed, append(now, later...), float64(wanted)*knownFactor-float64(known))
}

// nameMore adds workers to those already named until they are expected to yield room for some tasks.
func (machine *Machine) nameMore(queue almondcross.Queue, named []string, rooms []almondcross.WorkerRoom, tasks float64) []string {
	share := machine.share(queue)
	sortByRoom(rooms)
	added, fewest := 0, max(fewestLong, int(longCallPart*float64(len(machine.leader.usable))))
	for _, room := range rooms {
		if len(named) >= mostAsked || tasks <= 0 && added >= fewest {
			break
		}
		named = append(named, room.Worker())
		tasks -= float64(room.Tasks()) * share
		added++
	}
	return named
}

// share returns the learned part of workers that advice allows for a queue.
func (machine *Machine) share(queue almondcross.Queue) float64 {
	if share, known := machine.leader.shares[queue.Name()]; known {
		return share
	}
	return shareStart
}

// fittingTasks returns how many tasks of a gang fit a worker once what does not belong to gangs has ended.
func fittingTasks(worker *worker, stage *stage) int {
	return fitting(worker.worker.Capacity().Sub(worker.kept), stage.spec.Resources(), stage.spec.Count())
}

// freeAdviser returns a host that may make a call. Long calls leave some hosts to the short ones.
func (machine *Machine) freeAdviser(long bool) *adviser {
	var free *adviser
	longs := 0
	for _, adviser := range machine.advisers {
		if adviser.asked != nil {
			if adviser.asked.long {
				longs++
			}
			continue
		}
		if machine.now.Before(adviser.restAt) {
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
	if adviser := machine.advisers[answer.Adviser()]; adviser != nil && adviser.asked != nil && adviser.asked.stage == id {
		adviser.asked = nil
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
	advice.latest = until
	for _, given := range answer.Result().Tickets() {
		advice.allow[given.Worker()] = true
		born := int64(0)
		if worker := machine.leader.workers[given.Worker()]; worker != nil {
			born = worker.born
		}
		advice.tickets[given.Worker()] = ticket{secret: given.Secret(), until: until, born: born}
	}
	share := machine.share(queue)
	asked, allowed := len(answer.Query().Workers()), len(answer.Result().Tickets())
	machine.leader.shares[queue.Name()] = share + shareWeight*(float64(allowed)/float64(max(asked, 1))-share)
	machine.config.Meters.Advised(queue.Name(), allowed, asked)
	machine.config.Log.Record("advised", almondcross.Text("stage", id.String()), almondcross.Text("adviser", answer.Adviser()),
		almondcross.Number("asked", asked), almondcross.Number("allowed", allowed))
}
