package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/almondcross/almondcross"
)

// Parameters of the calls to the advice service.
const (
	// ticketMargin is the validity that a ticket must have left when a run is placed. It covers the append,
	// the delivery of the start order and a late timer.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the delay before a failed advice call is retried.
	adviceRetryDelay = 100 * time.Millisecond
	// initialAllowedShare is the share of workers that advice is assumed to allow before the first answer.
	initialAllowedShare = 0.5
	// allowedShareWeight is the weight of a new answer in the moving average of the allowed share.
	allowedShareWeight = 0.1
	// overselectionFactor is the ratio of the tasks that are expected to fit on the selected workers to the
	// tasks to place.
	overselectionFactor = 1.6
	// minWorkersPerCall is the minimum number of workers in a call, so that a small stage does not end up with
	// no allowed worker.
	minWorkersPerCall = 6
	// minWorkersPerLongCall is the minimum number of workers added to a long call, whose duration depends
	// little on their number.
	minWorkersPerLongCall = 24
	// minLongCallShare is the minimum share of the usable workers added to a long call. Most of the duration
	// of such a call does not depend on the number of workers.
	minLongCallShare = 0.2
	// gangCapacityFactor is the ratio of the capacity of the allowed workers to the size of a gang from which
	// no more workers are queried. The more workers a gang can use, the sooner there is room for it.
	gangCapacityFactor = 6
	// readyCapacityFactor is the ratio of the capacity of the allowed workers with tickets to the size of a gang from which no
	// more tickets are renewed.
	readyCapacityFactor = 4
	// ticketRenewal is the validity that is left of a ticket when it is requested again. It covers the call.
	ticketRenewal = 700 * time.Millisecond
	// maxWorkersPerCall is the maximum number of workers that the advice service takes in one call.
	maxWorkersPerCall = 100
	// longCallThreshold is the expected duration from which a call counts as long.
	longCallThreshold = 200 * time.Millisecond
	// partsPerBase is the number of parts into which a call is divided for each time that its variable duration is as
	// long as the fixed one.
	partsPerBase = 3
	// sparePerPart is the number of hosts free for long calls that each part of a divided call requires.
	sparePerPart = 8
)

// ticket permits starts of one stage on one worker.
type ticket struct {
	secret      string
	expiresAt   time.Time
	incarnation int64
}

// stageAdvice holds the advice received for one stage.
type stageAdvice struct {
	pendingCalls int // pendingCalls is the number of calls without an answer.
	retryAt      time.Time
	tickets      map[string]ticket
	expiresAt    time.Time       // expiresAt is when the last ticket expires.
	decisions    map[string]bool // decisions holds whether a worker is allowed. The decision never changes for a stage.
	allowed      []string        // allowed holds the allowed workers, sorted.
}

func (machine *Machine) ensureAdvice(stage almondcross.StageID) *stageAdvice {
	advice := machine.leader.advice[stage]
	if advice == nil {
		advice = &stageAdvice{tickets: map[string]ticket{}, decisions: map[string]bool{}}
		machine.leader.advice[stage] = advice
	}
	return advice
}

func (machine *Machine) dropAdvice(stage almondcross.StageID) { delete(machine.leader.advice, stage) }

// allow records that a worker may run the stage.
func (stageadvice *stageAdvice) allow(worker string) {
	stageadvice.decisions[worker] = true
	if index, found := slices.BinarySearch(stageadvice.allowed, worker); !found {
		stageadvice.allowed = slices.Insert(stageadvice.allowed, index, worker)
	}
}

// deny records that a worker may not run the stage.
func (stageadvice *stageAdvice) deny(worker string) {
	stageadvice.decisions[worker] = false
	if index, found := slices.BinarySearch(stageadvice.allowed, worker); found {
		stageadvice.allowed = slices.Delete(stageadvice.allowed, index, index+1)
	}
}

// denies reports whether advice is known to deny a candidate.
func (stageadvice *stageAdvice) denies(candidate almondcross.WorkerCapacity) bool {
	allowed, decided := stageadvice.decisions[candidate.Worker()]
	return decided && !allowed
}

// hasTicket reports whether there is a valid ticket for a worker.
func (stageadvice *stageAdvice) hasTicket(worker *worker, now time.Time) bool {
	ticket, ok := stageadvice.tickets[worker.id]
	return ok && ticket.incarnation == worker.incarnation && now.Before(ticket.expiresAt)
}

// anyTicketValid reports whether any ticket may still be valid.
func (stageadvice *stageAdvice) anyTicketValid(now time.Time) bool {
	return len(stageadvice.tickets) > 0 && now.Before(stageadvice.expiresAt)
}

// requestAdvice requests tickets for workers with free resources if a host may make a call.
func (machine *Machine) requestAdvice(queue almondcross.Queue, waiting *waitingStage, advice *stageAdvice) {
	job, stage := waiting.job, waiting.stage
	if advice.pendingCalls > 0 || machine.now.Before(advice.retryAt) {
		return
	}
	long := queue.AdviceSettings().Base()+queue.AdviceSettings().PerWorker()*time.Duration(minWorkersPerCall) >= longCallThreshold
	if machine.availableHost(long) == nil {
		return
	}
	var selected []string
	if stage.spec.Gang() && long {
		selected = machine.selectForGang(queue, job, stage, advice)
	} else {
		suspicion := machine.waitingSuspicion(job, stage)
		// Workers that advice has denied have no room for the stage, so that slow ones must not wait for them.
		candidates := slices.DeleteFunc(machine.candidates(queue, job, stage, suspicion, nil), advice.denies)
		candidates = machine.withoutSlow(queue, waiting, stage.remainingTasks-stage.activeTasks, advice, candidates)
		selected = machine.selectWorkers(queue, stage, advice, candidates)
		if len(selected) == 0 && suspicion != unsuspected {
			// Tasks that cannot be kept apart need tickets for shared workers.
			selected = machine.selectWorkers(queue, stage, advice, machine.candidates(queue, job, stage, unsuspected, nil))
		}
	}
	if len(selected) == 0 {
		advice.retryAt = machine.now.Add(adviceRetryDelay)
		return
	}
	parts := 1
	if long {
		parts = machine.callParts(queue.AdviceSettings(), len(selected))
	}
	size := (len(selected) + parts - 1) / parts
	for part := range slices.Chunk(selected, size) {
		machine.callAdvice(queue.AdviceSettings(), stage, advice, part, long)
	}
}

// callParts returns over how many hosts a long call is divided, which then answer at the same time. It answers the load
// of wide gangs on a large fleet: a call that names 100 workers takes more than twice as long as its fixed part, and
// meanwhile others take the room that it asks about. Each further part costs a host the fixed part of a call, so calls
// are divided only as far as hosts are idle.
func (machine *Machine) callParts(settings almondcross.AdviceSettings, workers int) int {
	leader := machine.leader
	spare := int(maxLongCallShare*float64(len(machine.linkedHosts))) - leader.longCalls
	// The configuration may state any latency, and the product may be out of the range of int64.
	useful := float64(workers) * float64(settings.PerWorker()) * partsPerBase / float64(max(settings.Base(), 1))
	return max(1, min(int(min(useful, float64(len(leader.idleHosts)))), spare/sparePerPart))
}

// selectWorkers returns the workers to query: first those known to be allowed, then those that fit the most
// tasks, until the selected workers are expected to fit the whole stage.
func (machine *Machine) selectWorkers(queue almondcross.Queue, stage *stage, advice *stageAdvice, candidates []almondcross.WorkerCapacity) []string {
	share := machine.allowedShare(queue)
	sortByTasks(candidates)
	wanted := float64(machine.tasksWithinQuota(stage))
	var selected []string
	var allowedTasks, expectedTasks float64
	for _, candidate := range candidates {
		if allowed, decided := advice.decisions[candidate.Worker()]; decided && allowed {
			allowedTasks += float64(candidate.Tasks())
			expectedTasks += float64(candidate.Tasks())
			selected = append(selected, candidate.Worker())
		}
	}
	if allowedTasks >= wanted {
		return selected[:min(len(selected), maxWorkersPerCall)]
	}
	for _, candidate := range candidates {
		if _, decided := advice.decisions[candidate.Worker()]; decided || len(selected) >= maxWorkersPerCall {
			continue
		}
		if expectedTasks >= wanted*overselectionFactor && len(selected) >= minWorkersPerCall {
			break
		}
		selected = append(selected, candidate.Worker())
		expectedTasks += float64(candidate.Tasks()) * share
	}
	return selected
}

// undecidedWorkers returns the workers without a decision for a stage: fitNow are those on which a task fits
// now, fitLater those on which one fits once all runs other than services have ended. Slow workers are among these only if there
// are no others.
func (machine *Machine) undecidedWorkers(queue almondcross.Queue, stage *stage, advice *stageAdvice) (fitNow, fitLater []almondcross.WorkerCapacity) {
	failed := machine.avoidedWorkers(queue, stage)
	machine.leader.examinedWorkers += len(machine.leader.usableWorkers)
	var slow []almondcross.WorkerCapacity
	for _, worker := range machine.leader.usableWorkers {
		if _, decided := advice.decisions[worker.id]; decided || failed[worker.id] || worker.info.Pool() != queue.Pool() || !worker.info.HasLabel(stage.spec.Label()) {
			continue
		}
		if worker.slow {
			if tasks := worker.eventualTasks(stage); tasks > 0 {
				slow = append(slow, almondcross.NewWorkerCapacity(almondcross.WorkerCapacityConfig{Worker: worker.id, Tasks: tasks}))
			}
			continue
		}
		if tasks := worker.tasksIn(worker.free().Sub(worker.reserved), stage, stage.spec.Count()); tasks > 0 {
			fitNow = append(fitNow, almondcross.NewWorkerCapacity(almondcross.WorkerCapacityConfig{Worker: worker.id, Tasks: tasks}))
		} else if tasks := worker.eventualTasks(stage); tasks > 0 {
			fitLater = append(fitLater, almondcross.NewWorkerCapacity(almondcross.WorkerCapacityConfig{Worker: worker.id, Tasks: tasks}))
		}
	}
	if len(fitNow)+len(fitLater) == 0 {
		return nil, slow
	}
	return fitNow, fitLater
}

// selectForGang returns the workers to query for a gang: those with free room, if these are expected to hold the gang. Otherwise it selects
// undecided workers, until the allowed ones have several times the capacity that the gang needs, so that it finds room on some of
// them soon; then the allowed ones without a ticket, so that it can start as soon as there is room. The answer for a worker stays
// the same, but its ticket expires.
func (machine *Machine) selectForGang(queue almondcross.Queue, job *job, stage *stage, advice *stageAdvice) []string {
	wanted := stage.remainingTasks - stage.activeTasks
	if selected := machine.selectFree(queue, job, stage, advice, wanted); len(selected) > 0 {
		return selected
	}
	capacity, ready := 0, 0
	var expiring []almondcross.WorkerCapacity
	for _, worker := range machine.allowedWorkers(advice) {
		tasks := worker.eventualTasks(stage)
		capacity += tasks
		if advice.hasTicket(worker, machine.now.Add(ticketRenewal)) {
			ready += tasks
			continue
		}
		expiring = append(expiring, almondcross.NewWorkerCapacity(almondcross.WorkerCapacityConfig{Worker: worker.id, Tasks: tasks, Free: worker.free()}))
	}
	if missing := float64(wanted*gangCapacityFactor - capacity); missing > 0 {
		if selected := machine.selectUndecided(queue, stage, advice, missing); len(selected) > 0 {
			return selected
		}
	}
	if capacity < wanted || ready >= wanted*readyCapacityFactor {
		return nil
	}
	slices.SortStableFunc(expiring, func(a, b almondcross.WorkerCapacity) int {
		return cmp.Compare(b.Free().MilliCPU(), a.Free().MilliCPU())
	})
	var selected []string
	for _, candidate := range expiring {
		if ready > wanted*readyCapacityFactor || len(selected) >= maxWorkersPerCall {
			break
		}
		ready += candidate.Tasks()
		selected = append(selected, candidate.Worker())
	}
	return selected
}

// selectFree returns workers with free room that are expected to hold a whole gang: allowed ones, and undecided ones if these do not
// suffice. It returns none if there is too little room.
func (machine *Machine) selectFree(queue almondcross.Queue, job *job, stage *stage, advice *stageAdvice, wanted int) []string {
	var allowed []string
	var undecided []almondcross.WorkerCapacity
	onAllowed, onUndecided := 0, 0
	for _, candidate := range machine.candidates(queue, job, stage, machine.waitingSuspicion(job, stage), nil) {
		if isAllowed, decided := advice.decisions[candidate.Worker()]; !decided {
			undecided = append(undecided, candidate)
			onUndecided += candidate.Tasks()
		} else if isAllowed {
			allowed = append(allowed, candidate.Worker())
			onAllowed += candidate.Tasks()
		}
	}
	if onAllowed >= wanted {
		return allowed[:min(len(allowed), maxWorkersPerCall)]
	}
	if float64(onAllowed)+float64(onUndecided)*machine.allowedShare(queue) < float64(wanted)*overselectionFactor {
		return nil
	}
	return machine.extendSelection(queue, allowed, undecided, float64(wanted-onAllowed)*overselectionFactor)
}

// selectUndecided returns undecided workers that are expected to add a capacity, in tasks, to the allowed ones: those with free room
// first.
func (machine *Machine) selectUndecided(queue almondcross.Queue, stage *stage, advice *stageAdvice, missing float64) []string {
	fitNow, fitLater := machine.undecidedWorkers(queue, stage, advice)
	selected := machine.extendSelection(queue, nil, fitNow, missing)
	for index := range selected {
		missing -= float64(fitNow[index].Tasks()) * machine.allowedShare(queue)
	}
	if missing > 0 {
		selected = machine.extendSelection(queue, selected, fitLater, missing)
	}
	return selected
}

// extendSelection adds workers to the selected ones until the added ones are expected to fit a number of
// tasks.
func (machine *Machine) extendSelection(queue almondcross.Queue, selected []string, candidates []almondcross.WorkerCapacity, tasks float64) []string {
	share := machine.allowedShare(queue)
	sortByTasks(candidates)
	added, minAdded := 0, max(minWorkersPerLongCall, int(minLongCallShare*float64(len(machine.leader.usableWorkers))))
	for _, candidate := range candidates {
		if len(selected) >= maxWorkersPerCall || tasks <= 0 && added >= minAdded {
			break
		}
		selected = append(selected, candidate.Worker())
		tasks -= float64(candidate.Tasks()) * share
		added++
	}
	return selected
}

// allowedShare returns the moving average of the share of workers that advice allows for a queue.
func (machine *Machine) allowedShare(queue almondcross.Queue) float64 {
	if share, known := machine.leader.allowedShares[queue.Name()]; known {
		return share
	}
	return initialAllowedShare
}

// adviceAnswered stores the tickets and the decisions of an answer.
func (machine *Machine) adviceAnswered(answer almondcross.AdviceAnswered) {
	id := answer.Query().Stage()
	linkedHost := machine.linkedHosts[answer.Adviser()]
	var expected bool // expected is false if the call was given up before.
	var took time.Duration
	if linkedHost != nil {
		var call adviceCall
		if call, expected = linkedHost.removeCall(id); expected {
			took = machine.now.Sub(call.sentAt)
			linkedHost.callFailed = answer.Err() != nil
		}
		if expected && answer.Err() == nil {
			linkedHost.noteRoundTrip(call, took)
			linkedHost.answeredAt = machine.now
		}
	}
	machine.leader.placementDue = true
	advice := machine.leader.advice[id]
	if advice == nil {
		return
	}
	if expected {
		advice.pendingCalls = max(0, advice.pendingCalls-1)
	}
	if answer.Err() != nil {
		advice.retryAt = machine.now.Add(adviceRetryDelay)
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
		validity = queue.AdviceSettings().Validity()
	}
	machine.updateAllowedShare(queue, job.stage(id), advice, answer)
	for _, worker := range answer.Query().Workers() {
		advice.deny(worker)
	}
	expiresAt := answer.Received().Add(validity - ticketMargin)
	if expiresAt.After(advice.expiresAt) {
		advice.expiresAt = expiresAt
	}
	for _, granted := range answer.Result().Tickets() {
		advice.allow(granted.Worker())
		incarnation := int64(0)
		if worker := machine.leader.workers[granted.Worker()]; worker != nil {
			incarnation = worker.incarnation
		}
		advice.tickets[granted.Worker()] = ticket{secret: granted.Secret(), expiresAt: expiresAt, incarnation: incarnation}
	}
	requested, allowed := len(answer.Query().Workers()), len(answer.Result().Tickets())
	machine.config.Metrics.Advised(queue.Name(), allowed, requested)
	machine.config.Log.Record("advised", almondcross.Text("stage", id.String()), almondcross.Text("adviser", answer.Adviser()),
		almondcross.Number("asked", requested), almondcross.Number("allowed", allowed), almondcross.Millis("took_ms", took),
		almondcross.Number("waiting", len(machine.leader.waitingStages)))
}

// updateAllowedShare adds an answer to the moving average of the share of workers that advice allows for a queue. Of a gang, which is
// asked about the workers of its reservation again, only the workers without an earlier decision count.
func (machine *Machine) updateAllowedShare(queue almondcross.Queue, stage *stage, advice *stageAdvice, answer almondcross.AdviceAnswered) {
	requested, allowed := len(answer.Query().Workers()), len(answer.Result().Tickets())
	if stage != nil && stage.spec.Gang() {
		for _, worker := range answer.Query().Workers() {
			if _, decided := advice.decisions[worker]; decided {
				requested--
			}
		}
		for _, granted := range answer.Result().Tickets() {
			if _, decided := advice.decisions[granted.Worker()]; decided {
				allowed--
			}
		}
		if requested <= 0 {
			return
		}
	}
	share := machine.allowedShare(queue)
	machine.leader.allowedShares[queue.Name()] = share + allowedShareWeight*(float64(allowed)/float64(max(requested, 1))-share)
}
