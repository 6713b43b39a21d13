package authorizer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/authorizer"
	"github.com/almondcross/almondcross/query/jobfinder"
	"github.com/almondcross/almondcross/query/router"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// table returns a version with a closed queue, an open one, and one key for each workspace, whose name the key is.
func table(version int64, keysRequired bool, workspaces ...string) almondcross.RouteTable {
	config := almondcross.RouteTableConfig{Version: version, KeysRequired: keysRequired, Queues: []almondcross.Queue{
		almondcross.NewQueue(almondcross.QueueConfig{Name: "q", Host: "h", Prefix: "/q/"}),
		almondcross.NewQueue(almondcross.QueueConfig{Name: "o", Host: "h", Prefix: "/o/", Open: true}),
	}}
	for _, name := range workspaces {
		config.Workspaces = append(config.Workspaces, almondcross.NewWorkspace(almondcross.WorkspaceConfig{Name: name, Keys: []string{name}}))
	}
	return almondcross.NewRouteTable(config)
}

// Guards against a call that is allowed without a key of a workspace, or refused although none is needed, whatever the front end.
func TestIdentify(t *testing.T) {
	for name, test := range map[string]struct {
		table     *almondcross.RouteTable
		path, key string
		workspace string
		err       error
	}{
		"no configuration":             {path: "/q/j", key: "a", err: almondcross.ErrNoConfiguration},
		"unknown queue":                {table: new(table(1, true, "a")), path: "/x/j", key: "a", err: almondcross.ErrUnknownQueue},
		"unknown queue without a key":  {table: new(table(1, true, "a")), path: "/x/j", err: almondcross.ErrUnknownQueue},
		"key":                          {table: new(table(1, true, "a", "b")), path: "/q/j", key: "b", workspace: "b"},
		"no key":                       {table: new(table(1, true, "a")), path: "/q/j", err: almondcross.ErrUnauthorized},
		"unknown key":                  {table: new(table(1, true, "a")), path: "/q/j", key: "b", err: almondcross.ErrUnauthorized},
		"empty list":                   {table: new(table(1, true)), path: "/q/j", key: "a", err: almondcross.ErrUnauthorized},
		"no list":                      {table: new(table(1, false)), path: "/q/j", key: "a"},
		"open queue":                   {table: new(table(1, true, "a")), path: "/o/j"},
		"open queue with a key":        {table: new(table(1, true, "a")), path: "/o/j", key: "a"},
		"open queue and unknown key":   {table: new(table(1, true, "a")), path: "/o/j", key: "x"},
		"open queue and an empty list": {table: new(table(1, true)), path: "/o/j"},
	} {
		t.Run(name, func(t *testing.T) {
			routes := router.New()
			if test.table != nil {
				routes.Set(*test.table)
			}
			caller, rest, err := authorizer.New(authorizer.Config{Router: routes, Jobs: jobfinder.New()}).Identify("h:80", test.path, test.key)
			if test.err != nil {
				require.ErrorIs(t, err, test.err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.workspace, caller.Workspace())
			require.Equal(t, "j", rest)
		})
	}
}

// changingRouter puts another version in force between the two questions of the first call.
type changingRouter struct {
	*router.Router
	next *almondcross.RouteTable
}

func (changingrouter *changingRouter) Match(host, path string) (almondcross.QueueSettings, string, bool) {
	settings, rest, found := changingrouter.Router.Match(host, path)
	if changingrouter.next != nil {
		changingrouter.Set(*changingrouter.next)
		changingrouter.next = nil
	}
	return settings, rest, found
}

// Guards against a call that is judged by the queue of one version and the keys of the next: in neither is it refused.
func TestCallIsJudgedByOneVersion(t *testing.T) {
	routes := &changingRouter{Router: router.New()}
	routes.Set(table(1, true, "a"))
	opened := table(2, true)
	opened = opened.WithQueues([]almondcross.Queue{opened.Queues()[0].WithOpen(true)})
	routes.next = &opened
	caller, _, err := authorizer.New(authorizer.Config{Router: routes, Jobs: jobfinder.New()}).Identify("h", "/q/j", "a")
	require.NoError(t, err)
	require.Equal(t, int64(2), caller.Settings().Version())
}

// Guards against a job that another workspace sees, repeats or cancels, and against one that its own workspace cannot.
func TestJobsBelongToTheirWorkspaces(t *testing.T) {
	jobs, routes := jobfinder.New(), router.New()
	routes.Set(table(1, true, "a", "b"))
	access := authorizer.New(authorizer.Config{Router: routes, Jobs: jobs})
	jobs.Publish(almondcross.NewJobView(almondcross.JobViewConfig{ID: "a", Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: almondcross.JobRunning, Workspace: "a"}))
	jobs.Publish(almondcross.NewJobView(almondcross.JobViewConfig{ID: "none", Queue: almondcross.NewQueueID(almondcross.QueueIDConfig{Name: "q"}), State: almondcross.JobRunning}))
	jobs.Refreshed(start, true)
	for _, test := range []struct {
		key     string
		job     almondcross.JobID
		allowed bool
	}{{"a", "a", true}, {"b", "a", false}, {"a", "none", true}, {"b", "none", true}} {
		caller, _, err := access.Identify("h", "/q/x", test.key)
		require.NoError(t, err)
		_, knowledge := access.Lookup(caller, test.job, start)
		_, known, submitErr := access.Submitted(caller, test.job)
		cancelErr := access.MayCancel(caller, test.job)
		require.True(t, known)
		if test.allowed {
			require.Equal(t, almondcross.JobKnown, knowledge)
			require.NoError(t, submitErr)
			require.NoError(t, cancelErr)
			continue
		}
		require.Equal(t, almondcross.JobGone, knowledge)
		require.ErrorIs(t, submitErr, almondcross.ErrIdentityTaken)
		require.ErrorIs(t, cancelErr, almondcross.ErrOtherWorkspace)
	}
	caller, _, err := access.Identify("h", "/q/x", "a")
	require.NoError(t, err)
	_, known, err := access.Submitted(caller, "absent")
	require.NoError(t, err)
	require.False(t, known)
	require.NoError(t, access.MayCancel(caller, "absent"))
	other := caller.WithSettings(almondcross.NewQueueSettings(almondcross.QueueSettingsConfig{Queue: almondcross.NewQueue(almondcross.QueueConfig{Name: "o"})}))
	_, _, err = access.Submitted(other, "a")
	require.ErrorIs(t, err, almondcross.ErrIdentityTaken, "the job is one of another queue")
}
