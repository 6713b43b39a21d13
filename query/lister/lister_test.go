package lister_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/query/lister"
	"github.com/almondcross/almondcross/requester"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC) }

func run(t *testing.T, arguments ...string) (stdout string, err error) {
	t.Setenv(requester.TokenVariable, "secret")
	root := &cobra.Command{Use: "almondcross"}
	root.AddCommand(lister.New(lister.Config{Clock: fixedClock{}})...)
	requester.Prepare(root)
	var output bytes.Buffer
	root.SetOut(&output)
	root.SetErr(&bytes.Buffer{})
	root.SetArgs(arguments)
	err = root.ExecuteContext(t.Context())
	return output.String(), err
}

// startServer starts a server that returns one body for every path and sends the URI of each request to a channel.
func startServer(t *testing.T, body string) (string, <-chan string) {
	queries := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		queries <- request.URL.RequestURI()
		_, _ = fmt.Fprint(writer, body)
	}))
	t.Cleanup(server.Close)
	return server.URL, queries
}

// Guards against decisions that are printed out of order, and against output that looks complete although one host
// did not respond.
func TestWhyMergesHostsAndReportsMissingOnes(t *testing.T) {
	first, _ := startServer(t, `{"events":[{"at":"2026-03-01T10:00:02Z","event":"started","host":"a"}]}`)
	second, _ := startServer(t, `{"events":[{"at":"2026-03-01T10:00:01Z","event":"queued","host":"b"}]}`)
	output, err := run(t, "report", "why", "--entry", "lookup", "--format", "csv", "--server", first, "--server", second)
	require.NoError(t, err)
	require.Equal(t, "at,host,caller,origin,key,entry,event,code,target,detail\n"+
		"2026-03-01T10:00:01.000Z,b,,,,,queued,,,\n2026-03-01T10:00:02.000Z,a,,,,,started,,,\n", output)

	_, err = run(t, "report", "why", "--entry", "lookup", "--server", first, "--server", "127.0.0.1:1")
	require.Equal(t, requester.ExitUncertain, requester.ExitCode(err))
	require.EqualError(t, err, "1 of 2 hosts responded")
}

// Guards against a share report that hides missing data, and against a period that is not sent to the server.
func TestSharesReportMissingData(t *testing.T) {
	server, queries := startServer(t, `{"lines":[{"from":"2026-03-01T10:00:00Z","to":"2026-03-01T10:00:10Z","data_centre":"east",`+
		`"owner":"desk","entry":"lookup","promised":0.5,"received":0.25,"reasons":{"waited_slots":3,"log_down":1}}],"missing":["west"]}`)
	output, err := run(t, "report", "shares", "--from", "2h", "--format", "csv", "--server", server)
	require.Equal(t, requester.ExitUncertain, requester.ExitCode(err))
	require.Contains(t, output, "2026-03-01T10:00:00.000Z,2026-03-01T10:00:10.000Z,east,desk,lookup,50.00,25.00,"+
		"0.000,0.000,0.000,0.000,0,0,0.000,log_down=1 waited_slots=3,true\n")
	require.Equal(t, "/v1/reports/shares?from=2026-03-01T10%3A00%3A00Z", <-queries)
}

// Guards against invalid input that results in another exit code than 2.
func TestBadInputExitsWithCodeTwo(t *testing.T) {
	for _, arguments := range [][]string{
		{"catalogue", "validate", "missing.jsonc"},
		{"catalogue", "lst"},
		{"catalgue"},
		{"catalogue", "show", "No Such Name"},
		{"settings", "check", "missing.jsonc"},
		{"report", "shares", "--from", "yesterday"},
		{"report", "why"},
		{"status", "--format", "xml"},
		{"status", "--server", "not-an-address"},
	} {
		_, err := run(t, arguments...)
		require.Equal(t, requester.ExitBadInput, requester.ExitCode(err), "%v: %v", arguments, err)
	}
}
