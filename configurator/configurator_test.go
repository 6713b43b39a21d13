package configurator_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/parser"
)

const entryFile = `{
	// An entry host.
	"role": "entry",
	"name": "entry-1",
	"data_centre": "east",
	"region": "coast",
	"listen": "127.0.0.1:7201",
	"advertise": "127.0.0.1:7201",
	"peer_listen": "127.0.0.1:7301",
	"peer_advertise": "127.0.0.1:7301",
	"data_centres": ["east"],
	"peers": [
		{"name": "entry-2", "data_centre": "east", "address": "127.0.0.1:7302"},
	],
	"log_address": "127.0.0.1:7000",
	"live_list_address": "127.0.0.1:7000",
	"operators": [{"name": "ada", "token": "operator-secret-01"}],
	"callers": [{"name": "desk", "token": "caller-secret-0001"}],
	"stop_grace": "5s",
}`

const workerFile = `{
	"role": "worker", "name": "worker-1", "data_centre": "east", "rack": "r1",
	"listen": "127.0.0.1:7101", "advertise": "127.0.0.1:7101", "platform_address": "127.0.0.1:7000",
	"capacity": {"milli_cpu": 16000, "memory": "32GB", "slots": 8},
}`

const schedulerFile = `{
	"role": "scheduler", "name": "h-1", "data_centre": "a", "region": "r", "callers_listen": "127.0.0.1:1", "ready_listen": "127.0.0.1:2",
	"metrics_listen": "127.0.0.1:3", "link_listen": "127.0.0.1:4", "store_address": "127.0.0.1:5", "store_partitions": 2, "store_record": 262144,
	"store_retention": "1h", "state_retention": "2m", "max_lease": "10s", "stop_grace": "3s", "processors": 0.2, "link_mbps": 10,
	"memory_mb": 184,
}`

const platformFile = `{"role": "platform", "listen": "127.0.0.1:7000", "lag": "1s", "retention": "1h"}`

// Guards against a setting that is decoded into another field, and against a default that is not applied.
func TestParseSettings(t *testing.T) {
	entry, err := configurator.ParseEntry("entry.jsonc", []byte(entryFile))
	require.NoError(t, err)
	require.Equal(t, "entry-1", entry.Name())
	require.Equal(t, 5*time.Second, entry.StopGrace())
	require.Equal(t, 62*24*time.Hour, entry.ClaimHorizon())
	require.Equal(t, "127.0.0.1:7302", entry.Peers()[0].Address())
	token, ok := almondcross.FindToken(entry.Tokens(), "caller-secret-0001")
	require.True(t, ok)
	require.Equal(t, "desk", token.Name())
	require.Equal(t, almondcross.RoleCaller, token.Role())
	require.NotContains(t, fmt.Sprintf("%+v", entry), "secret", "the printed settings contain a token")

	worker, err := configurator.ParseWorker("worker.jsonc", []byte(workerFile))
	require.NoError(t, err)
	require.Equal(t, int64(32_000), worker.Capacity().MemoryMB())
	platform, err := configurator.ParsePlatform("platform.jsonc", []byte(platformFile))
	require.NoError(t, err)
	require.Equal(t, time.Hour, platform.Retention())
}

// Guards against an invalid file that is accepted, and against an error without the line or key.
func TestInvalidSettingsAreRejectedWithLineAndKey(t *testing.T) {
	const address = `an IP address and port such as "10.0.0.1:7201"`
	for _, row := range []struct{ name, file, old, changed, want string }{
		{
			"unknown key", entryFile, `"region"`, `"regoin"`,
			`f:6: regoin: found an unknown key; allowed: role, name, data_centre, region, listen, advertise, peer_listen, ` +
				`peer_advertise, data_centres, peers, log_address, live_list_address, operators, reporters, callers, stop_grace, ` +
				`request_timeout, request_timeout_max, change_timeout, query_timeout, log_timeout, worker_timeout, claim_horizon, account_interval, ` +
				`placement, share, memory_mb, max_descriptors, log_format`,
		},
		{"missing key", entryFile, `"log_address": "127.0.0.1:7000",`, ``, `f:1: log_address: found no value; allowed: ` + address},
		{"repeated key", entryFile, `"stop_grace": "5s"`, `"name": "other"`, `f:19: name: found the key a second time (first on line 4); allowed: each key once`},
		{"bad unit", entryFile, `"5s"`, `"5"`, `f:19: stop_grace: found "5"; allowed: a duration with unit (ms, s, m, h) from 0s to 1h`},
		{"no unit", entryFile, `"5s"`, `5`, `f:19: stop_grace: found 5; allowed: a duration with unit (ms, s, m, h) from 0s to 1h`},
		{"unit not allowed", entryFile, `"5s"`, `"5000000us"`, `f:19: stop_grace: found "5000000us"; allowed: a duration with unit (ms, s, m, h) from 0s to 1h`},
		{"host name instead of IP address", entryFile, `"log_address": "127.0.0.1:7000"`, `"log_address": "platform:7000"`, `f:15: log_address: found "platform:7000"; allowed: ` + address},
		{"error in a nested object", entryFile, `"address": "127.0.0.1:7302"`, `"address": 7302`, `f:13: peers[0].address: found 7302; allowed: ` + address},
		{"null", entryFile, `["east"]`, `null`, `f:11: data_centres: found null; allowed: a list of at least 1 different names`},
		{"unknown data centre", entryFile, `"data_centre": "east",
	"region"`, `"data_centre": "west",
	"region"`, `f:5: data_centre: found "west"; allowed: one of data_centres: east`},
		{"own name as peer", entryFile, `"entry-2"`, `"entry-1"`, `f:13: peers[0].name: found "entry-1" more than once; allowed: a unique name that is not the host's own`},
		{"same address for callers and peers", entryFile, `"peer_listen": "127.0.0.1:7301"`, `"peer_listen": "127.0.0.1:7201"`, `f:9: peer_listen: found "127.0.0.1:7201"; allowed: an address other than listen`},
		{"default timeout above maximum", entryFile, `"stop_grace": "5s"`, `"request_timeout_max": "10s"`, `f:1: request_timeout: found "30s" (the default); allowed: at most request_timeout_max, 10s`},
		{"short token", entryFile, `"caller-secret-0001"`, `"hunter2"`, `f:18: callers[0].token: found 7 characters; allowed: at least 16 characters`},
		{"token of a wrong type", entryFile, `"caller-secret-0001"`, `1234567`, `f:18: callers[0].token: found a hidden value; allowed: at least 16 characters`},
		{"token instead of an object", entryFile, `{"name": "desk", "token": "caller-secret-0001"}`, `"caller-secret-0001"`, `f:18: callers[0]: found a hidden value; allowed: an object`},
		{"token without quotes", entryFile, `"caller-secret-0001"`, `secret`, `f:18: document: found a syntax error (invalid literal); allowed: JSON with comments`},
		{"token instead of a name", entryFile, `"desk"`, `"Caller Secret"`, `f:18: callers[0].name: found a hidden value; allowed: 1 to 100 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends`},
		{"shared token", entryFile, `"caller-secret-0001"`, `"operator-secret-01"`, `f:18: callers[0].token: found the token of ada; allowed: a different token for each bearer`},
		{"missing comma", entryFile, `"coast",`, `"coast"`, `f:7: document: found a syntax error (invalid character '"' after object value (expecting ',' or '}')); allowed: JSON with comments`},
		{"memory unit", workerFile, `"32GB"`, `"32GiB"`, `f:4: capacity.memory: found "32GiB"; allowed: an amount with unit (MB, GB, TB) from 1MB to 64TB`},
		{"fraction instead of whole number", workerFile, `16000`, `1.5`, `f:4: capacity.milli_cpu: found 1.5; allowed: a whole number from 1 to 1000000`},
		{"retention not above lag", platformFile, `"1h"`, `"1s"`, `f:1: retention: found 1s; allowed: more than lag, 1s`},
		{"too few descriptors", schedulerFile, `"memory_mb": 184`, `"memory_mb": 184, "max_descriptors": 255`, `f:5: max_descriptors: found 255; allowed: 0, or at least 256`},
		{"no time for the answer after a body", schedulerFile, `"memory_mb": 184`, `"memory_mb": 184, "body_timeout": "6s"`, `f:1: answer_timeout: found 6s (the default); allowed: at least a second more than body_timeout, 6s`},
		{"unknown role", platformFile, `"platform"`, `"plattform"`, `f:1: role: found "plattform"; allowed: one of entry, platform, worker, scheduler`},
		{"too deep nesting", platformFile, `"1h"`, strings.Repeat("[", 100), `f:1: document: found more than 64 nested brackets; allowed: less nesting`},
	} {
		t.Run(row.name, func(t *testing.T) {
			require.Contains(t, row.file, row.old)
			_, err := configurator.CheckSource("f", []byte(strings.Replace(row.file, row.old, row.changed, 1)))
			require.EqualError(t, err, row.want)
			require.ErrorIs(t, err, parser.ErrInvalid)
		})
	}
}

// Guards against example files that do not match the current declarations.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/settings/*.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 6)
	for _, file := range files {
		_, err := configurator.Check(file)
		require.NoError(t, err)
	}
}

// Guards against a docs/settings.md that was not generated from the current declarations.
func TestSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../docs/settings.md")
	require.NoError(t, err)
	require.Equal(t, configurator.SettingsPage(), string(page))
}

// Guards against a file that crashes the parser, and against an error of more than one line.
func FuzzSettings(f *testing.F) {
	for _, seed := range []string{entryFile, workerFile, platformFile, `{"role":`, `[[["`, "/*", `{"role":"entry","\n":1}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, source []byte) {
		_, err := configurator.CheckSource("f", source)
		if err != nil && strings.ContainsAny(err.Error(), "\r\n") {
			t.Fatalf("the error has more than one line: %q", err)
		}
	})
}
