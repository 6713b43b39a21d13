package placer_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/policy/admitter"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/packer"
	"github.com/almondcross/almondcross/policy/sharer"
	"github.com/almondcross/almondcross/ring"
)

// environment fakes what the placer depends on: dispatchers, peers, accountant, decision recorder and clock.
type environment struct {
	dispatch *ring.Ring[almondcross.DispatcherMessage]
	linkFull atomic.Bool
	sent     *ring.Ring[almondcross.PeerMessage]
}

func (environment *environment) Create(almondcross.Target) almondcross.Sink[almondcross.DispatcherMessage] {
	return environment.dispatch
}
func (environment *environment) Drop(string)                      {}
func (environment *environment) Account(almondcross.AccountEvent) {}
func (environment *environment) Record(almondcross.DecisionEvent) {}
func (environment *environment) Now() time.Time                   { return time.Now() }
func (environment *environment) Send(_ string, message almondcross.PeerMessage) bool {
	return !environment.linkFull.Load() && environment.sent.Offer(message)
}

// TestReportsSurviveFullRings guards against lost reports and starts when the coordinator's ring is full, a
// link is full, and the dispatcher's ring refuses a start.
func TestReportsSurviveFullRings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inbox := ring.New[almondcross.PlacerMessage](ring.Config{Name: "placer", Capacity: 64})
		reported := ring.New[almondcross.CoordinatorMessage](ring.Config{Name: "coordinator", Capacity: 1})
		environment := &environment{
			dispatch: ring.New[almondcross.DispatcherMessage](ring.Config{Name: "dispatch", Capacity: 1}),
			sent:     ring.New[almondcross.PeerMessage](ring.Config{Name: "link", Capacity: 64}),
		}
		duty := placer.New(placer.Config{
			Ring: inbox, Dispatchers: environment, Peers: environment, Coordinator: reported, Accounter: environment, Decisions: environment, Clock: environment,
			Registrar: ring.New[almondcross.RegistrarMessage](ring.Config{Name: "registrar", Capacity: 64}),
			Policies: placer.Policies{
				Placement: packer.New(), Share: sharer.New(), Estimator: estimator.New(), Admission: admitter.New(),
			},
		})
		ended := make(chan error, 1)
		go func() { ended <- duty.Run(ctx) }()
		cell := newCell(t, 1)
		cell.addPeer("h1", almondcross.Summary{})
		put := func(messages ...almondcross.PlacerMessage) {
			for _, message := range messages {
				require.NoError(t, inbox.Put(ctx, message))
			}
			synctest.Wait()
		}
		// The peer is leaving, so this host holds the target; the peer coordinates one of the tasks.
		peer := cell.view.Peers["h1"].WithLeaseUntil(time.Now().Add(time.Hour))
		cell.view.Peers["h1"] = peer.WithMember(peer.Member().WithLeaving(true))
		put(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(cell.view)}),
			almondcross.NewTargetsListed(almondcross.TargetsListedConfig{Hosts: almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Targets: cell.liveTargets})}))
		require.IsType(t, almondcross.AcquireLease{}, <-environment.dispatch.Messages())
		term := almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: 1})
		put(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Grant: almondcross.NewGrant(almondcross.GrantConfig{
			Target: "t0000", Term: term, Capacity: capacity,
		})}))
		<-time.After(time.Second)
		synctest.Wait()
		require.Len(t, duty.HeldTargets(), 1)

		// The ring of the dispatcher still contains the RenewTasks of the grant and refuses the start.
		localTask, peerTask := cell.task("a", "batch", 1), cell.task("a", "batch", 2).WithCoordinator(peer.Member().ID())
		put(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: localTask}))
		<-environment.dispatch.Messages()
		put(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: peerTask}))
		environment.linkFull.Store(true)
		answer := func(task almondcross.Task) almondcross.PlacerMessage {
			return almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{Target: "t0000", Term: term, ID: task.ID(), Attempt: 1, Accepted: true})
		}
		started := map[almondcross.TaskID]bool{}
		for len(started) < 2 {
			message := <-environment.dispatch.Messages()
			if start, ok := message.(almondcross.StartTask); ok {
				started[start.Task().ID()] = true
			}
			synctest.Wait()
		}
		put(answer(localTask), answer(peerTask), almondcross.NewStopTask(almondcross.StopTaskConfig{ID: localTask.ID(), Attempt: 1}))
		finished := almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: localTask.ID(), Attempt: 1})
		put(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
			Target: "t0000", Term: term, Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Result: finished}),
		}))
		require.IsType(t, almondcross.TaskStarted{}, <-reported.Messages())
		require.IsType(t, almondcross.TaskEnded{}, <-reported.Messages())
		require.Zero(t, environment.sent.Depth())
		environment.linkFull.Store(false)
		<-time.After(time.Second)
		synctest.Wait()
		require.Equal(t, 1, environment.sent.Depth())
		cancel()
		require.NoError(t, <-ended)
	})
}
