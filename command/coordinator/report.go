package coordinator

import (
	"bytes"
	"time"

	"github.com/almondcross/almondcross"
)

// findTask returns the record and the task that a report refers to, or nil if the task is not of the current attempt.
func (machine *Machine) findTask(id almondcross.TaskID, attempt int) (*record, *taskState) {
	record, ok := machine.keys[id.Key()]
	if !ok || !record.inProgress() || id.Index() >= len(record.tasks) || record.attempt != attempt {
		return nil, nil
	}
	return record, &record.tasks[id.Index()]
}

func (machine *Machine) taskForwarded(message almondcross.TaskForwarded, now time.Time) {
	record, task := machine.findTask(message.ID(), message.Attempt())
	if record == nil || task.started {
		return
	}
	task.holder = message.Holder()
	machine.watchHolders(record, now)
	machine.stopReported(record, task)
}

func (machine *Machine) taskStarted(message almondcross.TaskStarted, now time.Time) {
	record, task := machine.findTask(message.ID(), message.Attempt())
	if record == nil {
		machine.stopOrphan(message)
		return
	}
	if task.ended || (task.started && message.Target() == task.target && message.Term().Less(task.term)) {
		return
	}
	record.everStarted, record.startedAt = true, now
	task.started, task.holder, task.target, task.term = true, message.Holder(), message.Target(), message.Term()
	machine.watchHolders(record, now)
	machine.recordDecision(record, "started", almondcross.CodeNone, message.Target(), now)
	machine.stopReported(record, task)
	if record.allStarted() {
		record.phase = phaseRunning
	}
}

// stopOrphan stops a started task that does not belong to the current attempt of a key of this member.
func (machine *Machine) stopOrphan(message almondcross.TaskStarted) {
	stop := almondcross.NewStopTask(almondcross.StopTaskConfig{
		ID: message.ID(), Attempt: message.Attempt(), Code: almondcross.CodeTaskStopped,
	})
	if message.Holder().Name() == machine.self().Name() {
		machine.emit(NotifyPlacer{Message: stop})
		return
	}
	machine.emit(Send{Member: message.Holder().Name(), Message: stop})
}

func (machine *Machine) taskRefused(message almondcross.TaskRefused, now time.Time) {
	record, task := machine.findTask(message.ID(), message.Attempt())
	if record == nil || task.started || task.ended {
		return
	}
	retryAfter := time.Duration(message.RetryAfter()) * time.Millisecond
	switch {
	case record.service:
		machine.backOff(record, message.Code(), now)
	case len(record.tasks) > 1:
		machine.gangTaskRefused(record, task, message.Code(), now)
	default:
		machine.refuseAttempt(record, message.Code(), retryAfter, now)
	}
}

// gangTaskRefused stops the other tasks of a gang after one was refused. The starts of others may be under way, so the
// attempt ends only when each of them was refused or has ended.
func (machine *Machine) gangTaskRefused(record *record, task *taskState, code almondcross.Code, now time.Time) {
	task.ended, task.result = true, failedResult(task.task, code)
	if record.anyStarted() || !record.allEnded() {
		machine.finishAttempt(record, now)
		return
	}
	_, code = firstFailure(record)
	machine.refuseAttempt(record, code, 0, now)
}

// refuseAttempt ends an attempt of which no task was started. The key is placed again if the placer, and not the task,
// was the cause.
func (machine *Machine) refuseAttempt(record *record, code almondcross.Code, retryAfter time.Duration, now time.Time) {
	if !placerUnavailable(code) {
		machine.finish(record, machine.refusalOutcome(record, code, now).WithRetryAfter(retryAfter), now)
		return
	}
	machine.stopTasks(record, code, now)
	record.tasks = nil
	if record.cancelled {
		machine.finishCancelled(record, now)
		return
	}
	machine.holdBack(record, now.Add(holdRecheckInterval), code, now)
}

// placerUnavailable reports whether a refusal was caused by the state of the placer and not by the task: the
// placer's host had no link lease from this member, is stopping, or has no target.
func placerUnavailable(code almondcross.Code) bool {
	return code == almondcross.CodeNoLinkLease || code == almondcross.CodeStopping || code == almondcross.CodeNotHere
}

func failedResult(task almondcross.Task, code almondcross.Code) almondcross.TaskResult {
	return almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: task.ID(), Attempt: task.Attempt(), Code: code})
}

func (machine *Machine) taskEnded(message almondcross.TaskEnded, now time.Time) {
	result := message.Result()
	record, task := machine.findTask(result.ID(), result.Attempt())
	if record == nil {
		machine.correctLostTarget(result.ID().Key(), result.Attempt())
		machine.acceptOrphanAnswer(message, now)
		return
	}
	if task.ended {
		return
	}
	record.everStarted = true
	task.started, task.ended, task.result, task.target = true, true, result, message.Target()
	machine.finishAttempt(record, now)
}

// acceptOrphanAnswer ends a key with the answer of a task that a lost coordinator placed. The worker reports an
// end only once, so work that may not be repeated has no other answer. Gangs are excluded, since one task has
// only a part of their answer.
func (machine *Machine) acceptOrphanAnswer(message almondcross.TaskEnded, now time.Time) {
	result := message.Result()
	record, ok := machine.keys[result.ID().Key()]
	if !ok && result.Code() == almondcross.CodeNone && result.ID().Index() == 0 && !message.Partial() {
		record = machine.addAnswerRecord(result.ID().Key(), now)
	}
	if record == nil || record.service || record.entry.Class() == almondcross.ClassGang || result.Code() != almondcross.CodeNone {
		return
	}
	switch record.phase {
	case phaseLookup, phaseHeld, phaseClaiming, phaseClaimedElsewhere:
	default:
		return
	}
	record.everStarted = true
	// If the key has no claim, the claimer ignores the settlement.
	record.claimed = record.entry.Name() == "" || !record.entry.Repeatable()
	outcome := newOutcome(result.ID().Key(), almondcross.StatusDone, almondcross.CodeNone)
	machine.finish(record, outcome.WithAnswer(result.Answer()).WithTarget(message.Target()), now)
}

// addAnswerRecord adds a record for an answer whose key has no request on this member yet.
func (machine *Machine) addAnswerRecord(key almondcross.Key, now time.Time) *record {
	if key.Caller() == serviceCaller {
		return nil
	}
	record := &record{phase: phaseHeld, submittedAt: now}
	record.request = almondcross.NewRequest(almondcross.RequestConfig{Key: key})
	machine.keys[key] = record
	return record
}

func (machine *Machine) taskLost(message almondcross.TaskLost, now time.Time) {
	if !message.TargetLost() {
		machine.correctLostTarget(message.ID().Key(), message.Attempt())
	}
	record, task := machine.findTask(message.ID(), message.Attempt())
	if record == nil {
		return
	}
	// Another holder may have adopted the task under a newer term.
	if task.ended || (task.started && (message.Target() != task.target || message.Term().Less(task.term))) {
		return
	}
	record.everStarted = true
	task.started, task.ended, task.target = true, true, message.Target()
	task.result = failedResult(task.task, almondcross.CodeTargetLost)
	if message.TargetLost() {
		record.countLostTarget(message.Attempt(), now)
	}
	machine.finishAttempt(record, now)
}

// correctLostTarget takes back that a target was lost under an earlier attempt, after the target was only cut off.
func (machine *Machine) correctLostTarget(key almondcross.Key, attempt int) {
	if record, ok := machine.keys[key]; ok {
		delete(record.lostAttempts, attempt)
	}
}

// finishAttempt ends an attempt once all its tasks have ended. If one task of a gang fails, the others are stopped first.
func (machine *Machine) finishAttempt(record *record, now time.Time) {
	failed, code := firstFailure(record)
	if failed && len(record.tasks) > 1 && !record.allEnded() {
		machine.stopTasks(record, code, now)
		return
	}
	if !record.allEnded() {
		return
	}
	switch {
	case record.service:
		machine.backOff(record, code, now)
	case !failed:
		outcome := newOutcome(record.request.Key(), almondcross.StatusDone, almondcross.CodeNone)
		outcome = outcome.WithAnswer(joinAnswers(record)).WithTarget(record.tasks[0].target)
		machine.finish(record, outcome, now)
	case machine.mayRetry(record, code):
		machine.recordDecision(record, "repeated", code, record.tasks[0].target, now)
		machine.advance(record, now)
	default:
		machine.finish(record, failedOutcome(record, code), now)
	}
}

// firstFailure reports whether a task ended without an answer, and the reason code of the first one.
func firstFailure(record *record) (bool, almondcross.Code) {
	for _, task := range record.tasks {
		if task.ended && task.result.Code() != almondcross.CodeNone {
			return true, task.result.Code()
		}
	}
	return false, almondcross.CodeNone
}

// joinAnswers returns the answers of all tasks in order of their index, separated by newlines.
func joinAnswers(record *record) []byte {
	answers := make([][]byte, len(record.tasks))
	for index, task := range record.tasks {
		answers[index] = task.result.Answer()
	}
	return bytes.Join(answers, []byte("\n"))
}

// mayRetry counts a failure of a task and reports whether the failed attempt may be retried. Task failures are
// limited, and so are lost targets, which the task may have crashed. Preemptions are neither counted nor limited, since
// the task did not cause them.
func (machine *Machine) mayRetry(record *record, code almondcross.Code) bool {
	if !record.entry.Repeatable() || record.cancelled || record.lostTargets() >= almondcross.MaxLostTargets {
		return false
	}
	if code == almondcross.CodeTargetLost || code == almondcross.CodePreemptedUrgent || code == almondcross.CodeLentShareReturned {
		return true
	}
	if code != almondcross.CodeTaskFailed {
		return false
	}
	record.failures++
	if record.failedTargets == nil {
		record.failedTargets = map[string]bool{}
	}
	for _, task := range record.tasks {
		if task.started {
			record.failedTargets[task.target] = true
			record.avoidTarget = task.target
		}
	}
	return len(record.failedTargets) < maxFailedTargets && record.failures < maxFailedAttempts
}

func failedOutcome(record *record, code almondcross.Code) almondcross.Outcome {
	key := record.request.Key()
	if record.lostTargets() >= almondcross.MaxLostTargets {
		return newOutcome(key, almondcross.StatusFailed, almondcross.CodeTargetsCrashed).WithTarget(record.tasks[0].target).
			WithDetail("the work ran, and the workers of three attempts restarted or disappeared under it")
	}
	if code == almondcross.CodeTargetLost {
		return newOutcome(key, almondcross.StatusUnknown, code).WithTarget(record.tasks[0].target)
	}
	return newOutcome(key, almondcross.StatusFailed, code).WithTarget(record.tasks[0].target)
}
