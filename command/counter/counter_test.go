package counter_test

import (
	"bytes"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/counter"
)

// Guards against a former scheduler that goes on showing the usage of workspaces, and against a removed quota that stays.
func TestWorkspacesAreReplaced(t *testing.T) {
	set := metrics.NewSet()
	metricCounter := counter.New(set)
	written := func() string {
		var output bytes.Buffer
		set.WritePrometheus(&output)
		return output.String()
	}
	usage := almondcross.NewWorkspaceUsage(almondcross.WorkspaceUsageConfig{
		Workspace: "a", WaitingStages: 7, Held: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 3000}),
		Quota: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 4000}),
	})
	metricCounter.Workspaces([]almondcross.WorkspaceUsage{usage})
	require.Contains(t, written(), `almondcross_workspace_held{workspace="a",resource="cpu_millis"} 3000`)
	require.Contains(t, written(), `almondcross_workspace_quota{workspace="a",resource="cpu_millis"} 4000`)
	require.NotContains(t, written(), `almondcross_workspace_quota{workspace="a",resource="memory_mb"}`)
	require.Contains(t, written(), `almondcross_workspace_waiting_stages{workspace="a"} 7`)
	metricCounter.Workspaces([]almondcross.WorkspaceUsage{usage.WithQuota(almondcross.Resources{})})
	require.NotContains(t, written(), "almondcross_workspace_quota")
	metricCounter.Workspaces(nil)
	require.NotContains(t, written(), "almondcross_workspace")
}
