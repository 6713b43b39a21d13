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
	body    encoder.WorkerAcquire
	answers answers
}

type renew struct {
	body    encoder.WorkerRenew
	answers answers
}

type release struct {
	body    encoder.WorkerRelease
	answers answers
}

type restart struct {
	body    encoder.WorkerRestart
	answers answers
}

func (acquire acquire) apply(state *state, now time.Time) {
	if state.refusesConnection(acquire.answers) {
		return
	}
	// The holder may acquire again after an unanswered call; the new term ends its own old one.
	if holder := acquire.body.Holder.Value(); state.leased && holder != state.holder {
		state.answer(acquire.answers, answerer.ErrorResponse(
			http.StatusConflict, encoder.PlatformLeaseHeld, "the lease is held by "+state.holder.Name()))
		return
	}
	state.counter++
	state.leased = true
	state.leaseUntil = now.Add(almondcross.HolderLease)
	state.holder = acquire.body.Holder.Value()
	state.forgetStarts()
	state.record(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerGranted})
	state.answer(acquire.answers, answerer.Response{Body: encoder.WorkerGrant{
		Target: state.config.Name, Term: state.term(), Capacity: encoder.WorkerResourcesOf(state.config.Capacity),
		Leaving: state.switches.Leaving, Inventory: state.inventory(), Events: state.events,
	}})
}

// inventory returns the running tasks and the ended ones that are not acknowledged.
func (state *state) inventory() []encoder.WorkerItem {
	items := make([]encoder.WorkerItem, 0, len(state.running)+len(state.ended))
	for _, running := range state.running {
		items = append(items, encoder.WorkerItem{Task: encoder.WorkerTaskOf(running.task)})
	}
	for _, ended := range state.ended {
		result := state.resultOf(ended.result)
		items = append(items, encoder.WorkerItem{Task: encoder.WorkerTaskOf(ended.task), Result: &result})
	}
	return items
}

// resultOf returns the wire shape of a result, with its answer cut short when the switch says so.
func (state *state) resultOf(result almondcross.TaskResult) encoder.WorkerResult {
	answer := result.Answer()
	shape := encoder.WorkerResult{
		ID: encoder.WorkerTaskIDOf(result.ID()), Attempt: result.Attempt(), Code: string(result.Code()),
		Answer: answer, AnswerBytes: len(answer), Checksum: encoder.WorkerChecksum(answer),
		RanUs: result.Ran().Microseconds(),
	}
	if state.switches.Truncate {
		shape.Answer = answer[:len(answer)/2]
	}
	return shape
}

func (renew renew) apply(state *state, now time.Time) {
	if state.refusesConnection(renew.answers) || state.isStale(renew.body.Term, renew.answers) {
		return
	}
	state.leaseUntil = now.Add(almondcross.HolderLease)
	for _, id := range renew.body.Tasks {
		if running, ok := state.running[id.Value()]; ok {
			running.leaseUntil = now.Add(almondcross.TaskLease)
		}
	}
	state.answer(renew.answers, answerer.Response{Body: encoder.WorkerRenewed{
		Leaving: state.switches.Leaving, Usage: encoder.WorkerResourcesOf(state.reported(now)),
	}})
}

func (release release) apply(state *state, now time.Time) {
	if state.refusesConnection(release.answers) || state.isStale(release.body.Term, release.answers) {
		return
	}
	state.leased = false
	state.record(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerReleased})
	state.answer(release.answers, answerer.Response{Body: encoder.WorkerDone{}})
}

func (state *state) isStale(term encoder.WorkerTerm, answers answers) bool {
	if state.inForce(term) {
		return false
	}
	state.answer(answers, staleAnswer())
	return true
}

func staleAnswer() answerer.Response {
	return answerer.ErrorResponse(http.StatusConflict, encoder.PlatformTermStale, "the term is not in force")
}

// apply begins a new boot without a lease. Surviving tasks keep their leases and results.
func (restart restart) apply(state *state, now time.Time) {
	if !restart.body.KeepTasks {
		state.vanish(now)
	}
	state.boot++
	state.counter = 0
	state.leased = false
	state.holder = almondcross.MemberID{}
	state.forgetStarts()
	state.record(now, encoder.WorkerHistoryEntry{Kind: encoder.WorkerBooted})
	state.config.Logger.WithFields(logrus.Fields{
		"worker": state.config.Name, "boot": state.boot, "tasks": len(state.running),
	}).Info("worker restarted")
	restart.answers <- answerer.Response{Body: encoder.WorkerDone{}}
}

// vanish drops all tasks and results, as a restart of the machine does.
func (state *state) vanish(now time.Time) {
	for id, running := range state.running {
		delete(state.running, id)
		state.allocate(state.allocated.Sub(running.task.Resources()), now)
		state.record(now, entryOf(encoder.WorkerVanished, running.task))
	}
	state.ended = nil
	state.heldBytes = 0
}

func (state *state) forgetStarts() {
	clear(state.started)
	state.startedOrder = nil
}
