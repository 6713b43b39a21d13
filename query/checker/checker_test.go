package checker_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/query/checker"
)

// newQueue returns a queue without findings, apart from those of a changed field.
func newQueue(name string, change func(config *almondcross.QueueConfig)) almondcross.Queue {
	config := almondcross.QueueConfig{Name: name, Host: "jobs", Prefix: "/" + name, Pool: "main", MaxAttempts: 1, Stretch: 1}
	if change != nil {
		change(&config)
	}
	return almondcross.NewQueue(config)
}

func newTable(change func(config *almondcross.RouteTableConfig)) almondcross.RouteTable {
	config := almondcross.RouteTableConfig{
		Version: 2, BodyLimit: 262_144, Queues: []almondcross.Queue{newQueue("a", nil)},
		Pools: []almondcross.Pool{almondcross.NewPool(almondcross.PoolConfig{Name: "main"})},
	}
	if change != nil {
		change(&config)
	}
	return almondcross.NewRouteTable(config)
}

// changed returns a table whose second queue is changed.
func changed(change func(config *almondcross.QueueConfig)) almondcross.RouteTable {
	return newTable(func(config *almondcross.RouteTableConfig) {
		config.Queues = append(config.Queues, newQueue("b", change))
	})
}

func withWorkspaces(workspaces ...almondcross.WorkspaceConfig) almondcross.RouteTable {
	return newTable(func(config *almondcross.RouteTableConfig) {
		config.KeysRequired = true
		for _, workspace := range workspaces {
			config.Workspaces = append(config.Workspaces, almondcross.NewWorkspace(workspace))
		}
	})
}

func withAdvice(validity time.Duration) almondcross.RouteTable {
	settings := almondcross.AdviceSettingsConfig{Required: true, Base: 200 * time.Millisecond, PerWorker: 25 * time.Millisecond, Validity: validity}
	return changed(func(config *almondcross.QueueConfig) { config.AdviceSettings = almondcross.NewAdviceSettings(settings) })
}

// lines returns the findings as they are shown.
func lines(findings []almondcross.Finding) []string {
	shown := []string{}
	for _, finding := range checker.Sort(findings) {
		shown = append(shown, finding.Severity().String()+" "+finding.Place().String()+": "+finding.Text())
	}
	return shown
}

// Guards against a mistake that is not found, and against findings at values that are just allowed.
func TestCheck(t *testing.T) {
	for name, test := range map[string]struct {
		table almondcross.RouteTable
		want  []string // want holds the beginnings of the findings.
	}{
		"clean":       {newTable(nil), nil},
		"body 0":      {newTable(nil).WithBodyLimit(0), []string{"warning body limit: it is 0"}},
		"body large":  {newTable(nil).WithBodyLimit(262_145), []string{"warning body limit: it is 262145, above"}},
		"no queues":   {newTable(nil).WithQueues(nil), []string{"warning queues: there are none"}},
		"same match":  {changed(func(config *almondcross.QueueConfig) { config.Host, config.Prefix = "JOBS", "/a" }), []string{`error queue 1 "b": it can never match: queue 0`}},
		"longer":      {changed(func(config *almondcross.QueueConfig) { config.Prefix = "/a/b" }), nil},
		"same name":   {changed(func(config *almondcross.QueueConfig) { config.Name = "a" }), []string{`error queue 1 "a": it has the name of queue 0`}},
		"order":       {changed(func(config *almondcross.QueueConfig) { config.Pool = "x" }).WithBodyLimit(0), []string{`error queue 1 "b": the pool`, "warning body limit"}},
		"port":        {changed(func(config *almondcross.QueueConfig) { config.Host = "jobs:80" }), []string{`error queue 1 "b": it can never match: the host`}},
		"no slash":    {changed(func(config *almondcross.QueueConfig) { config.Prefix = "b" }), []string{`error queue 1 "b": it can never match: the prefix`}},
		"no host":     {changed(func(config *almondcross.QueueConfig) { config.Host = "" }), []string{`warning queue 1 "b": it has no host`}},
		"no pool":     {changed(func(config *almondcross.QueueConfig) { config.Pool = "x" }), []string{`error queue 1 "b": the pool "x" does not exist`}},
		"no attempts": {changed(func(config *almondcross.QueueConfig) { config.MaxAttempts = 0 }), []string{`warning queue 1 "b": the limit of attempts is 0`}},
		"stretch":     {changed(func(config *almondcross.QueueConfig) { config.Stretch = 0.9 }), []string{`warning queue 1 "b": the stretch is 0.9`}},
		"standby": {
			newTable(func(config *almondcross.RouteTableConfig) { config.Pools[0] = config.Pools[0].WithStandby(true) }), []string{`warning queue 0 "a": the pool "main" is on standby`},
		},
		"pool twice": {
			newTable(func(config *almondcross.RouteTableConfig) { config.Pools = append(config.Pools, config.Pools[0]) }), []string{`warning pool 1 "main": it has the name of pool 0`},
		},
		"advice enough": {withAdvice(350 * time.Millisecond), nil},
		"advice call":   {withAdvice(349 * time.Millisecond), []string{`warning queue 1 "b": advice is valid for 349ms, but a call for 6 workers takes 350ms`}},
		"advice start": {
			withAdvice(300 * time.Millisecond), []string{`warning queue 1 "b": advice is valid for 300ms, but a call`, `warning queue 1 "b": advice is valid for 300ms, but a start`},
		},
		"no workspaces": {withWorkspaces(), []string{"warning workspaces: the list is empty"}},
		"workspaces":    {withWorkspaces(almondcross.WorkspaceConfig{Name: "w", Keys: []string{"k"}}, almondcross.WorkspaceConfig{Name: "v", Keys: []string{"l"}}), nil},
		"keys and weight": {
			withWorkspaces(almondcross.WorkspaceConfig{Name: "w", Keys: []string{"k"}, Weight: 1}, almondcross.WorkspaceConfig{Name: "v"}), []string{`warning workspace 1 "v": it has no keys`, `warning workspace 1 "v": it has no weight`},
		},
		"quotas": {withWorkspaces(
			almondcross.WorkspaceConfig{Name: "w", Keys: []string{"k"}, Quota: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1})},
			almondcross.WorkspaceConfig{Name: "v", Keys: []string{"l"}, Quota: almondcross.NewResources(almondcross.ResourcesConfig{MemoryMB: 1})},
			almondcross.WorkspaceConfig{Name: "u", Keys: []string{"m"}, Quota: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1, MemoryMB: 1})},
		), []string{`warning workspace 0 "w": its quota limits the processors`, `warning workspace 1 "v": its quota limits the memory`}},
	} {
		t.Run(name, func(t *testing.T) {
			found := lines(checker.Check(test.table))
			require.Len(t, found, len(test.want), "%q", found)
			for index, want := range test.want {
				require.True(t, strings.HasPrefix(found[index], want), "%q", found[index])
			}
		})
	}
}

// Guards against a difference that is missing, against keys in the text, and against findings in another order than errors,
// differences of the sections in turn, removed before present parts.
func TestDifferences(t *testing.T) {
	require.Empty(t, checker.Differences(newTable(nil).WithVersion(1), newTable(nil)), "nothing but the version differs")
	quota := almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 500})
	before := withWorkspaces(
		almondcross.WorkspaceConfig{Name: "w", Keys: []string{"secret-1", "secret-2"}, Weight: 1},
		almondcross.WorkspaceConfig{Name: "gone", Keys: []string{"secret-3"}, Quota: quota},
	).WithQueues([]almondcross.Queue{newQueue("a", nil), newQueue("old", nil)})
	after := withWorkspaces(
		almondcross.WorkspaceConfig{Name: "w", Keys: []string{"secret-2", "secret-3", "secret-4"}, Weight: 2, Quota: quota},
		almondcross.WorkspaceConfig{Name: "new", Keys: []string{"secret-1"}},
	).WithBodyLimit(9).WithPools([]almondcross.Pool{almondcross.NewPool(almondcross.PoolConfig{Name: "other"})}).
		WithQueues([]almondcross.Queue{newQueue("new", nil), newQueue("a", func(config *almondcross.QueueConfig) { config.Priority, config.Open = 3, true })})
	require.Equal(t, []string{
		"error version: version 2 is not higher than version 2 in force, so hosts ignore it",
		"difference body limit: 262144 -> 9 bytes",
		`difference queue "old": removed`,
		`difference queue 0 "new": added`,
		`difference queue 1 "a": priority 0 -> 3, open false -> true`,
		`difference pool "main": removed`,
		`difference pool 0 "other": added`,
		`difference workspace "gone": removed, keys lost: 1`,
		`difference workspace 0 "w": weight 1 -> 2, quota of millicores none -> 500, keys gained: 2, keys lost: 1`,
		`difference workspace 1 "new": added, keys gained: 1`,
	}, lines(checker.Differences(before, after)))
	require.Equal(t, []string{"difference workspaces: callers need no keys any more"}, lines(checker.Differences(withWorkspaces().WithVersion(1), newTable(nil))))
	require.Equal(t, []string{"difference workspaces: callers need keys from this version on"}, lines(checker.Differences(newTable(nil).WithVersion(1), withWorkspaces())))
}
