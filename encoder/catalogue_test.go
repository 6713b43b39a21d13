package encoder_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

const catalogueFile = `// A catalogue.
{
	"entries": [
		{
			"name": "lookup",
			"owner": "counters",
			"class": "call",
			"resources": {"milli_cpu": 100, "memory": "512MB", "slots": 1},
			"timeout": "1.5s",
			"max_run": "10s",
			"share": 3,
			"repeatable": true,
		},
		{"name": "pair", "owner": "x", "class": "gang", "resources": {"slots": 1}, "tasks": 2, "share": 1, "repeatable": false},
		{"name": "web", "owner": "x", "class": "service", "resources": {"slots": 1}, "replicas": 2, "share": 1, "repeatable": true},
	],
}`

// Guards against a field of an entry that is decoded into another field or lost in JSON.
func TestCatalogueFileRoundTrip(t *testing.T) {
	file, err := encoder.DecodeCatalogueFile("f", []byte(catalogueFile))
	require.NoError(t, err)
	require.Len(t, file.Entries(), 3)
	entry := file.Entries()[0]
	require.Equal(t, 1500*time.Millisecond, entry.Timeout())
	require.Equal(t, int64(512), entry.Resources().MemoryMB())
	require.Equal(t, almondcross.ClassCall, entry.Class())

	entry = almondcross.NewEntry(almondcross.EntryConfig{
		Name: "a", Owner: "b", Class: almondcross.ClassBatch, Share: 7, Repeatable: true, Urgent: true,
		Resources:  almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1, MemoryMB: 2, Accelerators: 3, Slots: 4}),
		MaxRunning: 5, MaxWaiting: 6, Timeout: time.Minute, MaxRun: 90 * time.Second, ExpectedRun: 1001 * time.Millisecond,
		DataCentres: []string{"east", "west"}, Version: 99,
	})
	body, err := json.Marshal(encoder.NewEntryJSON(entry))
	require.NoError(t, err)
	decoded, err := encoder.DecodeEntry("entry", body)
	require.NoError(t, err)
	require.Equal(t, entry, decoded)
}

// Guards against an invalid catalogue that is accepted, and against an error without the line or key.
func TestInvalidCatalogueIsRejectedWithLineAndKey(t *testing.T) {
	for _, row := range []struct{ name, old, changed, want string }{
		{"unknown key", `"share": 3`, `"shares": 3`, `f:11: entries[0].shares: found an unknown key; allowed: name, owner, class, resources, replicas, tasks, max_running, max_waiting, timeout, max_run, expected_run, share, repeatable, urgent, data_centres, version`},
		{"missing key", `"repeatable": true,
		}`, `}`, `f:4: entries[0].repeatable: found no value; allowed: true or false`},
		{"memory without unit", `"512MB"`, `512`, `f:8: entries[0].resources.memory: found 512; allowed: an amount with unit (MB, GB, TB) from 0MB to 64TB`},
		{"duration with space", `"1.5s"`, `"1.5 s"`, `f:9: entries[0].timeout: found "1.5 s"; allowed: a duration with unit (ms, s, m, h) from 0s to 1488h`},
		{"class", `"call"`, `"Call"`, `f:7: entries[0].class: found "Call"; allowed: one of service, batch, gang, call`},
		{"negative", `"milli_cpu": 100`, `"milli_cpu": -1`, `f:8: entries[0].resources.milli_cpu: found -1; allowed: a whole number from 0 to 1000000`},
		{"no resources", `{"milli_cpu": 100, "memory": "512MB", "slots": 1}`, `{}`, `f:8: entries[0].resources: found nothing; allowed: at least one resource above zero`},
		{"call without timeout", `"timeout": "1.5s",`, ``, `f:4: entries[0].timeout: found 0s (the default); allowed: more than 0s for class call, whose caller waits`},
		{"expected run above maximum", `"share": 3`, `"expected_run": "1m", "share": 3`, `f:11: entries[0].expected_run: found 1m; allowed: at most max_run, 10s`},
		{"gang of one", `"tasks": 2`, `"tasks": 1`, `f:14: entries[1].tasks: found 1; allowed: at least 2 for class gang`},
		{"service without replicas", `"replicas": 2`, `"replicas": 0`, `f:15: entries[2].replicas: found 0; allowed: at least 1 for class service`},
		{"duplicate name", `"pair"`, `"lookup"`, `f:14: entries[1].name: found "lookup" more than once; allowed: unique names`},
		{"wrong list key", `"entries"`, `"entry"`, `f:3: entry: found an unknown key; allowed: entries`},
	} {
		t.Run(row.name, func(t *testing.T) {
			require.Contains(t, catalogueFile, row.old)
			_, err := encoder.DecodeCatalogueFile("f", []byte(strings.Replace(catalogueFile, row.old, row.changed, 1)))
			require.EqualError(t, err, row.want)
		})
	}
}

// Guards against example files that do not match the current format.
func TestExampleCataloguesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.jsonc")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, path := range files {
		source, err := os.ReadFile(path)
		require.NoError(t, err)
		_, err = encoder.DecodeCatalogueFile(path, source)
		require.NoError(t, err)
	}
}

// Guards against a file that crashes the decoder, an error of more than one line, and an accepted entry
// that the API rejects.
func FuzzCatalogueFile(f *testing.F) {
	f.Add([]byte(catalogueFile))
	f.Add([]byte(`{"entries":[{"name":"a"`))
	f.Add([]byte(`{"entries":[{"name":1e400,"\u0000":[]}]}`))
	f.Fuzz(func(t *testing.T, source []byte) {
		file, err := encoder.DecodeCatalogueFile("f", source)
		if err != nil {
			if strings.ContainsAny(err.Error(), "\r\n") {
				t.Fatalf("the error has more than one line: %q", err)
			}
			return
		}
		for _, entry := range file.Entries() {
			body, err := json.Marshal(encoder.NewEntryJSON(entry))
			require.NoError(t, err)
			redecoded, err := encoder.DecodeEntry("entry", body)
			require.NoError(t, err)
			require.Equal(t, encoder.NewEntryJSON(entry), encoder.NewEntryJSON(redecoded))
		}
	})
}
