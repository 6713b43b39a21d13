package assembler

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/requester"
)

// runConfigurationCheck runs the command with a file on the standard input, and returns its output and exit code.
func runConfigurationCheck(source string, arguments ...string) (output string, exitCode int, message string) {
	root := Root()
	var stdout, stderr bytes.Buffer
	root.SetIn(strings.NewReader(source))
	root.SetOut(&stdout)
	root.SetErr(&stderr)
	root.SetArgs(append([]string{"configuration", "check"}, arguments...))
	err := root.Execute()
	if err != nil {
		stderr.WriteString(err.Error())
	}
	return stdout.String(), requester.ExitCode(err), stderr.String()
}

func newConfiguration(t *testing.T, version int, workspaces ...standin.Workspace) string {
	t.Helper()
	route := standin.Route{Name: "reports", Host: "jobs", Prefix: "/r", Pool: "main", MaxAttempts: 3, Stretch: 2}
	source, err := standin.WorkspacesConfiguration(version, "main", append([]standin.Workspace{}, workspaces...), route) // A nil list would be none.
	require.NoError(t, err)
	return string(source)
}

// Guards against an exit code that scripts misread, and against a refusal by the decoder that the check does not report.
func TestConfigurationCheckExitCodes(t *testing.T) {
	key := standin.Workspace{Name: "w", Keys: []string{"secret-1"}}
	clean := newConfiguration(t, 3, key)
	for name, test := range map[string]struct {
		source    string
		arguments []string
		exitCode  int
		output    string
	}{
		"clean":          {clean, []string{"-"}, 0, "version 3: no findings\n"},
		"clean json":     {clean, []string{"-", "--format", "json"}, 0, `"findings": []`},
		"warning":        {newConfiguration(t, 3), []string{"-"}, 1, "warning   workspaces"},
		"no version":     {newConfiguration(t, 0, key), []string{"-"}, 1, "version 0"},
		"doubled key":    {newConfiguration(t, 3, key, standin.Workspace{Name: "v", Keys: key.Keys}), []string{"-"}, 1, `key 0 of workspace "v" is also one of workspace "w"`},
		"empty":          {"\n", []string{"-"}, 1, "the file is empty"},
		"cut off":        {"{\n \"version\"", []string{"-"}, 1, "line 2, column 10"},
		"two values":     {clean + "\n" + clean, []string{"-"}, 1, "line 2, column 1"},
		"doubled field":  {strings.Replace(clean, `"version"`, "\"version\":1,\n\"version\"", 1), []string{"-"}, 1, "line 2, column 9"},
		"wrong type":     {`{"version":` + "\n" + `"secret-1"}`, []string{"-"}, 1, "line 2, column 10"},
		"no file":        {clean, []string{"/does/not/exist"}, 2, ""},
		"no argument":    {clean, nil, 2, ""},
		"two arguments":  {clean, []string{"-", "-"}, 2, ""},
		"unknown format": {clean, []string{"-", "--format", "xml"}, 2, ""},
		"unknown flag":   {clean, []string{"-", "--stores", "x"}, 2, ""},
		"empty store":    {clean, []string{"-", "--store", ""}, 2, ""},
		"no port":        {clean, []string{"-", "--store", "127.0.0.1"}, 2, ""},
	} {
		t.Run(name, func(t *testing.T) {
			output, exitCode, message := runConfigurationCheck(test.source, test.arguments...)
			require.Equal(t, test.exitCode, exitCode, message)
			require.Contains(t, output, test.output)
			require.Equal(t, exitCode == 0, message == "")
			require.NotContains(t, output+message, "secret")
			if exitCode == requester.ExitBadInput {
				require.Empty(t, output)
			}
		})
	}
}

// Guards against a check that compares with another version than the one in force, that shows keys, or that loses its findings if
// the store cannot be read.
func TestConfigurationCheckComparesWithTheStore(t *testing.T) {
	store := standin.NewStore()
	go func() { _ = store.Run(t.Context()) }()
	server := httptest.NewServer(store.Handler())
	address := server.Listener.Addr().String()
	put := func(source string) {
		require.NoError(t, store.Put(t.Context(), translator.OperatorsTopic, translator.ConfigurationKey, []byte(source)))
	}
	next := newConfiguration(t, 5, standin.Workspace{Name: "w", Keys: []string{"secret-2", "secret-3"}})

	output, exitCode, message := runConfigurationCheck(next, "-", "--store", address)
	require.Equal(t, "version 5: no findings\n", output)
	require.Zero(t, exitCode)
	require.Contains(t, message, "no valid configuration to compare with")

	put(newConfiguration(t, 4, standin.Workspace{Name: "w", Keys: []string{"secret-1"}}))
	output, exitCode, message = runConfigurationCheck(next, "-", "--store", address, "--format", "json")
	require.Zero(t, exitCode, "differences are no findings to correct")
	var report configurationReportJSON
	require.NoError(t, json.Unmarshal([]byte(output), &report))
	require.Equal(t, configurationReportJSON{Version: 5, InForce: 4, Compared: true, Findings: []findingJSON{
		{Severity: "difference", Place: `workspace 0 "w"`, Text: "keys gained: 2, keys lost: 1"},
	}}, report, message)

	put(next)
	put(newConfiguration(t, 0))
	output, exitCode, message = runConfigurationCheck(next, "-", "--store", address)
	require.Equal(t, requester.ExitFailed, exitCode)
	require.Contains(t, output, "version 5 is not higher than version 5 in force")
	require.Contains(t, message, "hosts reject the newest configuration")

	server.Close()
	output, exitCode, message = runConfigurationCheck(newConfiguration(t, 5), "-", "--store", address)
	require.Equal(t, requester.ExitFailed, exitCode)
	require.Contains(t, output, "the list is empty")
	require.Contains(t, message, "the store "+address+" cannot be read")
}
