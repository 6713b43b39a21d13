package worker

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/standin/answerer"
)

type acquire struct {
	body      encoder.WorkerAcquire
	responses responses
}

type renew struct {
	body      encoder.WorkerRenew
	responses responses
}

type release struct {
	body      encoder.WorkerRelease
	responses responses
}

type restart struct {
	body      encoder.WorkerRestart
	responses responses
}

func (acquire acquire) apply(state *state, now time.Time) {
	if state.abortIfRefusing(acquire.responses) {
		return
	}
	// The holder may acquire again after a call without a response; the new term replaces its old one.
	if holder := acquire.body.Holder.Value(); state.leased && holder != state.leaseHolder {
		state.respond(acquire.responses, answerer.ErrorResponse(
			http.StatusConflict, encoder.PlatformLeaseHeld, "the lease is held by "+state.leaseHolder.Name()))
		return
	}
	state.termCounter++
	state.leased = true
	state.leaseUntil = now.Add(almondcross.HolderLease)
	state.leaseHolder = acquire.body.Holder.Value()
	state.clearStartedAttempts()
	state.recordHistory(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerLeaseGranted})
	state.respond(acquire.responses, answerer.Response{Body: encoder.WorkerGrant{
		Target: state.config.Name, Term: state.term(), Capacity: encoder.WorkerResourcesOf(state.config.Capacity),
		Leaving: state.faults.Leaving, Inventory: state.inventory(), Events: state.eventCount,
	}})
}

// inventory returns the running tasks and the ended tasks that are not acknowledged.
func (state *state) inventory() []encoder.WorkerInventoryItem {
	items := make([]encoder.WorkerInventoryItem, 0, len(state.running)+len(state.endedTasks))
	for _, running := range state.running {
		items = append(items, encoder.WorkerInventoryItem{Task: encoder.WorkerTaskOf(running.task)})
	}
	for _, ended := range state.endedTasks {
		result := state.encodeResult(ended.result)
		items = append(items, encoder.WorkerInventoryItem{Task: encoder.WorkerTaskOf(ended.task), Result: &result})
	}
	return items
}

// encodeResult returns the wire form of a result. The Truncate switch cuts its answer in half.
func (state *state) encodeResult(result almondcross.TaskResult) encoder.WorkerResult {
	answer := result.Answer()
	workerresult := encoder.WorkerResult{
		ID: encoder.WorkerTaskIDOf(result.ID()), Attempt: result.Attempt(), Code: string(result.Code()),
		Answer: answer, AnswerBytes: len(answer), Checksum: encoder.WorkerChecksum(answer),
		RanUs: result.Ran().Microseconds(),
	}
	if state.faults.Truncate {
		workerresult.Answer = answer[:len(answer)/2]
	}
	return workerresult
}

func (renew renew) apply(state *state, now time.Time) {
	if state.abortIfRefusing(renew.responses) || state.rejectIfStale(renew.body.Term, renew.responses) {
		return
	}
	state.leaseUntil = now.Add(almondcross.HolderLease)
	for _, id := range renew.body.Tasks {
		if running, ok := state.running[id.Value()]; ok {
			running.leaseUntil = now.Add(almondcross.TaskLease)
		}
	}
	state.respond(renew.responses, answerer.Response{Body: encoder.WorkerRenewal{
		Leaving: state.faults.Leaving, Usage: encoder.WorkerResourcesOf(state.reportedUsage(now)),
	}})
}

func (release release) apply(state *state, now time.Time) {
	if state.abortIfRefusing(release.responses) || state.rejectIfStale(release.body.Term, release.responses) {
		return
	}
	state.leased = false
	state.recordHistory(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerLeaseReleased})
	state.respond(release.responses, answerer.Response{Body: encoder.WorkerEmptyResponse{}})
}

func (state *state) rejectIfStale(term encoder.WorkerTerm, responses responses) bool {
	if state.isCurrentTerm(term) {
		return false
	}
	state.respond(responses, staleTermResponse())
	return true
}

func staleTermResponse() answerer.Response {
	return answerer.ErrorResponse(http.StatusConflict, encoder.PlatformTermStale, "the term is not in force")
}

// apply starts a new boot without a lease. With KeepTasks, the tasks keep their leases and results.
func (restart restart) apply(state *state, now time.Time) {
	if !restart.body.KeepTasks {
		state.dropTasks(now)
	}
	state.boot++
	state.termCounter = 0
	state.leased = false
	state.leaseHolder = almondcross.MemberID{}
	state.clearStartedAttempts()
	state.recordHistory(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerBooted})
	state.config.Logger.WithFields(logrus.Fields{
		"worker": state.config.Name, "boot": state.boot, "tasks": len(state.running),
	}).Info("worker restarted")
	restart.responses <- answerer.Response{Body: encoder.WorkerEmptyResponse{}}
}

// dropTasks drops all tasks and results, as a reboot of the machine does.
func (state *state) dropTasks(now time.Time) {
	for id, running := range state.running {
		delete(state.running, id)
		state.setAllocated(state.allocated.Sub(running.task.Resources()), now)
		state.recordHistory(now, newTaskEntry(encoder.WorkerTaskDropped, running.task))
	}
	state.endedTasks = nil
	state.heldBytes = 0
}

func (state *state) clearStartedAttempts() {
	clear(state.startedAttempts)
	state.startedAttemptOrder = nil
}
