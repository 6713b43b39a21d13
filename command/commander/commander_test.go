package commander_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/commander"
	"github.com/almondcross/almondcross/command/receiver"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/lister"
	"github.com/almondcross/almondcross/query/viewer"
	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/ring"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// stubHost simulates an entry host with one entry in its catalogue and a peer in a second data centre,
// whose catalogue lags behind.
type stubHost struct{}

func (stubHost) Catalogue() almondcross.Catalogue {
	return almondcross.NewCatalogue().WithOffset(7).WithEntry(almondcross.NewEntry(almondcross.EntryConfig{
		Name: "lookup", Owner: "desk", Class: almondcross.ClassCall, Share: 3, Timeout: time.Second, Repeatable: true,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{Slots: 1}), Version: 7,
	}))
}

func (stubHost) Status() almondcross.HostStatus {
	member := func(name, dataCentre string) almondcross.Member {
		return almondcross.NewMember(almondcross.MemberConfig{
			ID: almondcross.NewMemberID(almondcross.MemberIDConfig{Name: name}), DataCentre: dataCentre,
		})
	}
	peer := almondcross.NewPeer(almondcross.PeerConfig{
		Member: member("b", "west"), Summary: almondcross.NewSummary(almondcross.SummaryConfig{CatalogueOffset: 7}),
	})
	return almondcross.NewHostStatus(almondcross.HostStatusConfig{
		View:            almondcross.NewView(almondcross.ViewConfig{Self: member("a", "east"), Peers: map[string]almondcross.Peer{"b": peer}}),
		CatalogueOffset: 9, Ready: true,
	})
}

// startServer starts an HTTP server of a host whose cataloguer accepts every change as version 9. It
// returns the URL and the received changes.
func startServer(t *testing.T) (string, <-chan almondcross.CatalogueChange) {
	coordinator := ring.New[almondcross.CoordinatorMessage](ring.Config{Capacity: 1})
	cataloguer := ring.New[almondcross.CataloguerMessage](ring.Config{Capacity: 1})
	tokens := []almondcross.Token{almondcross.NewToken(almondcross.TokenConfig{Name: "ada", Role: almondcross.RoleOperator, Secret: "secret"})}
	router := mux.NewRouter()
	receiver.New(receiver.Config{
		Coordinator: coordinator, Cataloguer: cataloguer, Clock: systemClock{}, Tokens: tokens, ChangeTimeout: time.Second,
	}).Register(router)
	viewer.New(viewer.Config{
		Coordinator: coordinator, Catalogue: stubHost{}, Status: stubHost{}, Clock: systemClock{}, Tokens: tokens,
		DataCentres: []string{"east", "west", "north"}, QueryTimeout: time.Second,
	}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	changes := make(chan almondcross.CatalogueChange, 10)
	go func() {
		for {
			select {
			case <-t.Context().Done():
				return
			case message := <-cataloguer.Messages():
				change := message.(almondcross.ChangeCatalogue)
				changes <- change.Change()
				change.Replier().ReplyChange(almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
					Name: change.Change().Name(), Accepted: true, Certain: true, Version: 9,
				}))
			}
		}
	}()
	return server.URL, changes
}

// runCommand adds the subcommands to a root command, as the assembler does, and runs a command line.
func runCommand(t *testing.T, arguments ...string) (stdout string, err error) {
	t.Setenv(requester.TokenVariable, "secret")
	root := &cobra.Command{Use: "almondcross"}
	root.AddCommand(lister.New(lister.Config{Clock: systemClock{}})...)
	commands := commander.New(commander.Config{
		Clock:     systemClock{},
		NewViewer: func(config requester.Config) (almondcross.CellViewer, error) { return lister.NewClient(config) },
	})
	root.AddCommand(commands.TopLevel...)
	for _, command := range root.Commands() {
		if command.Name() == "catalogue" {
			command.AddCommand(commands.Catalogue...)
		}
	}
	requester.Prepare(root)
	var output bytes.Buffer
	root.SetOut(&output)
	root.SetErr(&bytes.Buffer{})
	root.SetArgs(arguments)
	err = root.ExecuteContext(t.Context())
	return output.String(), err
}

func writeFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "catalogue.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const lookupFile = `{"entries": [{"name": "lookup", "owner": "desk", "class": "call", "resources": {"slots": 1},
	"timeout": "1s", "share": 5, "repeatable": true}]}`

// Guards against an apply that does not print the difference, does not send the expected version, or
// reports success before every data centre has the change.
func TestApplyPrintsDifferenceAndWaits(t *testing.T) {
	server, changes := startServer(t)
	output, err := runCommand(t, "catalogue", "apply", writeFile(t, lookupFile), "--server", server, "--wait", "--wait-limit", "50ms")
	require.Equal(t, requester.ExitUncertain, requester.ExitCode(err))
	require.EqualError(t, err, "accepted, but not yet reported in force by every data centre: west (offset 7 of 9), north (no known host)")
	require.Equal(t, "~ lookup (version 7)\n    share: 3 -> 5\n1 to change, 0 unchanged\nlookup: accepted as version 9\n", output)
	change := <-changes
	require.EqualValues(t, 7, change.Expected())
	require.Equal(t, "ada", change.Operator())
	require.Equal(t, int64(5), change.Entry().Share())
}

// Guards against a change that is sent although the input is invalid or the file is based on an outdated
// version of the entry.
func TestApplySendsNothingOnBadInput(t *testing.T) {
	server, changes := startServer(t)
	_, err := runCommand(t, "catalogue", "apply", writeFile(t, `{"entries": [{"nam": 1}]}`), "--server", server)
	require.Equal(t, requester.ExitBadInput, requester.ExitCode(err))
	_, err = runCommand(t, "catalogue", "apply", "--serverr", server)
	require.Equal(t, requester.ExitBadInput, requester.ExitCode(err))
	stale := `{"entries": [{"name": "lookup", "owner": "desk", "class": "call", "resources": {"slots": 1},
		"timeout": "1s", "share": 5, "repeatable": true, "version": 6}]}`
	_, err = runCommand(t, "catalogue", "apply", writeFile(t, stale), "--server", server)
	require.Equal(t, requester.ExitFailed, requester.ExitCode(err))
	require.EqualError(t, err, "lookup: version_conflict: the file is based on version 6, the catalogue has 7")
	require.Empty(t, changes)
}

// startCallServer starts a server that answers each attempt with the next of the given functions, and
// further ones with the last. It returns the URL and the received bodies.
func startCallServer(t *testing.T, answers ...http.HandlerFunc) (string, <-chan encoder.RequestBody) {
	bodies := make(chan encoder.RequestBody, len(answers))
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var body encoder.RequestBody
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		answer := answers[min(len(bodies), len(answers)-1)]
		bodies <- body
		answer(writer, request.WithContext(context.WithValue(request.Context(), bodyKey{}, body)))
	}))
	t.Cleanup(server.Close)
	return server.URL, bodies
}

type bodyKey struct{}

func answerWith(status int, outcome encoder.OutcomeJSON) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body := request.Context().Value(bodyKey{}).(encoder.RequestBody)
		response := outcome
		if response.Status == almondcross.StatusDone || response.Status == almondcross.StatusRunning {
			response.Key, response.Origin = body.Key, body.Origin
		}
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(response)
	}
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// Guards against a retry with another key, origin or time of issue, which could run the work twice.
func TestCallRetriesWithSameIdentity(t *testing.T) {
	short := encoder.Duration(time.Millisecond)
	server, bodies := startCallServer(t,
		answerWith(http.StatusServiceUnavailable, encoder.OutcomeJSON{Status: almondcross.StatusNotRun, Code: almondcross.CodeOverloaded, RetryAfter: &short}),
		abortConnection,
		answerWith(http.StatusAccepted, encoder.OutcomeJSON{Status: almondcross.StatusRunning, RetryAfter: &short}),
		answerWith(http.StatusOK, encoder.OutcomeJSON{Status: almondcross.StatusDone, Answer: []byte("42")}),
	)
	output, err := runCommand(t, "call", "lookup", "--origin", "east", "--server", server, "--timeout", "20s")
	require.NoError(t, err)
	require.Equal(t, "42", output)
	first := <-bodies
	require.NotEmpty(t, first.Key)
	require.NotNil(t, first.IssuedAt)
	for _, retry := range []bool{false, true, true} {
		body := <-bodies
		require.Equal(t, first.Key, body.Key)
		require.Equal(t, first.Origin, body.Origin)
		require.True(t, first.IssuedAt.Equal(*body.IssuedAt))
		require.Equal(t, retry, body.Retry)
	}
}

// Guards against a lost answer that is reported as a failure, and against a failure that is reported as
// uncertain.
func TestCallReportsUncertainOutcome(t *testing.T) {
	server, _ := startCallServer(t, abortConnection)
	_, err := runCommand(t, "call", "lookup", "--origin", "east", "--server", server, "--timeout", "100ms")
	require.Equal(t, requester.ExitUncertain, requester.ExitCode(err), "lost answer: %v", err)

	_, err = runCommand(t, "call", "lookup", "--origin", "east", "--server", "127.0.0.1:1", "--timeout", "100ms")
	require.Equal(t, requester.ExitFailed, requester.ExitCode(err), "no connection: %v", err)

	server, _ = startCallServer(t, answerWith(http.StatusGone, encoder.OutcomeJSON{Status: almondcross.StatusNotRun, Code: almondcross.CodeKeyExpired}))
	_, err = runCommand(t, "call", "lookup", "--origin", "east", "--server", server, "--timeout", "10s")
	require.Equal(t, requester.ExitFailed, requester.ExitCode(err), "not run: %v", err)
}

// Guards against a change whose answer is lost and that is reported as failed or accepted although the
// catalogue does not show it.
func TestLostAnswerIsResolvedFromCatalogue(t *testing.T) {
	catalogueWithEntry := func(share int64, version almondcross.Offset) encoder.CatalogueJSON {
		current, _ := stubHost{}.Catalogue().Entry("lookup")
		return encoder.CatalogueJSON{Offset: version, Entries: []encoder.EntryJSON{encoder.NewEntryJSON(current.WithShare(share).WithVersion(version))}}
	}
	for _, row := range []struct {
		name  string
		after encoder.CatalogueJSON
		code  int
	}{
		{"accepted", catalogueWithEntry(5, 9), requester.ExitSuccess},
		{"another change was accepted first", catalogueWithEntry(4, 9), requester.ExitFailed},
		{"not decided", catalogueWithEntry(3, 7), requester.ExitUncertain},
	} {
		t.Run(row.name, func(t *testing.T) {
			sent := make(chan struct{})
			router := mux.NewRouter()
			router.HandleFunc("/v1/catalogue", func(writer http.ResponseWriter, request *http.Request) {
				close(sent)
				abortConnection(writer, request)
			}).Methods(http.MethodPost)
			router.HandleFunc("/v1/catalogue", func(writer http.ResponseWriter, _ *http.Request) {
				catalogue := row.after
				select {
				case <-sent:
				default:
					catalogue = catalogueWithEntry(3, 7)
				}
				_ = json.NewEncoder(writer).Encode(catalogue)
			}).Methods(http.MethodGet)
			server := httptest.NewServer(router)
			t.Cleanup(server.Close)
			_, err := runCommand(t, "catalogue", "apply", writeFile(t, lookupFile), "--server", server.URL, "--timeout", "500ms")
			require.Equal(t, row.code, requester.ExitCode(err), "%v", err)
		})
	}
}
