package lister_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/platform/viewer"
	"github.com/almondcross/almondcross/query/versioner"
	"github.com/almondcross/almondcross/requester"
)

// startSchedulingHost serves the status of a scheduling host of a revision and returns its address.
func startSchedulingHost(t *testing.T, name, revision string, format int) string {
	t.Helper()
	versions := versioner.New(versioner.Config{Host: name, Format: format, Build: func() almondcross.Build {
		return almondcross.NewBuild(almondcross.BuildConfig{Version: "v1", Revision: revision, GoVersion: "go1"})
	}})
	versions.SetScheduler(almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Host: "h-0", Epoch: 7}))
	versions.SetJournalFormat(2)
	router := mux.NewRouter()
	viewer.New(viewer.Config{Status: versions, Ready: func() bool { return true }}).RegisterStatus(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against a mixed cell that is shown as one of a single version, because its hosts differ only in the revision or only in
// the format, or because one of them is of a version that has no status.
func TestSchedulingStatusTellsWhetherTheCellIsMixed(t *testing.T) {
	first, same := startSchedulingHost(t, "h-0", "aa", 1), startSchedulingHost(t, "h-1", "aa", 1)
	revision, format := startSchedulingHost(t, "h-2", "bb", 1), startSchedulingHost(t, "h-3", "aa", 2)
	server := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(server.Close)
	earlier := server.Listener.Addr().String()
	for _, test := range []struct {
		name, want string
		servers    []string
	}{
		{"same", "one version", []string{first, same}},
		{"revision", "mixed", []string{first, same, revision}},
		{"format", "mixed", []string{first, same, format}},
		{"earlier", "mixed", []string{first, earlier}},
		{"only earlier", "unknown", []string{earlier}},
	} {
		t.Run(test.name, func(t *testing.T) {
			arguments := []string{"status", "scheduling", "--format", "json"}
			for _, server := range test.servers {
				arguments = append(arguments, "--server", server)
			}
			output, err := run(t, arguments...)
			require.NoError(t, err)
			var cell struct {
				Cell  string            `json:"cell"`
				Hosts []json.RawMessage `json:"hosts"`
			}
			require.NoError(t, json.Unmarshal([]byte(output), &cell))
			require.Equal(t, test.want, cell.Cell)
			require.Len(t, cell.Hosts, len(test.servers))
		})
	}
}

// Guards against columns that show another field than their header says.
func TestSchedulingStatusShowsEachHost(t *testing.T) {
	address := startSchedulingHost(t, "h-0", "aa", 1)
	output, err := run(t, "status", "scheduling", "--format", "csv", "--server", address)
	require.NoError(t, err)
	require.Equal(t, "host,server,state,version,revision,format,journal_format,scheduler,epoch,ready\nh-0,"+address+",ok,v1,aa,1,2,h-0,7,true\n", output)
}

// Guards against an exit code of success, or a cell that is shown as one of a single version, while a host does not answer.
func TestSchedulingStatusReportsMissingHosts(t *testing.T) {
	output, err := run(t, "status", "scheduling", "--server", startSchedulingHost(t, "h-0", "aa", 1), "--server", "127.0.0.1:1")
	require.Equal(t, requester.ExitUncertain, requester.ExitCode(err))
	require.Contains(t, output, "cell: unknown")
	require.Contains(t, output, "unreachable")
}
