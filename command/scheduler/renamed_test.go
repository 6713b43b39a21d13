package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/authorizer"
	"github.com/almondcross/almondcross/query/router"
)

// queuesNamed returns a version of the configuration with two queues at the prefixes /a/ and /b/ of one host.
func queuesNamed(version int64, first, second string) almondcross.RouteTable {
	var queues []almondcross.Queue
	for prefix, name := range map[string]string{"/a/": first, "/b/": second} {
		queues = append(queues, almondcross.NewQueue(almondcross.QueueConfig{Name: name, Host: "h", Prefix: prefix, Pool: "pool" + prefix, MaxAttempts: 2}))
	}
	return almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: version, Queues: queues})
}

// newRenamedHarness returns a scheduler that has admitted a job of the queue /a/ by the first version of the configuration.
func newRenamedHarness(t *testing.T) *harness {
	harness := newHarness(t)
	harness.becomeScheduler()
	harness.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: queuesNamed(2, "first", "second")}))
	harness.submitTo("j", "first", harness.machine.routes.Settings("first"))
	harness.answerCommits()
	return harness
}

// viewer returns a host that has the views of the harness over a link.
func (harness *harness) viewer() *harness {
	harness.t.Helper()
	var changes []almondcross.JobViewChange
	for _, view := range harness.machine.config.Publisher.All() {
		changes = append(changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: view.ID(), Known: true, View: view}))
	}
	codec, err := encoder.NewCodec()
	require.NoError(harness.t, err)
	frame, err := codec.EncodeLink(almondcross.NewViewsPushed(almondcross.ViewsPushedConfig{Reset: true, Complete: true, Changes: changes}))
	require.NoError(harness.t, err)
	pushed, err := codec.DecodeLink(frame)
	require.NoError(harness.t, err)
	viewer := newHarnessOf(harness.t, "viewer")
	viewer.now = harness.now
	viewer.followScheduler()
	viewer.apply(pushed.(almondcross.ViewsPushed))
	return viewer
}

// storingHost returns a host that has stored the job of newRenamedHarness and has no view of it from the scheduler.
func (harness *harness) storingHost() *harness {
	host := newHarnessOf(harness.t, "entry")
	host.now = harness.now
	job := harness.machine.state.jobs["j"]
	host.apply(almondcross.NewJobAccepted(almondcross.JobAcceptedConfig{Job: job.spec, Settings: job.settings.value()}))
	return host
}

// access returns the authorizer of a host with a version of the configuration.
func (harness *harness) access(table almondcross.RouteTable) *authorizer.Authorizer {
	routes := router.New()
	routes.Set(table)
	harness.machine.config.Publisher.Refreshed(harness.now, true)
	return authorizer.New(authorizer.Config{Router: routes, Jobs: harness.finder()})
}

// Guards against accepted jobs that callers are told are gone (LOST), or whose repeated submission is refused, after their queue
// got another name at the same host and prefix, on any host and whatever name it has now.
func TestJobOfARenamedQueueStaysKnown(t *testing.T) {
	scheduler := newRenamedHarness(t)
	for name, table := range map[string]almondcross.RouteTable{
		"renamed":               queuesNamed(3, "other", "second"),
		"names are swapped":     queuesNamed(3, "second", "first"),
		"renamed back":          queuesNamed(4, "first", "second"),
		"not read by this host": queuesNamed(2, "first", "second"),
	} {
		for host, harness := range map[string]*harness{"scheduler": scheduler, "viewer": scheduler.viewer(), "entry": scheduler.storingHost()} {
			t.Run(name+", "+host, func(t *testing.T) {
				access := harness.access(table)
				caller, _, err := access.Identify("h", "/a/j", "")
				require.NoError(t, err)
				_, knowledge := access.Lookup(caller, "j", harness.now)
				require.Equal(t, almondcross.JobKnown, knowledge)
				_, known, err := access.Submitted(caller, "j")
				require.NoError(t, err)
				require.True(t, known)
				_, _, err = access.Identify("h", "/c/j", "")
				require.ErrorIs(t, err, almondcross.ErrUnknownQueue)
			})
		}
	}
}

// Guards against a task that runs in the pool of another queue (ROUTE): two queues have swapped their names.
func TestJobStaysWithItsQueueWhenNamesAreSwapped(t *testing.T) {
	harness := newRenamedHarness(t)
	harness.apply(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: queuesNamed(3, "second", "first")}))
	require.Equal(t, "pool/a/", harness.machine.queue(harness.machine.state.jobs["j"]).Pool())
}
