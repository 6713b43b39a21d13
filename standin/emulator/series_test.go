package emulator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// Guards against an order that fails at once and is carried out all the same, and against a series that affects other
// workers, other orders than it should, or orders after its end.
func TestOrdersOfASeries(t *testing.T) {
	for name, test := range map[string]struct {
		fault          orderFault
		executed, done bool // executed is whether the worker carries out a start, done whether its host learns that.
	}{
		"none":          {executed: true, done: true},
		"reset":         {fault: orderFault{until: time.Minute, share: 1, reset: true}},
		"order lost":    {fault: orderFault{until: time.Minute, share: 1}},
		"answer lost":   {fault: orderFault{until: time.Minute, share: 1, answersLost: true}, executed: true},
		"leases only":   {fault: orderFault{until: time.Minute, leaseShare: 1}, executed: true, done: true},
		"ended earlier": {fault: orderFault{until: time.Second, share: 1}, executed: true, done: true},
	} {
		t.Run(name, func(t *testing.T) {
			simulation, worker, _ := newCheckedSimulation(t, 20*time.Second)
			simulation.events = nil
			simulation.faults.orders[worker] = test.fault
			executed, result := false, almondcross.OrderResult("")
			simulation.hosts[0].sendOrder(workerOrder{
				worker: worker.announcement, kind: orderStart, timeout: time.Second,
				execute: func(_ *modelWorker, _ delivery, reply func(func())) {
					executed = true
					reply(func() { result = almondcross.OrderDone })
				},
				onFailure: func(failure almondcross.OrderResult) { result = failure },
			})
			simulation.end = simulation.now + 2*time.Second
			simulation.Run()
			require.Equal(t, test.executed, executed)
			want := almondcross.OrderUnknown
			if test.done {
				want = almondcross.OrderDone
			}
			require.Equal(t, want, result)
		})
	}
}

// Guards against a series that kills one scheduler only.
func TestSeriesKillsOneSchedulerAfterTheOther(t *testing.T) {
	simulation, err := New(Config{Seed: 1, Hosts: 5, Workers: 1, JobsPerSec: 1, Retention: time.Minute})
	require.NoError(t, err)
	simulation.schedule(5*time.Second, func() {
		simulation.injectFault(Fault{Kind: KillSeries, Duration: 4 * time.Second})
	})
	simulation.end = 20 * time.Second
	simulation.Run()
	kills := 0
	for _, host := range simulation.hosts {
		kills += host.incarnation / 2 // A start and a kill count one each.
	}
	require.Greater(t, kills, 3)
}

// Guards against a paused host that answers a caller, and against one that takes no note of a job that it forwarded before.
func TestPausedHostAnswersLater(t *testing.T) {
	simulation, host, job := newAskedHost(t)
	answers := []string{}
	host.forwardIntake(host, almondcross.NewIntake(almondcross.IntakeConfig{Job: job.spec}), forwardAnswers{
		noted: func() { answers = append(answers, "noted") }, stored: func() { answers = append(answers, "stored") },
		refused: func() { answers = append(answers, "refused") }, lost: func() { answers = append(answers, "lost") },
	})
	host.frozenUntil = simulation.now + 2*callerTimeout
	for _, stored := range simulation.forwardCallbacks {
		stored(false)
	}
	simulation.schedule(callerTimeout+time.Millisecond, func() { require.Equal(t, []string{"lost"}, answers) })
	simulation.end = simulation.now + 3*callerTimeout
	simulation.Run()
	require.Equal(t, []string{"lost", "noted"}, answers)
}

// Guards against a worker that keeps its kind or its identity wrongly when it restarts as another kind.
func TestWorkerRestartsAsAnotherKind(t *testing.T) {
	simulation, worker, _ := newCheckedSimulation(t, 20*time.Second)
	simulation.events = nil
	id := worker.id
	require.True(t, worker.announcement.HasLabel(kinds[0]))
	simulation.changeKind(worker, time.Second)
	simulation.end = simulation.now + 2*time.Second
	simulation.Run()
	require.True(t, worker.up)
	require.Equal(t, id, worker.id)
	require.True(t, worker.announcement.HasLabel(kinds[1]))
	require.False(t, worker.announcement.HasLabel(kinds[0]))
}
