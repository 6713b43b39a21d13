package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

const (
	dataCentre    = "dc-1"
	operatorToken = "process-operator-token"
	callerToken   = "process-caller-token"
	recordLimit   = 1 << 17
)

// client opens a connection for each call: a kept one that a stopping host closes while the call
// is written would look like a request that was cut.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// cell is a platform, workers and entry hosts in processes of their own.
type cell struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand // random is used by the goroutine of the test alone.
	platform *process
	workers  []*process
	hosts    []*process

	answers  chan answer
	readings chan catalogueReading
	leaving  []leavingMark
	stops    []plannedStop
	changes  []acceptedChange
	injected map[string]int // injected counts the failures by kind.
}

// entries are the catalogue of the scenarios.
var entries = []string{
	`{"name": "lookup", "owner": "counters", "class": "call", "resources": {"milli_cpu": 100, "memory": "64MB", "slots": 1},
	  "timeout": "30s", "expected_run": "20ms", "max_run": "20s", "share": 60, "repeatable": true}`,
	`{"name": "payment", "owner": "orders", "class": "call", "resources": {"milli_cpu": 200, "memory": "64MB", "slots": 1},
	  "timeout": "30s", "expected_run": "20ms", "max_run": "20s", "share": 40, "repeatable": false}`,
	`{"name": "tally", "owner": "registers", "class": "batch", "resources": {"milli_cpu": 2000, "memory": "4GB", "slots": 1},
	  "timeout": "1h", "expected_run": "5s", "max_run": "1h", "share": 20, "repeatable": true}`,
}

// newCell starts a cell, waits until it is ready and publishes the catalogue.
func newCell(t *testing.T, hosts, workers int) *cell {
	t.Logf("seed %d", *seedFlag)
	cell := &cell{
		t: t, seed: *seedFlag, random: rand.New(rand.NewPCG(*seedFlag, 1)),
		answers: make(chan answer, recordLimit), readings: make(chan catalogueReading, recordLimit), injected: map[string]int{},
	}
	directory := t.TempDir()
	addresses := freeAddresses(t, 1+workers+2*hosts)
	newProcess := func(verb, name, address, settings string) *process {
		config := filepath.Join(directory, name+".jsonc")
		require.NoError(t, os.WriteFile(config, []byte(settings), 0o600))
		return &process{t: t, verb: verb, name: name, address: address, config: config, log: filepath.Join(directory, name+".log")}
	}
	platform := addresses[0]
	cell.platform = newProcess("platform", "platform", platform,
		fmt.Sprintf(`{"role": "platform", "listen": %q, "lag": "200ms"}`, platform))
	for index := range workers {
		name, address := fmt.Sprintf("worker-%d", index+1), addresses[1+index]
		cell.workers = append(cell.workers, newProcess("worker", name, address, fmt.Sprintf(`{"role": "worker", "name": %q,
			"data_centre": %q, "rack": "rack-%d", "listen": %q, "advertise": %q, "platform_address": %q,
			"capacity": {"milli_cpu": 16000, "memory": "32GB", "slots": 8}}`, name, dataCentre, 1+index/2, address, address, platform)))
	}
	peers := addresses[1+workers:]
	for index := range hosts {
		name := fmt.Sprintf("entry-%d", index+1)
		host := newProcess("entry", name, peers[2*index], entrySettings(index, peers, platform))
		host.peer = peers[2*index+1]
		cell.hosts = append(cell.hosts, host)
	}
	t.Cleanup(cell.printLogs)
	cell.startAll()
	return cell
}

func entrySettings(index int, addresses []string, platform string) string {
	var peers []string
	for other := range len(addresses) / 2 {
		if other != index {
			peers = append(peers, fmt.Sprintf(`{"name": "entry-%d", "data_centre": %q, "address": %q}`, other+1, dataCentre, addresses[2*other+1]))
		}
	}
	return fmt.Sprintf(`{"role": "entry", "name": "entry-%d", "data_centre": %q, "region": "r-1", "listen": %q, "advertise": %q,
		"peer_listen": %q, "peer_advertise": %q, "data_centres": [%q], "peers": [%s], "log_address": %q, "live_list_address": %q,
		"operators": [{"name": "operator", "token": %q}], "callers": [{"name": "caller", "token": %q}], "stop_grace": "5s"}`,
		index+1, dataCentre, addresses[2*index], addresses[2*index], addresses[2*index+1], addresses[2*index+1], dataCentre,
		strings.Join(peers, ", "), platform, platform, operatorToken, callerToken)
}

func (cell *cell) startAll() {
	cell.platform.start()
	eventually(cell.t, readyLimit, "the platform answers", func() bool {
		return cell.get(cell.platform.address, "/v1/live", nil) == nil
	})
	for _, process := range append(append([]*process{}, cell.workers...), cell.hosts...) {
		process.start()
	}
	// A host is not ready before it has read a catalogue record, so the entries come first.
	eventually(cell.t, readyLimit, "a host serves operators", func() bool {
		return cell.get(cell.hosts[0].address, "/v1/catalogue", nil) == nil
	})
	for _, entry := range entries {
		cell.publish(cell.hosts[0], entry)
	}
	for _, host := range cell.hosts {
		cell.awaitReady(host)
	}
	eventually(cell.t, readyLimit, "every host has the catalogue and the targets are held", func() bool {
		held := 0
		for _, host := range cell.hosts {
			status, err := cell.status(host)
			if err != nil || int(status.CatalogueOffset) < len(entries) {
				return false
			}
			held += len(status.Targets)
		}
		return held == len(cell.workers)
	})
}

// printLogs shows the log lines of the processes when the scenario failed.
func (cell *cell) printLogs() {
	if !cell.t.Failed() {
		return
	}
	for _, process := range append([]*process{cell.platform}, cell.hosts...) {
		content, err := os.ReadFile(process.log)
		if err == nil {
			cell.t.Logf("log of %s:\n%s", process.name, content[max(0, len(content)-4000):])
		}
	}
}

func (cell *cell) awaitReady(host *process) {
	cell.t.Helper()
	eventually(cell.t, readyLimit, host.name+" is ready", func() bool { return host.isReady(context.Background()) })
}

// call sends a JSON body and decodes the answer; a status other than 200 and 202 is an error.
func call(ctx context.Context, method, address, path, token string, body, into any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusAccepted {
		return fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, content)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(content, into)
}

func (cell *cell) get(address, path string, into any) error {
	return call(context.Background(), http.MethodGet, address, path, operatorToken, nil, into)
}

func (cell *cell) status(host *process) (encoder.StatusShape, error) {
	var shape encoder.StatusShape
	err := cell.get(host.address, "/v1/status", &shape)
	return shape, err
}

// publish puts a new entry into the catalogue.
func (cell *cell) publish(host *process, entry string) {
	cell.t.Helper()
	var named encoder.EntryShape
	require.NoError(cell.t, json.Unmarshal([]byte(entry), &named))
	var outcome encoder.ChangeOutcomeShape
	body := encoder.ChangeBody{Name: named.Name, Entry: json.RawMessage(entry)}
	require.NoError(cell.t, call(context.Background(), http.MethodPost, host.address, "/v1/catalogue", operatorToken, body, &outcome))
	require.True(cell.t, outcome.Accepted, "%+v", outcome)
	cell.changes = append(cell.changes, acceptedChange{Version: outcome.Version, At: time.Now()})
}

// switchLog sets the faults of the platform's log.
func (cell *cell) switchLog(switches encoder.PlatformSwitches) {
	cell.t.Helper()
	cell.injected[fmt.Sprintf("log %+v", switches)]++
	require.NoError(cell.t, call(context.Background(), http.MethodPut, cell.platform.address, "/v1/switches/log", "", switches, nil))
}

// watchCatalogues records the offsets of the ready hosts until the context ends.
func (cell *cell) watchCatalogues(ctx context.Context) {
	for _, host := range cell.hosts {
		go func() {
			ticker := time.NewTicker(200 * time.Millisecond)
			defer ticker.Stop()
			for {
				run := int(host.run.Load())
				var shape encoder.StatusShape
				err := call(ctx, http.MethodGet, host.address, "/v1/status", operatorToken, nil, &shape)
				// A reading that spans a restart belongs to neither process.
				if err == nil && shape.Ready && run == int(host.run.Load()) {
					cell.readings <- catalogueReading{Host: host.name, Run: run, At: time.Now(), Offset: shape.CatalogueOffset}
				}
				select {
				case <-ticker.C:
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

// collect reads the records of the stand-ins and of the callers.
func (cell *cell) collect() evidence {
	cell.t.Helper()
	result := evidence{leaving: cell.leaving, stops: cell.stops, changes: cell.changes}
	for _, worker := range cell.workers {
		var whole encoder.WorkerHistory
		for {
			var page encoder.WorkerHistory
			require.NoError(cell.t, cell.get(worker.address, fmt.Sprintf("/v1/history?after=%d", whole.Next), &page))
			page.Entries = append(whole.Entries, page.Entries...)
			if whole = page; whole.Next >= whole.Total {
				break
			}
		}
		result.workers = append(result.workers, whole)
	}
	for {
		var page encoder.PlatformAppends
		require.NoError(cell.t, cell.get(cell.platform.address, fmt.Sprintf("/v1/appends?after=%d", result.appends.Next), &page))
		page.Appends = append(result.appends.Appends, page.Appends...)
		if result.appends = page; page.Next >= page.Total {
			break
		}
	}
	for len(cell.answers) > 0 {
		result.answers = append(result.answers, <-cell.answers)
	}
	for len(cell.readings) > 0 {
		result.catalogues = append(result.catalogues, <-cell.readings)
	}
	return result
}

// requireFinal fails for each repeatable request without its answer and for each non-repeatable one
// whose caller does not learn what became of it. Section 3.3 of the design page allows unknown for
// work whose coordinator or target was lost; these are counted.
func (cell *cell) requireFinal(evidence evidence, results []result) {
	cell.t.Helper()
	checker := newChecker(evidence)
	failures, unknown := 0, 0
	for _, result := range results {
		if result.Status == almondcross.StatusDone || !result.order.repeatable() && result.isFinal() {
			continue
		}
		if !result.order.repeatable() && cell.told(result.order.key) == almondcross.StatusUnknown {
			if unknown++; unknown <= 2 {
				cell.t.Logf("%s stays unknown\n    %s", result.order.key, strings.Join(checker.timeline(result.order.key), "\n    "))
			}
			continue
		}
		if failures++; failures <= 5 {
			cell.t.Errorf("%s of %s, issued %s, ended with %s %s\n    %s", result.order.entry, result.order.key, result.order.issuedAt.Format("15:04:05.000"),
				result.Status, result.Code, strings.Join(append(checker.timeline(result.order.key), cell.decisions(result.order.key)...), "\n    "))
		}
	}
	cell.t.Logf("figures: %d of %d requests without a good end, %d non-repeatable ones unknown", failures, len(results), unknown)
}

// decisions returns what each host that still runs decided on a key.
func (cell *cell) decisions(key string) []string {
	var lines []string
	for _, host := range cell.hosts {
		var shape encoder.StoryShape
		if cell.get(host.address, "/v1/reports/why?caller=caller&origin="+dataCentre+"&key="+key, &shape) != nil {
			continue
		}
		for _, event := range shape.Events {
			lines = append(lines, fmt.Sprintf("%s %s decides %s code=%q target=%s %s", event.At.Format("15:04:05.000"), host.name,
				event.Event, event.Code, event.Target, event.Detail))
		}
	}
	slices.Sort(lines)
	return lines
}

// told returns what a host says of a key.
func (cell *cell) told(key string) almondcross.Status {
	var shape encoder.OutcomeShape
	path := "/v1/requests/" + key + "?origin=" + dataCentre
	if call(context.Background(), http.MethodGet, cell.hosts[0].address, path, callerToken, nil, &shape) != nil {
		return ""
	}
	return shape.Status
}

// verify checks the records, prints the figures of the run and each violation with its time line.
func (cell *cell) verify(results []result) evidence {
	cell.t.Helper()
	evidence := cell.collect()
	violations := check(evidence)
	starts := 0
	for _, history := range evidence.workers {
		for _, entry := range history.Entries {
			if entry.Kind == encoder.WorkerStarted {
				starts++
			}
		}
	}
	last, slow := map[string]int{}, 0
	for _, result := range results {
		if result.order.runMS < 1000 && result.Told.Sub(result.order.issuedAt) > 5*time.Second {
			slow++
		}
		last[fmt.Sprintf("%s %s", result.Status, result.Code)]++
	}
	told := map[string]int{}
	for _, answer := range evidence.answers {
		told[strings.TrimSpace(fmt.Sprintf("%s %s", answer.Status, answer.Code))]++
	}
	cell.t.Logf("figures: seed %d, %d requests, %d attempts, %d starts, %d appends, %d readings, injected %v, attempts %v, last outcomes %v, short ones over 5 s %d, violations %d",
		cell.seed, len(results), len(evidence.answers), starts, len(evidence.appends.Appends), len(evidence.catalogues),
		cell.injected, told, last, slow, len(violations))
	for index, violation := range violations {
		if index == 10 {
			break
		}
		cell.t.Errorf("%s", violation)
	}
	return evidence
}
