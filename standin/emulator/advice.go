package emulator

import (
	"fmt"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
)

// queryAdvice sends an advice query over the link to the host that makes the advice call.
func (modelhost *modelHost) queryAdvice(query scheduler.SendAdviceQuery) {
	simulation := modelhost.simulation
	for _, host := range simulation.hosts {
		if host.name != query.Adviser {
			continue
		}
		if host != modelhost {
			simulation.traffic.sent(modelhost, query.Query, 1)
		}
		reply := func(response almondcross.AdviceAnswered) {
			if host != modelhost {
				simulation.traffic.received(modelhost, response)
			}
			simulation.schedule(simulation.linkHold(modelhost, host)+linkDelay, func() { modelhost.deliver(response.WithAdviser(host.name).WithReceived(simulation.wallTime())) })
		}
		simulation.schedule(simulation.linkHold(modelhost, host)+linkDelay, func() {
			if host.up {
				host.runUnfrozen(func() { host.processQuery(queuedQuery{query: query.Query, reply: reply}) })
			}
		})
	}
}

func (modelhost *modelHost) processQuery(queued queuedQuery) {
	if modelhost.adviceInProgress {
		modelhost.queuedQueries = append(modelhost.queuedQueries, queued)
		return
	}
	modelhost.adviceInProgress = true
	simulation, job := modelhost.simulation, modelhost.simulation.jobs[queued.query.Stage().Job]
	duration := 10 * time.Millisecond
	if job != nil {
		if queue, known := simulation.everyQueue[job.spec.Queue()]; known {
			duration = queue.AdviceSettings().Base() + time.Duration(len(queued.query.Workers()))*queue.AdviceSettings().PerWorker()
		}
	}
	modelhost.schedule(duration, func() {
		modelhost.adviceInProgress = false
		queued.reply(simulation.advise(queued.query))
		if len(modelhost.queuedQueries) > 0 {
			next := modelhost.queuedQueries[0]
			modelhost.queuedQueries = modelhost.queuedQueries[1:]
			modelhost.processQuery(next)
		}
	})
}

func (simulation *Simulation) advise(query almondcross.AdviceQuery) almondcross.AdviceAnswered {
	result := almondcross.AdviceResultConfig{Stage: query.Stage(), Asked: query.Workers(), Validity: simulation.advice.validity}
	for _, id := range query.Workers() {
		worker := simulation.worker(id)
		if worker == nil || !simulation.advice.allows(query.Stage(), id) {
			continue
		}
		simulation.advice.ticketCount++
		secret := fmt.Sprintf("t%d", simulation.advice.ticketCount)
		simulation.advice.issuedTickets[secret] = issuedTicket{stage: query.Stage(), worker: id, bootMillis: worker.bootMillis, validUntil: simulation.now + simulation.advice.validity}
		result.Tickets = append(result.Tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: id, Secret: secret}))
	}
	return almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{Query: query, Result: almondcross.NewAdviceResult(result)})
}

// adviceModel allows a fraction of the workers for each stage and issues tickets, each valid for one
// incarnation of a worker.
type adviceModel struct {
	allowedShare  float64
	validity      time.Duration
	seed          uint64
	issuedTickets map[string]issuedTicket
	ticketCount   int
}

type issuedTicket struct {
	stage      almondcross.StageID
	worker     string
	bootMillis int64
	validUntil time.Duration
}

func (advicemodel *adviceModel) allows(stage almondcross.StageID, worker string) bool {
	return randomFor(advicemodel.seed, stage.String()+worker).Float64() < advicemodel.allowedShare
}

func (advicemodel *adviceModel) validTicket(stage almondcross.StageID, worker *modelWorker, secret string, now time.Duration) bool {
	ticket, known := advicemodel.issuedTickets[secret]
	return known && ticket.stage == stage && ticket.worker == worker.id && ticket.bootMillis == worker.bootMillis && now <= ticket.validUntil
}

// needsAdvice reports whether the queue of a stage is one with advice.
func (simulation *Simulation) needsAdvice(stage almondcross.StageID) bool {
	job := simulation.jobs[stage.Job]
	return job != nil && simulation.everyQueue[job.spec.Queue()].AdviceSettings().Required()
}
