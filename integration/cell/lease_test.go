package cell_test

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	callTimeout = time.Second
	usableLease = almondcross.HolderLease * 9 / 10
)

// call sends a command to a worker and delivers the answer, which may be lost on the way or come
// when the host no longer waits for it.
func (host *host) call(name string, command func(worker *worker) func(), lost func()) {
	world := host.world
	worker := world.workers[name]
	answered := false
	world.after(callTimeout, func() {
		if !answered {
			answered = true
			host.run(lost)
		}
	})
	if worker.unreachable {
		return
	}
	world.at(world.delay(host.name+">"+name), func() {
		if worker.unreachable {
			return
		}
		answer := command(worker)
		if worker.unreachable || world.random.IntN(200) == 0 {
			return
		}
		world.after(networkDelay/2, func() {
			if !answered {
				answered = true
				host.run(answer)
			}
		})
	})
}

func (host *host) dispatch(name string, message almondcross.DispatcherMessage) {
	link, ok := host.links[name]
	if !ok {
		return
	}
	switch message := message.(type) {
	case almondcross.AcquireLease:
		link.wanted = true
		host.acquire(name, link)
	case almondcross.ReleaseLease:
		host.release(name, link)
	case almondcross.RenewTasks:
		if message.Term() == link.term {
			link.named = message.IDs()
		}
	case almondcross.StartTask:
		host.startTask(name, link, message)
	case almondcross.HaltTask:
		if link.holding && message.Term() == link.term {
			host.call(name, func(worker *worker) func() {
				if worker.inForce(message.Term()) {
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

func (host *host) acquire(name string, link *lease) {
	if !link.wanted || link.dropped || link.holding || link.acquiring {
		return
	}
	link.acquiring = true
	sent := host.world.now
	holder := host.self().ID()
	again := func() {
		link.acquiring, link.wanted = false, false
		host.place(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: name, Code: almondcross.CodeTargetLost}))
	}
	host.call(name, func(worker *worker) func() {
		grant, ok := worker.acquire(holder)
		if !ok {
			return again
		}
		return func() {
			link.acquiring = false
			if link.dropped {
				return
			}
			link.holding, link.term, link.usableUntil = true, grant.Term(), sent.Add(usableLease)
			link.named, link.after = nil, grant.Events()
			host.place(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{
				Target: almondcross.NewTarget(almondcross.TargetConfig{Name: name, DataCentre: dataCentre}), Grant: grant,
			}))
			host.renewLater(name, link, grant.Term())
			host.follow(name, link, grant.Term())
		}
	}, again)
}

func (host *host) renewLater(name string, link *lease, term almondcross.Term) {
	host.world.after(almondcross.RenewInterval, func() {
		host.run(func() { host.renew(name, link, term) })
	})
}

func (host *host) renew(name string, link *lease, term almondcross.Term) {
	if !link.holding || link.term != term || link.dropped {
		return
	}
	sent, named := host.world.now, link.named
	host.call(name, func(worker *worker) func() {
		if !worker.renew(term, named) {
			return func() { host.loseLease(name, link, term) }
		}
		leaving := worker.leaving
		return func() {
			if !link.holding || link.term != term {
				return
			}
			link.usableUntil = sent.Add(usableLease)
			host.place(almondcross.NewTargetRenewed(almondcross.TargetRenewedConfig{
				Target: name, Term: term, Named: named,
				Renewal: almondcross.NewRenewal(almondcross.RenewalConfig{Leaving: leaving}),
			}))
			host.renewLater(name, link, term)
		}
	}, func() { host.loseLease(name, link, term) })
}

func (host *host) startTask(name string, link *lease, message almondcross.StartTask) {
	term, task := message.Term(), message.Task()
	if !link.holding || link.term != term {
		return
	}
	if !host.world.now.Before(link.usableUntil) {
		host.loseLease(name, link, term)
		return
	}
	host.call(name, func(worker *worker) func() {
		accepted, stale := worker.start(term, task)
		if stale {
			return func() { host.loseLease(name, link, term) }
		}
		code := almondcross.CodeTaskFailed
		if worker.leaving {
			code = almondcross.CodeStopping
		}
		return func() {
			host.place(almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{
				Target: name, Term: term, ID: task.ID(), Attempt: task.Attempt(), Accepted: accepted, Code: code,
			}))
		}
	}, func() { host.loseLease(name, link, term) })
}

func (host *host) loseLease(name string, link *lease, term almondcross.Term) {
	if !link.holding || link.term != term {
		return
	}
	link.holding, link.wanted = false, false
	host.world.note("%s loses its lease of %s", host.name, name)
	host.place(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{
		Target: name, Term: term, Code: almondcross.CodeTargetLost,
	}))
}

func (host *host) release(name string, link *lease) {
	link.wanted = false
	host.world.note("%s releases its lease of %s", host.name, name)
	if !link.holding {
		return
	}
	term := link.term
	done := func() {
		if link.holding && link.term == term {
			link.holding = false
			host.place(almondcross.NewTargetReleased(almondcross.TargetReleasedConfig{Target: name, Term: term}))
		}
	}
	host.call(name, func(worker *worker) func() {
		if worker.inForce(term) {
			worker.leaseUntil = time.Time{}
		}
		return done
	}, done)
}

func (host *host) dropLease(name string) {
	if link, ok := host.links[name]; ok {
		link.dropped = true
		delete(host.links, name)
	}
}

// follow reads the events of a term, as the listener does with a long poll.
func (host *host) follow(name string, link *lease, term almondcross.Term) {
	again := func() {
		host.world.after(50*time.Millisecond, func() { host.run(func() { host.follow(name, link, term) }) })
	}
	if !link.holding || link.term != term || link.dropped {
		return
	}
	after := link.after
	host.call(name, func(worker *worker) func() {
		if !worker.inForce(term) {
			return func() {}
		}
		events := worker.eventsAfter(after)
		return func() {
			if link.holding && link.term == term {
				for _, ended := range events {
					host.place(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
						Target: name, Term: term,
						Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Index: ended.index, Result: ended.result}),
					}))
					link.after = max(link.after, ended.index)
				}
			}
			again()
		}
	}, again)
}
