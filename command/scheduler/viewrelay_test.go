package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/policy/distributor"
	"github.com/almondcross/almondcross/query/jobfinder"
)

// viewCell is a scheduler with linked hosts in data centres, of which every tenth is strong.
type viewCell struct {
	*harness

	codec encoder.Codec
	bytes map[almondcross.LinkKind]int
}

func newViewCell(t *testing.T, threshold int) *viewCell {
	t.Helper()
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	cell := &viewCell{harness: newHarness(t), codec: codec, bytes: map[almondcross.LinkKind]int{}}
	cell.machine.config.ViewRelays, cell.machine.config.ViewRelayThreshold = distributor.ByDataCentre{}, threshold
	cell.becomeScheduler()
	return cell
}

// apply applies a message and lets the scheduler arrange the relays.
func (viewcell *viewCell) apply(message almondcross.SchedulerMessage) {
	viewcell.harness.apply(message)
	viewcell.advance(viewRelayPause)
}

// link links a host; a later link of the same host takes the place of the earlier one.
func (viewcell *viewCell) link(index, format int) string {
	name, strength := fmt.Sprintf("v-%03d", index), 20
	if index%10 < 2 {
		strength = 100
	}
	viewcell.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
		Host: name, Present: true, Strength: strength, Address: name + ":1", DataCentre: fmt.Sprint("dc-", index/10%3), ViewFormat: format,
	}))
	return name
}

// linkAll links a number of hosts and lets the scheduler send them their first views and spread them over the relays.
func (viewcell *viewCell) linkAll(count int) {
	for index := range count {
		viewcell.link(index, almondcross.ViewFormat)
	}
	for range 20 {
		viewcell.step()
	}
}

// step answers an append, after the time at which one is sent without changes, and counts what was sent over links.
func (viewcell *viewCell) step() {
	viewcell.awaitHeartbeat()
	viewcell.count()
}

// count counts the bytes of the messages to hosts and drops them.
func (viewcell *viewCell) count() {
	for _, effect := range viewcell.effects {
		switch effect := effect.(type) {
		case PushViews:
			viewcell.add(effect.Pushed, len(effect.Hosts))
		case SendNumber:
			viewcell.add(effect.Numbered, len(effect.Hosts))
		case AssignViews:
			viewcell.add(effect.Assigned, 1)
		case SendPeers:
			viewcell.add(effect.Peers, len(effect.Hosts))
		case PushBatches:
			viewcell.add(effect.Pushed, len(effect.Hosts))
		}
	}
	viewcell.effects = nil
}

func (viewcell *viewCell) add(message almondcross.LinkMessage, hosts int) {
	frame, err := viewcell.codec.EncodeLink(message)
	require.NoError(viewcell.t, err)
	viewcell.bytes[message.LinkKind()] += hosts * len(frame)
}

// route returns the relay of a host, empty for the scheduler.
func (viewcell *viewCell) route(host string) string {
	return viewcell.machine.linkedHosts[host].views.relay
}

// Guards against views that take bytes of the scheduler's host with the square of the hosts, when the load grows with them: 300 hosts
// take at most ten times the bytes of 30, and three times those of 100. The fixed part is that of the numbers, one to each host.
func TestViewBytesGrowWithTheLoad(t *testing.T) {
	viewBytes := map[int]int{}
	for _, hosts := range []int{30, 100, 300} {
		cell := newViewCell(t, 25)
		cell.linkAll(hosts)
		clear(cell.bytes)
		for round := range 20 {
			for job := range hosts / 5 {
				cell.submitJob(almondcross.JobID(fmt.Sprintf("%04d-%04d-job", round, job)), almondcross.StepConfig{Count: 1})
			}
			cell.step()
		}
		viewBytes[hosts] = cell.bytes[almondcross.LinkViews] + cell.bytes[almondcross.LinkAllViews] + cell.bytes[almondcross.LinkViewNumbers] + cell.bytes[almondcross.LinkViewsAssigned]
		t.Logf("%d hosts: %v", hosts, cell.bytes)
	}
	require.LessOrEqual(t, viewBytes[300], viewBytes[30]*10)
	require.LessOrEqual(t, viewBytes[300], viewBytes[100]*3)
}

// Guards against a cell at or below the threshold that gets its views in another way than before, and against a cell near it that
// changes the way with each host.
func TestRelaysAreUsedAboveTheThreshold(t *testing.T) {
	cell := newViewCell(t, 20)
	for index := range 20 {
		cell.link(index, almondcross.ViewFormat)
	}
	cell.awaitHeartbeat()
	_, assigned := takeEffect[AssignViews](cell.harness)
	require.False(t, assigned)
	pushed, _ := takeLastEffect[PushViews](cell.harness)
	require.Zero(t, pushed.Pushed.Number())
	cell.link(20, almondcross.ViewFormat)
	cell.awaitHeartbeat()
	require.NotEmpty(t, cell.route("v-005"))
	for cell.now.Sub(cell.machine.leader.electedAt) <= viewRelayGrace {
		cell.step()
	}
	for index := 20; index > 14; index-- {
		cell.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: fmt.Sprintf("v-%03d", index)}))
		require.True(t, cell.machine.leader.viewRelays.active, "%d hosts", index)
	}
	cell.effects = nil
	cell.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: "v-014"}))
	cell.awaitHeartbeat()
	require.False(t, cell.machine.leader.viewRelays.active)
	reset := requireEffect[PushViews](cell.harness)
	require.True(t, reset.Pushed.Reset(), "the hosts that had a relay get all views")
	require.Zero(t, reset.Pushed.Number())
}

// Guards against views that a host of the version before does not get, and against messages that it cannot decode. It is no relay
// either, nor is a host that would leave out fields of the views.
func TestHostsOfTheVersionBeforeGetViewsFromTheScheduler(t *testing.T) {
	cell := newViewCell(t, 10)
	for index := range 30 {
		cell.link(index, index%2) // The odd ones know relays.
	}
	cell.step()
	old := cell.link(40, 0)
	later := cell.link(41, almondcross.ViewFormat+1)
	cell.awaitHeartbeat()
	for _, effect := range cell.effects {
		if assigned, ok := effect.(AssignViews); ok {
			require.NotEqual(t, old, assigned.Host)
		}
	}
	require.Empty(t, cell.route(old))
	require.NotEmpty(t, cell.route(later))
	for _, host := range cell.machine.sortedLinkedHosts() {
		require.True(t, !host.views.relaying || host.views.format == almondcross.ViewFormat, host.name)
	}
	cell.effects = nil
	cell.awaitHeartbeat()
	require.Contains(t, requireEffect[PushViews](cell.harness).Hosts, old)
	require.NotContains(t, requireEffect[SendNumber](cell.harness).Hosts, old)
}

// missedBy reports that a host misses views from its relay and returns the relay.
func (viewcell *viewCell) missedBy(host string) string {
	viewcell.t.Helper()
	relay := viewcell.route(host)
	require.NotEmpty(viewcell.t, relay)
	viewcell.apply(almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Host: host, Epoch: viewcell.machine.leader.epoch, Relay: relay}))
	return relay
}

// viewersOf returns the hosts that get views from a relay, sorted.
func (viewcell *viewCell) viewersOf(relay string) []string {
	var viewers []string
	for _, host := range viewcell.machine.sortedLinkedHosts() {
		if host.views.relay == relay {
			viewers = append(viewers, host.name)
		}
	}
	return viewers
}

// Guards against a host that stays without views: it gets another relay, and after two the views themselves, all of them first. One host
// alone does not take the relays from the others.
func TestHostThatMissesViewsGetsAnotherWay(t *testing.T) {
	cell := newViewCell(t, 25)
	cell.linkAll(60)
	relay := cell.route("v-005")
	first := cell.missedBy("v-005")
	require.Equal(t, relay, first)
	second := cell.route("v-005")
	require.NotEqual(t, first, second)
	require.NotEmpty(t, second)
	require.True(t, cell.machine.linkedHosts[first].views.relaying, "it may be the fault of the host")
	cell.effects = nil
	cell.missedBy("v-005")
	require.Empty(t, cell.route("v-005"))
	require.Empty(t, requireEffect[AssignViews](cell.harness).Assigned.Relay())
	cell.awaitHeartbeat()
	reset := requireEffect[PushViews](cell.harness)
	require.Equal(t, []string{"v-005"}, reset.Hosts)
	require.True(t, reset.Pushed.Reset())
	require.Contains(t, requireEffect[PushViews](cell.harness).Hosts, "v-005")

	viewers := cell.viewersOf(first)
	cell.missedBy(viewers[0])
	require.False(t, cell.machine.linkedHosts[first].views.relaying, "two hosts have missed its views")
	cell.advance(viewRelayBackoff)
	cell.advance(viewRelayInterval)
	require.NotEmpty(t, cell.route("v-005"), "it gets a relay again after a time")
}

// Guards against a frozen relay whose viewers each wait until they notice it, and against a report of before that takes the new relay
// from a host.
func TestRelayThatTwoHostsMissIsReplaced(t *testing.T) {
	cell := newViewCell(t, 25)
	cell.linkAll(60)
	relay := cell.route("v-005")
	viewers := cell.viewersOf(relay)
	require.Greater(t, len(viewers), 2)
	cell.missedBy(viewers[0])
	cell.missedBy(viewers[1])
	require.False(t, cell.machine.linkedHosts[relay].views.relaying)
	require.Empty(t, cell.viewersOf(relay))
	next := cell.route(viewers[2])
	require.NotEmpty(t, next)
	cell.apply(almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Host: viewers[2], Epoch: cell.machine.leader.epoch, Relay: relay}))
	cell.apply(almondcross.NewViewsMissed(almondcross.ViewsMissedConfig{Host: viewers[2], Epoch: cell.machine.leader.epoch - 1, Relay: next}))
	require.Equal(t, next, cell.route(viewers[2]))
	require.Empty(t, cell.route(relay), "its own links may be at fault")
	cell.effects = nil
	cell.awaitHeartbeat()
	require.Contains(t, requireEffect[PushViews](cell.harness).Hosts, relay)
}

// Guards against hosts that get no views after their relay has left, has linked anew or has become a standby.
func TestViewersOfALostRelayGetAnotherAtOnce(t *testing.T) {
	for name, lose := range map[string]func(cell *viewCell, relay string){
		"left": func(cell *viewCell, relay string) {
			cell.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{Host: relay}))
		},
		"linked anew": func(cell *viewCell, relay string) {
			cell.apply(almondcross.NewHostLinkChanged(almondcross.HostLinkChangedConfig{
				Host: relay, Present: true, Strength: 100, Address: relay + ":1", DataCentre: "dc-0", ViewFormat: almondcross.ViewFormat,
			}))
		},
		"standby": func(cell *viewCell, relay string) {
			cell.machine.makeStandby(cell.machine.linkedHosts[relay])
			cell.advance(0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cell := newViewCell(t, 25)
			cell.linkAll(60)
			relay := cell.route("v-005")
			cell.effects = nil
			lose(cell, relay)
			for _, host := range cell.machine.sortedLinkedHosts() {
				if !host.standby && !host.views.relaying {
					require.NotEmpty(t, host.views.relay, host.name)
					require.True(t, cell.machine.linkedHosts[host.views.relay].views.relaying, host.name)
				}
			}
		})
	}
}

// Guards against first views that are larger than a frame: no host could be sent them, and each would link again and again.
func TestLargeFirstViewsFitInFrames(t *testing.T) {
	codec, err := encoder.NewCodec()
	require.NoError(t, err)
	var changes []almondcross.JobViewChange
	for index := range 70_000 {
		changes = append(changes, newViewChange(almondcross.JobID(fmt.Sprintf("job-%016d", index)), almondcross.JobQueued))
	}
	parts := splitViews(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Changes: changes}))
	require.Greater(t, len(parts), 2)
	harness := newHarness(t)
	harness.followScheduler(newViewChange("earlier", almondcross.JobQueued))
	for index, part := range parts {
		require.Equal(t, index < len(parts)-1, part.More())
		frame, err := codec.EncodeLink(part)
		require.NoError(t, err)
		decoded, err := codec.DecodeLink(frame)
		require.NoError(t, err)
		require.Equal(t, 1, harness.pendingCount(), "the views are replaced in one step")
		harness.apply(decoded.(almondcross.ViewsPushed)) //nolint:forcetypeassert // Another type fails the test.
	}
	require.Equal(t, len(changes), harness.pendingCount())
}

// Guards against addresses of hosts that are sent to all hosts with each link: beyond maxPeers every link counts as new.
func TestPeersAreSentTogetherInALargeCell(t *testing.T) {
	cell := newViewCell(t, 25)
	cell.linkAll(100)
	cell.advance(peersInterval)
	cell.effects = nil
	for index := range 100 {
		cell.link(index, almondcross.ViewFormat)
	}
	messages := 0
	for sent, more := takeEffect[SendPeers](cell.harness); more; sent, more = takeEffect[SendPeers](cell.harness) {
		messages += len(sent.Hosts)
	}
	require.LessOrEqual(t, messages, 200)
	cell.advance(peersInterval + viewRelayInterval)
	require.Len(t, requireEffect[SendPeers](cell.harness).Hosts, 100)
	cell.advance(peersInterval + viewRelayInterval)
	_, more := takeEffect[SendPeers](cell.harness)
	require.False(t, more)
}

// Guards against all views that a new scheduler of a large cell sends to the first hosts that link, up to the threshold: they take the
// square of the hosts at each takeover. Standbys and hosts of the version before need them at once.
func TestTakeoverInALargeCellSendsFewFirstViews(t *testing.T) {
	cell := newViewCell(t, 100)
	cell.machine.largeCell = true
	cell.machine.leader.viewRelays = cell.machine.newViewRelays()
	old := cell.link(7, 0)
	for index := 10; index < 60; index++ {
		cell.link(index, almondcross.ViewFormat)
	}
	cell.answerCommits()
	cell.awaitHeartbeat()
	cell.awaitHeartbeat()
	resets := map[string]bool{}
	for pushed, more := takeEffect[PushViews](cell.harness); more; pushed, more = takeEffect[PushViews](cell.harness) {
		for _, host := range pushed.Hosts {
			resets[host] = resets[host] || pushed.Pushed.Reset()
		}
	}
	require.True(t, resets[old])
	for _, host := range cell.machine.sortedLinkedHosts() {
		require.Equal(t, host.standby || host.views.relaying || host.name == old, resets[host.name], host.name)
	}
	for cell.now.Sub(cell.machine.leader.electedAt) <= viewRelayGrace+viewRelayInterval {
		cell.step()
	}
	cell.awaitHeartbeat()
	require.False(t, cell.machine.leader.viewRelays.active, "too few hosts have linked")
	require.Empty(t, cell.viewersOf("v-010"))
}

// Guards against hosts of a large cell that all ask for the scheduler at one moment after it is lost, and against a change for the others.
func TestHostsOfALargeCellDoNotAskAtOneMoment(t *testing.T) {
	for _, large := range []bool{false, true} {
		harness := newHarness(t)
		harness.followRelayed(assignedNumber)
		harness.apply(almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 9, Large: large}))
		harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 9), Found: true, Stored: true}))
		harness.effects = nil
		harness.apply(almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: "h-2"}))
		pause := requireEffect[ReadPointer](harness).Query.Pause()
		require.Equal(t, large, pause > 0)
		require.Less(t, pause, pointerReadInterval)
	}
}

var _ almondcross.JobPublisher = jobfinder.New()

// assignedNumber is the number of the last push in the tests of viewers.
const assignedNumber = 7

// followRelayed makes the machine a viewer of a scheduler of epoch 9 that gets its views from a relay.
func (harness *harness) followRelayed(number int64) almondcross.ViewRelayLink {
	harness.t.Helper()
	harness.followScheduler(newViewChange("j", almondcross.JobQueued))
	harness.effects = nil
	harness.apply(almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 9, Relay: "r-1", Address: "r-1:1", Number: number, Least: assignedNumber + 1}))
	return requireEffect[FollowRelay](harness).Relay
}

func (harness *harness) applyNumber(number int64) {
	harness.apply(almondcross.NewViewsNumbered(almondcross.ViewsNumberedConfig{Epoch: 9, Number: number, Complete: true}))
}

func (harness *harness) applyRelayed(link, number int64, changes ...almondcross.JobViewChange) {
	harness.apply(almondcross.NewRelayedViews(almondcross.RelayedViewsConfig{Link: link, Pushed: almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
		Epoch: 9, Number: number, Changes: changes,
	})}))
}

// age returns how old the complete views of the host are.
func (harness *harness) age() time.Duration { return harness.now.Sub(harness.finder().CompleteAt()) }

// Guards against views that count as fresh without all pushes up to a number that the scheduler has sent, and against views that count as
// of the arrival of the relay's message: the relay may have held it back.
func TestRelayedViewsAreAsOfTheSchedulersNumbers(t *testing.T) {
	harness := newHarness(t)
	link := harness.followRelayed(assignedNumber)
	require.Equal(t, int64(assignedNumber), link.Hello().Number())
	harness.advance(100 * time.Millisecond)
	harness.applyNumber(assignedNumber + 1)
	require.Equal(t, 100*time.Millisecond, harness.age(), "the push has not arrived")
	harness.advance(150 * time.Millisecond)
	harness.applyRelayed(link.Link(), assignedNumber+1, newViewChange("k", almondcross.JobQueued))
	require.Equal(t, 150*time.Millisecond, harness.age(), "the views are as of the arrival of the number")
	require.Equal(t, 2, harness.pendingCount())
	harness.applyRelayed(link.Link(), assignedNumber+2)
	harness.applyRelayed(link.Link(), assignedNumber+1, newViewChange("k", almondcross.JobRunning))
	require.Equal(t, 2, harness.pendingCount(), "a push is applied once")
	require.Equal(t, 150*time.Millisecond, harness.age())
	harness.applyNumber(assignedNumber + 2)
	require.Zero(t, harness.age())
	harness.applyRelayed(link.Link(), assignedNumber+4)
	require.Equal(t, "a push is missing", requireEffect[ReportMissed](harness).Missed.Reason())
	harness.applyNumber(assignedNumber + 4)
	harness.advance(time.Millisecond)
	require.Positive(t, harness.age())
}

// Guards against a host that waits for a relay that is lost, frozen, behind or cut off: it tells the scheduler within half a second, or
// within a second if nothing has come yet. It tells it again, since the report may be lost.
func TestViewerReportsARelayThatSendsNothing(t *testing.T) {
	for name, heard := range map[string]bool{"frozen": true, "never heard": false} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			link := harness.followRelayed(assignedNumber)
			number, limit := int64(assignedNumber), relayLoadSilence
			if heard {
				number++
				harness.applyRelayed(link.Link(), number)
				limit = relaySilence
			}
			began := harness.now
			for {
				number++
				harness.applyNumber(number)
				harness.run(150 * time.Millisecond)
				if missed, found := takeEffect[ReportMissed](harness); found {
					require.Equal(t, "r-1", missed.Missed.Relay())
					break
				}
				require.Less(t, harness.now.Sub(began), 2*limit)
			}
			require.InDelta(t, limit.Seconds(), harness.now.Sub(began).Seconds(), 0.3)
			harness.applyRelayed(link.Link(), number, newViewChange("k", almondcross.JobQueued))
			require.Greater(t, harness.age(), relaySilence, "nothing counts any more that comes over the link")
			for range 8 {
				number++
				harness.applyNumber(number)
				harness.run(150 * time.Millisecond)
			}
			requireEffect[ReportMissed](harness)
		})
	}
	harness := newHarness(t)
	link := harness.followRelayed(assignedNumber)
	harness.apply(almondcross.NewViewRelayLost(almondcross.ViewRelayLostConfig{Link: link.Link() + 1}))
	_, reported := takeEffect[ReportMissed](harness)
	require.False(t, reported, "another link")
	harness.apply(almondcross.NewViewRelayLost(almondcross.ViewRelayLostConfig{Link: link.Link()}))
	requireEffect[ReportMissed](harness)
}

// Guards against all views of a relay that are older than those that the host has had, whose age it keeps: a host that has linked anew, or
// that has followed the journal, may know more than a late relay.
func TestOlderViewsOfARelayAreNotTaken(t *testing.T) {
	harness := newHarness(t)
	link := harness.followRelayed(0)
	require.Zero(t, link.Hello().Number())
	require.Equal(t, int64(assignedNumber+1), link.Hello().Least())
	reset := func(number int64, changes ...almondcross.JobViewChange) {
		harness.apply(almondcross.NewRelayedViews(almondcross.RelayedViewsConfig{Link: link.Link(), Pushed: almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{
			Reset: true, Epoch: 9, Number: number, Changes: changes,
		})}))
	}
	reset(assignedNumber)
	require.Equal(t, 1, harness.pendingCount())
	reset(assignedNumber+1, newViewChange("a", almondcross.JobQueued), newViewChange("b", almondcross.JobQueued))
	require.Equal(t, 2, harness.pendingCount())
	harness.apply(almondcross.NewLinkLost(almondcross.LinkLostConfig{Scheduler: "h-2"}))
	_, closed := takeEffect[FollowRelay](harness)
	require.True(t, closed, "without the scheduler the views of a relay are of no use")
	harness.apply(almondcross.NewPointerRead(almondcross.PointerReadConfig{Pointer: newPointer("h-2", 9), Found: true, Stored: true}))
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{}))
	harness.apply(almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 9, Relay: "r-2", Address: "r-2:1", Least: 3}))
	link = requireEffect[FollowRelay](harness).Relay
	require.Equal(t, int64(assignedNumber+1), link.Hello().Least())
	reset(assignedNumber)
	require.Equal(t, 2, harness.pendingCount())
}

// Guards against a relay that sends a viewer too little, too old views, or jobs that the scheduler has not admitted, and against one that goes
// on after it has lost the role or the scheduler.
func TestRelayServesViewers(t *testing.T) {
	harness := newHarness(t)
	harness.followScheduler(newViewChange("j", almondcross.JobQueued))
	harness.apply(almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: almondcross.NewJob(almondcross.JobConfig{ID: "own", Queue: "q"})}))
	view := func(link, number, least int64) {
		harness.apply(almondcross.NewViewerLinkChanged(almondcross.ViewerLinkChangedConfig{
			Link: link, Present: true, Hello: almondcross.NewViewerHello(almondcross.ViewerHelloConfig{Host: "v", Epoch: 9, Number: number, Least: least}),
		}))
	}
	view(1, 0, 0)
	_, early := takeEffect[RelayViews](harness)
	require.False(t, early, "it is no relay yet")
	harness.apply(almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 9, Relaying: true, Number: assignedNumber, Least: assignedNumber + 1}))
	first := requireEffect[RelayViews](harness)
	require.True(t, first.Pushed.Reset())
	require.Equal(t, int64(assignedNumber), first.Pushed.Number())
	require.Equal(t, []almondcross.JobViewChange{newViewChange("j", almondcross.JobQueued)}, first.Pushed.Changes())
	push := func(number int64) {
		harness.apply(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Epoch: 9, Number: number, Complete: true}))
	}
	view(2, 0, assignedNumber+1)
	push(assignedNumber + 1)
	require.Equal(t, []int64{1}, requireEffect[RelayViews](harness).Links)
	held := requireEffect[RelayViews](harness)
	require.Equal(t, []int64{2}, held.Links)
	require.True(t, held.Pushed.Reset(), "the views are those that the viewer accepts")
	push(assignedNumber + 2)
	require.Equal(t, []int64{1, 2}, requireEffect[RelayViews](harness).Links)
	view(3, assignedNumber, 0)
	for number := int64(assignedNumber + 1); number <= assignedNumber+2; number++ {
		missing := requireEffect[RelayViews](harness)
		require.False(t, missing.Pushed.Reset())
		require.Equal(t, number, missing.Pushed.Number())
	}
	harness.apply(almondcross.NewViewerLinkChanged(almondcross.ViewerLinkChangedConfig{Link: 2}))
	harness.apply(almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig{Standby: true}))
	require.Equal(t, []int64{1, 3}, requireEffect[CloseViewers](harness).Links)
	view(4, 0, 0)
	require.Equal(t, []int64{4}, requireEffect[CloseViewers](harness).Links, "a standby relays nothing")
}

// Guards against readers of the store that are not told that the cell is large, or are told it again with each message.
func TestDutyTellsWhetherTheCellIsLarge(t *testing.T) {
	harness := newHarness(t)
	harness.followRelayed(assignedNumber)
	var told []bool
	duty := NewDuty(DutyConfig{Machine: harness.machine, OnLargeCell: func(large bool) { told = append(told, large) }})
	for _, large := range []bool{false, true, true, false} {
		harness.apply(almondcross.NewViewsAssigned(almondcross.ViewsAssignedConfig{Epoch: 9, Large: large}))
		duty.updateStatus()
	}
	require.Equal(t, []bool{true, false}, told)
}
