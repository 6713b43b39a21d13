package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
)

// adviceService models the advice service for the calls of one host: it handles them one at a time, and each call and its
// answer are half a round trip on the way.
type adviceService struct {
	roundTrip time.Duration
	freeAt    time.Time // freeAt is when the service has handled all calls.
	pending   []pendingAdvice
	maxCalls  int           // maxCalls is the highest number of calls that were under way at once.
	maxWait   time.Duration // maxWait is the longest time that a call waited at the service.
}

// pendingAdvice is an answer on the way to the scheduler.
type pendingAdvice struct {
	call SendAdviceQuery
	at   time.Time
}

// take lets the service handle the calls that the scheduler has sent.
func (adviceservice *adviceService) take(harness *harness) {
	for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
		settings := harness.machine.queues["q"].AdviceSettings()
		arrival := harness.now.Add(adviceservice.roundTrip / 2)
		adviceservice.maxWait = max(adviceservice.maxWait, adviceservice.freeAt.Sub(arrival))
		if arrival.After(adviceservice.freeAt) {
			adviceservice.freeAt = arrival
		}
		adviceservice.freeAt = adviceservice.freeAt.Add(settings.Base() + time.Duration(len(call.Query.Workers()))*settings.PerWorker())
		adviceservice.pending = append(adviceservice.pending, pendingAdvice{call: call, at: adviceservice.freeAt.Add(adviceservice.roundTrip / 2)})
		adviceservice.maxCalls = max(adviceservice.maxCalls, len(adviceservice.pending))
	}
}

// answerNext waits for the next answer, which has a ticket for each worker.
func (adviceservice *adviceService) answerNext(harness *harness) {
	next := adviceservice.pending[0]
	adviceservice.pending = adviceservice.pending[1:]
	for harness.now.Before(next.at) {
		for _, worker := range harness.machine.leader.workers {
			worker.lastAnswerAt = harness.now
		}
		harness.advance(min(time.Millisecond, next.at.Sub(harness.now)))
		adviceservice.take(harness)
	}
	var tickets []almondcross.Ticket
	for _, worker := range next.call.Query.Workers() {
		tickets = append(tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: worker}))
	}
	harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: next.call.Adviser, Query: next.call.Query, Received: harness.now,
		Result: almondcross.NewAdviceResult(almondcross.AdviceResultConfig{Stage: next.call.Query.Stage(), Tickets: tickets}),
	}))
	harness.advance(minPlacementInterval)
	adviceservice.take(harness)
}

// newBacklog returns a scheduler without other hosts, with stages that wait for advice.
func newBacklog(t *testing.T, stages int, settings almondcross.AdviceSettingsConfig) *harness {
	t.Helper()
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.addWorkers(10, almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 32_000, MemoryMB: 32_000}), almondcross.Resources{})
	settings.Required, settings.Validity = true, 2*time.Second
	harness.machine.queues["q"] = harness.machine.queues["q"].WithAdviceSettings(almondcross.NewAdviceSettings(settings))
	for index := range stages {
		harness.machine.admitJob(almondcross.NewJob(almondcross.JobConfig{
			ID: almondcross.JobID(fmt.Sprintf("%016x", index)), Queue: "q", Submitted: harness.now,
			Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000})})},
		}), almondcross.QueueSettings{})
	}
	harness.advance(leaderTick)
	return harness
}

// Guards against a backlog that waits for round trips to the advice service: with one call under way, the only host of a
// region without the service got 20 of the 160 answers a second that the service could give it. Further calls wait at the
// service only while it would otherwise be idle, so that a stage that becomes ready later and is more urgent does not wait
// for calls sent before.
func TestBacklogOfCallsIsBoundByTheServiceNotByTheRoundTrip(t *testing.T) {
	const stages = 20
	short := almondcross.AdviceSettingsConfig{Base: 5600 * time.Microsecond, PerWorker: 80 * time.Microsecond}
	for name, test := range map[string]struct {
		settings  almondcross.AdviceSettingsConfig
		roundTrip time.Duration
	}{
		"another region":             {settings: short, roundTrip: 42 * time.Millisecond},
		"calls as long as the trip":  {settings: almondcross.AdviceSettingsConfig{Base: 42 * time.Millisecond}, roundTrip: 42 * time.Millisecond},
		"longer than the round trip": {settings: almondcross.AdviceSettingsConfig{Base: 390 * time.Millisecond}, roundTrip: 42 * time.Millisecond},
		"the region of the service":  {settings: short, roundTrip: 2 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			harness, service := newBacklog(t, stages, test.settings), &adviceService{roundTrip: test.roundTrip}
			began := harness.now
			service.take(harness)
			var work time.Duration
			for range stages {
				require.NotEmpty(t, service.pending, "a stage waits without a call")
				workers := len(service.pending[0].call.Query.Workers())
				work += test.settings.Base + time.Duration(workers)*test.settings.PerWorker
				service.answerNext(harness)
			}
			require.Empty(t, service.pending, "each stage needs one call")
			require.LessOrEqual(t, service.maxCalls, 8)
			// The scheduler takes up to a pause between two passes to handle an answer.
			require.LessOrEqual(t, service.maxWait, test.roundTrip+minPlacementInterval)
			if test.roundTrip > leaderTick { // Passes are a tick apart while nothing happens.
				require.Less(t, harness.now.Sub(began), work+3*test.roundTrip, "the service was idle")
			}
		})
	}
}

// Guards against stages that wait for the answers of a host that is gone: all calls that were under way there are made again
// by another host once one of them has timed out or the link has ended.
func TestCallsOfALostHostAreMadeAgain(t *testing.T) {
	const roundTrip, stages = 42 * time.Millisecond, 8
	for name, lose := range map[string]func(harness *harness, host string){
		"no answer": func(harness *harness, _ string) { harness.advance(adviceTimeoutMargin + 2*roundTrip) },
		"link ended": func(harness *harness, host string) {
			harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: host}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newBacklog(t, 0, almondcross.AdviceSettingsConfig{Base: 5 * time.Millisecond})
			harness.machine.linkedHosts["far"] = &linkedHost{name: "far", roundTrip: roundTrip}
			harness.machine.linkedHosts["h-1"].retryAt = harness.now.Add(adviceTimeoutMargin)
			for index := range stages {
				harness.submitJob(almondcross.JobID(fmt.Sprintf("%016x", index)), almondcross.StepConfig{Count: 1})
			}
			lost := map[almondcross.StageID]bool{}
			for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
				require.Equal(t, "far", call.Adviser)
				lost[call.Query.Stage()] = true
			}
			require.Greater(t, len(lost), 1)
			harness.machine.linkedHosts["h-1"].roundTrip, harness.machine.linkedHosts["h-1"].retryAt = roundTrip, harness.now
			for _, worker := range harness.machine.leader.workers {
				worker.lastAnswerAt = harness.now.Add(2 * time.Second)
			}
			lose(harness, "far")
			harness.advance(leaderTick)
			again := map[almondcross.StageID]bool{}
			for call, found := takeEffect[SendAdviceQuery](harness); found; call, found = takeEffect[SendAdviceQuery](harness) {
				require.Equal(t, "h-1", call.Adviser)
				require.False(t, again[call.Query.Stage()], "a stage has one call under way")
				again[call.Query.Stage()] = true
				require.Equal(t, 1, harness.machine.leader.advice[call.Query.Stage()].pendingCalls)
			}
			for stage := range lost {
				require.True(t, again[stage], "%s waits", stage)
			}
		})
	}
}

// Guards against a backlog of calls at a host that does not answer, each of which would wait until it is given up.
func TestHostWithAnOverdueAnswerGetsNoFurtherCalls(t *testing.T) {
	const roundTrip, stages = 42 * time.Millisecond, 8
	harness := newBacklog(t, 0, almondcross.AdviceSettingsConfig{Base: 30 * time.Millisecond})
	harness.machine.linkedHosts["h-1"].roundTrip = roundTrip
	for index := range stages {
		harness.submitJob(almondcross.JobID(fmt.Sprintf("%016x", index)), almondcross.StepConfig{Count: 1})
	}
	calls := 0
	for range 40 {
		for _, found := takeEffect[SendAdviceQuery](harness); found; _, found = takeEffect[SendAdviceQuery](harness) {
			calls++
		}
		harness.advance(leaderTick)
	}
	// The answer to the first call is expected after 72 ms. The calls that arrive at the service within 72 ms and wait there
	// for less than a round trip are at most four.
	require.Positive(t, calls)
	require.LessOrEqual(t, calls, 4)
}

// Guards against a round trip that is estimated too long: from a call that waited for others before it, or from a host whose
// answers are delayed for a while.
func TestRoundTripOfAHostIsMeasured(t *testing.T) {
	const work = 6 * time.Millisecond
	host := &linkedHost{}
	host.noteRoundTrip(adviceCall{work: work}, 100*time.Millisecond)
	require.Zero(t, host.roundTrip, "the call may have waited for others")
	host.noteRoundTrip(adviceCall{work: work, alone: true}, 10*time.Second)
	require.Equal(t, maxRoundTrip, host.roundTrip)
	host.noteRoundTrip(adviceCall{work: work}, 48*time.Millisecond)
	require.Equal(t, 42*time.Millisecond, host.roundTrip, "a shorter one counts at once")
	host.noteRoundTrip(adviceCall{work: work}, 90*time.Millisecond)
	require.Equal(t, 42*time.Millisecond, host.roundTrip)
	host.noteRoundTrip(adviceCall{work: work, alone: true}, 58*time.Millisecond)
	require.InDelta(t, 43*time.Millisecond, host.roundTrip, float64(time.Microsecond), "a longer one counts by its weight")
	host.noteRoundTrip(adviceCall{work: work, alone: true}, 0)
	require.Zero(t, host.roundTrip)
}

// Guards against stages that wait although a host can reach the service: the first idle host by name could not, was idle again at once,
// and got each retry (seed 130 of the soak with a full state).
func TestRetriesGoToHostsWhoseCallsSucceed(t *testing.T) {
	harness := newBacklog(t, 0, almondcross.AdviceSettingsConfig{Base: 5 * time.Millisecond})
	const failing, healthy = "a", "b"
	for _, host := range []string{failing, healthy} {
		harness.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: host, Present: true}))
	}
	delete(harness.machine.linkedHosts, harness.machine.config.Host)
	harness.submitJob("j", almondcross.StepConfig{Count: 1, Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000})})
	harness.advance(leaderTick)
	call := requireEffect[SendAdviceQuery](harness)
	require.Equal(t, failing, call.Adviser)
	harness.apply(almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{
		Adviser: failing, Query: call.Query, Received: harness.now, Err: errors.New("the service cannot be reached"),
	}))
	harness.advance(2 * adviceRetryDelay)
	require.Equal(t, healthy, requireEffect[SendAdviceQuery](harness).Adviser)
}
