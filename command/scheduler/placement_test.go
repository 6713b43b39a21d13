package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against placement that costs more the longer the backlog is: with gangs that wait for room on a full fleet, each
// pass once looked at every worker for each of them, until the scheduler's processor did nothing else and the backlog
// grew. Looking at each worker once, and twice at those that advice allows for a gang (to place and to reserve), suffices.
func TestPlacementUnderBacklogLooksAtAllowedWorkers(t *testing.T) {
	const workers, gangs, allowedWorkers = 540, 60, 40
	harness := newHarness(t)
	harness.becomeScheduler()
	machine := harness.machine
	full := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000, MemoryMB: 32_000})
	for index := range workers {
		worker := machine.ensureWorker(fmt.Sprintf("i-%03d", index))
		worker.info = poolWorker.WithID(worker.id).WithCapacity(full)
		worker.announced, worker.lastAnswerAt, worker.used = true, harness.now.Add(time.Second), full
	}
	machine.queues["q"] = machine.queues["q"].WithAdviceSettings(almondcross.NewAdviceSettings(almondcross.AdviceSettingsConfig{
		Required: true, Base: 500 * time.Millisecond, PerWorker: 7 * time.Millisecond, Validity: time.Minute,
	}))
	machine.linkedHosts[machine.config.Host].call = &adviceCall{long: true, deadline: harness.now.Add(time.Minute)}
	for index := range gangs {
		id := almondcross.JobID(fmt.Sprintf("%016x", index))
		harness.submitJob(id, almondcross.StepConfig{Count: 16, Gang: true})
		var tickets []almondcross.Ticket
		for allowed := range allowedWorkers {
			tickets = append(tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: fmt.Sprintf("i-%03d", (index*7+allowed*13)%workers)}))
		}
		stage := almondcross.StageID{Job: id}
		machine.ensureAdvice(stage)
		harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
			Query:    almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{Stage: stage}),
			Result:   almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: stage, Tickets: tickets, Validity: time.Minute}),
			Received: harness.now,
		}))
	}
	harness.advance(leaderTick)
	require.Len(t, machine.leader.waitingStages, gangs)
	require.LessOrEqual(t, machine.leader.examinedWorkers, workers+1+2*gangs*allowedWorkers)
	require.Greater(t, machine.leader.examinedWorkers, workers+gangs*allowedWorkers, "the gangs were looked at")
}
