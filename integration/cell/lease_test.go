package cell_test

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	callTimeout     = time.Second
	usableLeaseTime = almondcross.HolderLease * 9 / 10
)

// call sends a command to a worker and runs the function that the command returns as its response. It runs
// onTimeout instead if the response is lost or arrives after callTimeout.
func (host *host) call(name string, command func(worker *worker) func(), onTimeout func()) {
	cell := host.cell
	worker := cell.workers[name]
	answered := false
	cell.runAfter(callTimeout, func() {
		if !answered {
			answered = true
			host.runOrDefer(onTimeout)
		}
	})
	if worker.unreachable {
		return
	}
	cell.runAt(cell.arrivalTime(host.name+">"+name), func() {
		if worker.unreachable {
			return
		}
		answer := command(worker)
		if worker.unreachable || cell.random.IntN(200) == 0 {
			return
		}
		cell.runAfter(networkDelay/2, func() {
			if !answered {
				answered = true
				host.runOrDefer(answer)
			}
		})
	})
}

func (host *host) applyDispatch(name string, message almondcross.DispatcherMessage) {
	lease, ok := host.leases[name]
	if !ok {
		return
	}
	switch message := message.(type) {
	case almondcross.AcquireLease:
		lease.wanted = true
		host.acquire(name, lease)
	case almondcross.ReleaseLease:
		host.release(name, lease)
	case almondcross.RenewTasks:
		if message.Term() == lease.term {
			lease.renewedTasks = message.IDs()
		}
	case almondcross.StartTask:
		host.startTask(name, lease, message)
	case almondcross.HaltTask:
		if lease.held && message.Term() == lease.term {
			host.call(name, func(worker *worker) func() {
				if worker.leaseValid(message.Term()) {
					running, ok := worker.tasks[message.ID()]
					if ok {
						worker.finish(message.ID(), running.task.Attempt(), message.Code())
					}
				}
				return func() {}
			}, func() {})
		}
	}
}

func (host *host) acquire(name string, lease *lease) {
	if !lease.wanted || lease.closed || lease.held || lease.acquiring {
		return
	}
	lease.acquiring = true
	sent := host.cell.now
	holder := host.self().ID()
	reportFailure := func() {
		lease.acquiring, lease.wanted = false, false
		host.sendToPlacer(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: name, Code: almondcross.CodeTargetLost}))
	}
	host.call(name, func(worker *worker) func() {
		grant, ok := worker.acquire(holder)
		if !ok {
			return reportFailure
		}
		return func() {
			lease.acquiring = false
			if lease.closed {
				return
			}
			lease.held, lease.term, lease.usableUntil = true, grant.Term(), sent.Add(usableLeaseTime)
			lease.renewedTasks, lease.lastEventIndex = nil, grant.Events()
			host.sendToPlacer(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{
				Target: almondcross.NewTarget(almondcross.TargetConfig{Name: name, DataCentre: dataCentre}), Grant: grant,
			}))
			host.scheduleRenewal(name, lease, grant.Term())
			host.pollEvents(name, lease, grant.Term())
		}
	}, reportFailure)
}

func (host *host) scheduleRenewal(name string, lease *lease, term almondcross.Term) {
	host.cell.runAfter(almondcross.RenewInterval, func() {
		host.runOrDefer(func() { host.renew(name, lease, term) })
	})
}

func (host *host) renew(name string, lease *lease, term almondcross.Term) {
	if !lease.held || lease.term != term || lease.closed {
		return
	}
	sent, renewedTasks := host.cell.now, lease.renewedTasks
	host.call(name, func(worker *worker) func() {
		if !worker.renew(term, renewedTasks) {
			return func() { host.loseLease(name, lease, term) }
		}
		leaving := worker.leaving
		return func() {
			if !lease.held || lease.term != term {
				return
			}
			lease.usableUntil = sent.Add(usableLeaseTime)
			host.sendToPlacer(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
				Target: name, Term: term, RenewedTasks: renewedTasks,
				Renewal: almondcross.NewRenewal(almondcross.RenewalConfig{Leaving: leaving}),
			}))
			host.scheduleRenewal(name, lease, term)
		}
	}, func() { host.loseLease(name, lease, term) })
}

func (host *host) startTask(name string, lease *lease, message almondcross.StartTask) {
	term, task := message.Term(), message.Task()
	if !lease.held || lease.term != term {
		return
	}
	if !host.cell.now.Before(lease.usableUntil) {
		host.loseLease(name, lease, term)
		return
	}
	host.call(name, func(worker *worker) func() {
		accepted, stale := worker.start(term, task)
		if stale {
			return func() { host.loseLease(name, lease, term) }
		}
		code := almondcross.CodeTaskFailed
		if worker.leaving {
			code = almondcross.CodeStopping
		}
		return func() {
			host.sendToPlacer(almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{
				Target: name, Term: term, ID: task.ID(), Attempt: task.Attempt(), Accepted: accepted, Code: code,
			}))
		}
	}, func() { host.loseLease(name, lease, term) })
}

func (host *host) loseLease(name string, lease *lease, term almondcross.Term) {
	if !lease.held || lease.term != term {
		return
	}
	lease.held, lease.wanted = false, false
	host.cell.tracef("%s loses its lease on %s", host.name, name)
	host.sendToPlacer(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{
		Target: name, Term: term, Code: almondcross.CodeTargetLost,
	}))
}

func (host *host) release(name string, lease *lease) {
	lease.wanted = false
	host.cell.tracef("%s releases its lease on %s", host.name, name)
	if !lease.held {
		return
	}
	term := lease.term
	reportRelease := func() {
		if lease.held && lease.term == term {
			lease.held = false
			host.sendToPlacer(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: name, Term: term}))
		}
	}
	host.call(name, func(worker *worker) func() {
		if worker.leaseValid(term) {
			worker.leaseUntil = time.Time{}
		}
		return reportRelease
	}, reportRelease)
}

func (host *host) closeLease(name string) {
	if lease, ok := host.leases[name]; ok {
		lease.closed = true
		delete(host.leases, name)
	}
}

// pollEvents reads the events of a term repeatedly, in place of the listener's long poll.
func (host *host) pollEvents(name string, lease *lease, term almondcross.Term) {
	pollAgain := func() {
		host.cell.runAfter(50*time.Millisecond, func() { host.runOrDefer(func() { host.pollEvents(name, lease, term) }) })
	}
	if !lease.held || lease.term != term || lease.closed {
		return
	}
	afterIndex := lease.lastEventIndex
	host.call(name, func(worker *worker) func() {
		if !worker.leaseValid(term) {
			return func() {}
		}
		events := worker.eventsAfter(afterIndex)
		return func() {
			if lease.held && lease.term == term {
				for _, ended := range events {
					host.sendToPlacer(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
						Target: name, Term: term,
						Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Index: ended.index, Result: ended.result}),
					}))
					lease.lastEventIndex = max(lease.lastEventIndex, ended.index)
				}
			}
			pollAgain()
		}
	}, pollAgain)
}
