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

// outside is what the duty reaches: dispatchers, peers, accountant and clock.
type outside struct {
	dispatch *ring.Ring[almondcross.DispatcherMessage]
	linkFull atomic.Bool
	sent     *ring.Ring[almondcross.PeerMessage]
}

func (outside *outside) Create(almondcross.Target) almondcross.Sink[almondcross.DispatcherMessage] {
	return outside.dispatch
}
func (outside *outside) Drop(string)                      {}
func (outside *outside) Account(almondcross.AccountEvent) {}
func (outside *outside) Record(almondcross.StoryEvent)    {}
func (outside *outside) Now() time.Time                   { return time.Now() }
func (outside *outside) Send(_ string, message almondcross.PeerMessage) bool {
	return !outside.linkFull.Load() && outside.sent.Offer(message)
}

// TestDuty guards against lost reports: the coordinator's ring is full, a link is full, and the
// dispatcher's ring refuses a start.
func TestDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		inbox := ring.New[almondcross.PlacerMessage](ring.Config{Name: "placer", Capacity: 64})
		reported := ring.New[almondcross.CoordinatorMessage](ring.Config{Name: "coordinator", Capacity: 1})
		outside := &outside{
			dispatch: ring.New[almondcross.DispatcherMessage](ring.Config{Name: "dispatch", Capacity: 1}),
			sent:     ring.New[almondcross.PeerMessage](ring.Config{Name: "link", Capacity: 64}),
		}
		duty := placer.New(placer.Config{
			Ring: inbox, Dispatchers: outside, Peers: outside, Coordinator: reported, Accounter: outside, Stories: outside, Clock: outside,
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
		// The peer is leaving, so that this host holds the target and the peer coordinates.
		peer := cell.view.Peers["h1"].WithLeaseUntil(time.Now().Add(time.Hour))
		cell.view.Peers["h1"] = peer.WithMember(peer.Member().WithLeaving(true))
		put(almondcross.NewViewChanged(almondcross.ViewChangedConfig{View: almondcross.NewView(cell.view)}),
			almondcross.NewTargetsListed(almondcross.TargetsListedConfig{Hosts: almondcross.NewLiveHosts(almondcross.LiveHostsConfig{Targets: cell.hosts})}))
		require.IsType(t, almondcross.AcquireLease{}, <-outside.dispatch.Messages())
		term := almondcross.NewTerm(almondcross.TermConfig{Boot: 1, Counter: 1})
		put(almondcross.NewTargetGranted(almondcross.TargetGrantedConfig{Grant: almondcross.NewGrant(almondcross.GrantConfig{
			Target: "t0000", Term: term, Capacity: capacity,
		})}))
		<-time.After(time.Second)
		synctest.Wait()
		require.Len(t, duty.HeldTargets(), 1)

		// The ring of the dispatcher still holds the RenewTasks of the grant and refuses the start.
		mine, theirs := cell.task("a", "batch", 1), cell.task("a", "batch", 2).WithCoordinator(peer.Member().ID())
		put(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: mine}))
		<-outside.dispatch.Messages()
		put(almondcross.NewPlaceTask(almondcross.PlaceTaskConfig{Task: theirs}))
		outside.linkFull.Store(true)
		answer := func(task almondcross.Task) almondcross.PlacerMessage {
			return almondcross.NewStartAnswered(almondcross.StartAnsweredConfig{Target: "t0000", Term: term, ID: task.ID(), Attempt: 1, Accepted: true})
		}
		started := map[almondcross.TaskID]bool{}
		for len(started) < 2 {
			message := <-outside.dispatch.Messages()
			if start, ok := message.(almondcross.StartTask); ok {
				started[start.Task().ID()] = true
			}
			synctest.Wait()
		}
		put(answer(mine), answer(theirs), almondcross.NewStopTask(almondcross.StopTaskConfig{ID: mine.ID(), Attempt: 1}))
		finished := almondcross.NewTaskResult(almondcross.TaskResultConfig{ID: mine.ID(), Attempt: 1})
		put(almondcross.NewTaskFinished(almondcross.TaskFinishedConfig{
			Target: "t0000", Term: term, Event: almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Result: finished}),
		}))
		require.IsType(t, almondcross.TaskStarted{}, <-reported.Messages())
		require.IsType(t, almondcross.TaskEnded{}, <-reported.Messages())
		require.Zero(t, outside.sent.Depth())
		outside.linkFull.Store(false)
		<-time.After(time.Second)
		synctest.Wait()
		require.Equal(t, 1, outside.sent.Depth())
		cancel()
		require.NoError(t, <-ended)
	})
}
