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
	dataCentre     = "dc-1"
	operatorToken  = "process-operator-token"
	callerToken    = "process-caller-token"
	recordCapacity = 1 << 17
)

// client opens a connection for each call. With keep-alive, a stopping host could close an idle connection
// while a call is being written, which would look like a request that was cut off.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// cell runs a platform stand-in, workers and entry hosts as separate processes.
type cell struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand // random is used by the test's goroutine only.
	platform *process
	workers  []*process
	hosts    []*process

	attempts       chan attempt
	readings       chan catalogueReading
	leavingPeriods []leavingPeriod
	stops          []plannedStop
	changes        []acceptedChange
	injectedFaults map[string]int // injectedFaults counts the injected faults by kind.
}

// entries are the catalogue entries of all scenarios.
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
		attempts: make(chan attempt, recordCapacity), readings: make(chan catalogueReading, recordCapacity), injectedFaults: map[string]int{},
	}
	directory := t.TempDir()
	addresses := reserveAddresses(t, 1+workers+2*hosts)
	newProcess := func(subcommand, name, address, settings string) *process {
		config := filepath.Join(directory, name+".jsonc")
		require.NoError(t, os.WriteFile(config, []byte(settings), 0o600))
		return &process{t: t, subcommand: subcommand, name: name, address: address, config: config, log: filepath.Join(directory, name+".log")}
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
		host.peerAddress = peers[2*index+1]
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
	eventually(cell.t, readyTimeout, "the platform responds", func() bool {
		return cell.get(cell.platform.address, "/v1/live", nil) == nil
	})
	for _, process := range append(append([]*process{}, cell.workers...), cell.hosts...) {
		process.start()
	}
	// A host becomes ready only after it has read a catalogue record, so the entries are published first.
	eventually(cell.t, readyTimeout, "a host serves operators", func() bool {
		return cell.get(cell.hosts[0].address, "/v1/catalogue", nil) == nil
	})
	for _, entry := range entries {
		cell.publish(cell.hosts[0], entry)
	}
	for _, host := range cell.hosts {
		cell.awaitReady(host)
	}
	eventually(cell.t, readyTimeout, "every host has the catalogue and holds its targets", func() bool {
		heldTargets := 0
		for _, host := range cell.hosts {
			status, err := cell.status(host)
			if err != nil || int(status.CatalogueOffset) < len(entries) {
				return false
			}
			heldTargets += len(status.Targets)
		}
		return heldTargets == len(cell.workers)
	})
}

// printLogs prints the ends of the logs of the platform and the entry hosts if the scenario failed.
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
	eventually(cell.t, readyTimeout, host.name+" is ready", func() bool { return host.isReady(context.Background()) })
}

// call sends a JSON body and decodes the response; a status other than 200 and 202 is an error.
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

func (cell *cell) status(host *process) (encoder.StatusJSON, error) {
	var status encoder.StatusJSON
	err := cell.get(host.address, "/v1/status", &status)
	return status, err
}

// publish puts a new entry into the catalogue.
func (cell *cell) publish(host *process, entry string) {
	cell.t.Helper()
	var parsed encoder.EntryJSON
	require.NoError(cell.t, json.Unmarshal([]byte(entry), &parsed))
	var outcome encoder.ChangeOutcomeJSON
	body := encoder.ChangeBody{Name: parsed.Name, Entry: json.RawMessage(entry)}
	require.NoError(cell.t, call(context.Background(), http.MethodPost, host.address, "/v1/catalogue", operatorToken, body, &outcome))
	require.True(cell.t, outcome.Accepted, "%+v", outcome)
	cell.changes = append(cell.changes, acceptedChange{Version: outcome.Version, At: time.Now()})
}

// setLogFaults sets the faults that the platform's log injects and replaces those of the last call.
func (cell *cell) setLogFaults(faults encoder.PlatformFaults) {
	cell.t.Helper()
	cell.injectedFaults[fmt.Sprintf("log %+v", faults)]++
	require.NoError(cell.t, call(context.Background(), http.MethodPut, cell.platform.address, "/v1/switches/log", "", faults, nil))
}

// watchCatalogues records the catalogue offsets of the ready hosts until the context ends.
func (cell *cell) watchCatalogues(ctx context.Context) {
	for _, host := range cell.hosts {
		go func() {
			ticker := time.NewTicker(200 * time.Millisecond)
			defer ticker.Stop()
			for {
				startCount := int(host.startCount.Load())
				var status encoder.StatusJSON
				err := call(ctx, http.MethodGet, host.address, "/v1/status", operatorToken, nil, &status)
				// A reading that spans a restart can't be attributed to either process.
				if err == nil && status.Ready && startCount == int(host.startCount.Load()) {
					cell.readings <- catalogueReading{Host: host.name, StartCount: startCount, At: time.Now(), Offset: status.CatalogueOffset}
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

// collectEvidence reads the records of the stand-ins and of the callers.
func (cell *cell) collectEvidence() evidence {
	cell.t.Helper()
	result := evidence{leavingPeriods: cell.leavingPeriods, stops: cell.stops, changes: cell.changes}
	for _, worker := range cell.workers {
		var all encoder.WorkerHistory
		for {
			var page encoder.WorkerHistory
			require.NoError(cell.t, cell.get(worker.address, fmt.Sprintf("/v1/history?after=%d", all.Next), &page))
			page.Entries = append(all.Entries, page.Entries...)
			if all = page; all.Next >= all.Total {
				break
			}
		}
		result.workers = append(result.workers, all)
	}
	for {
		var page encoder.PlatformAppends
		require.NoError(cell.t, cell.get(cell.platform.address, fmt.Sprintf("/v1/appends?after=%d", result.appends.Next), &page))
		page.Appends = append(result.appends.Appends, page.Appends...)
		if result.appends = page; page.Next >= page.Total {
			break
		}
	}
	for len(cell.attempts) > 0 {
		result.attempts = append(result.attempts, <-cell.attempts)
	}
	for len(cell.readings) > 0 {
		result.catalogues = append(result.catalogues, <-cell.readings)
	}
	return result
}

// requireFinalOutcomes fails the test for each repeatable request that did not complete and for each
// non-repeatable one whose caller did not receive its outcome. Section 3.3 of docs/design.md allows the
// status unknown for work whose coordinator or target was lost; these requests are only counted.
func (cell *cell) requireFinalOutcomes(evidence evidence, results []result) {
	cell.t.Helper()
	checker := newChecker(evidence)
	unfinished, unknown := 0, 0
	for _, result := range results {
		if result.Status == almondcross.StatusDone || !result.request.repeatable() && result.isFinal() {
			continue
		}
		if !result.request.repeatable() && cell.lookupStatus(result.request.key) == almondcross.StatusUnknown {
			if unknown++; unknown <= 2 {
				cell.t.Logf("%s stays unknown\n    %s", result.request.key, strings.Join(checker.timeline(result.request.key), "\n    "))
			}
			continue
		}
		if unfinished++; unfinished <= 5 {
			cell.t.Errorf("%s of %s, issued %s, ended with %s %s\n    %s", result.request.entry, result.request.key, result.request.issuedAt.Format("15:04:05.000"),
				result.Status, result.Code, strings.Join(append(checker.timeline(result.request.key), cell.decisionsOn(result.request.key)...), "\n    "))
		}
	}
	cell.t.Logf("figures: %d of %d requests without a final outcome, %d non-repeatable ones unknown", unfinished, len(results), unknown)
}

// decisionsOn returns the decisions on a key that each running host has recorded.
func (cell *cell) decisionsOn(key string) []string {
	var lines []string
	for _, host := range cell.hosts {
		var history encoder.DecisionHistoryJSON
		if cell.get(host.address, "/v1/reports/why?caller=caller&origin="+dataCentre+"&key="+key, &history) != nil {
			continue
		}
		for _, event := range history.Events {
			lines = append(lines, fmt.Sprintf("%s %s decides %s code=%q target=%s %s", event.At.Format("15:04:05.000"), host.name,
				event.Event, event.Code, event.Target, event.Detail))
		}
	}
	slices.Sort(lines)
	return lines
}

// lookupStatus returns the status that the first host reports for a key, or "" if the lookup fails.
func (cell *cell) lookupStatus(key string) almondcross.Status {
	var outcome encoder.OutcomeJSON
	path := "/v1/requests/" + key + "?origin=" + dataCentre
	if call(context.Background(), http.MethodGet, cell.hosts[0].address, path, callerToken, nil, &outcome) != nil {
		return ""
	}
	return outcome.Status
}

// verifyGuarantees checks the records, logs the figures of the run and reports up to ten violations with
// their timelines.
func (cell *cell) verifyGuarantees(results []result) evidence {
	cell.t.Helper()
	evidence := cell.collectEvidence()
	violations := checkEvidence(evidence)
	starts := 0
	for _, history := range evidence.workers {
		for _, entry := range history.Entries {
			if entry.Kind == encoder.WorkerTaskStarted {
				starts++
			}
		}
	}
	finalOutcomes, slowRequests := map[string]int{}, 0
	for _, result := range results {
		if result.request.runMS < 1000 && result.Received.Sub(result.request.issuedAt) > 5*time.Second {
			slowRequests++
		}
		finalOutcomes[fmt.Sprintf("%s %s", result.Status, result.Code)]++
	}
	attemptOutcomes := map[string]int{}
	for _, attempt := range evidence.attempts {
		attemptOutcomes[strings.TrimSpace(fmt.Sprintf("%s %s", attempt.Status, attempt.Code))]++
	}
	cell.t.Logf("figures: seed %d, %d requests, %d attempts, %d starts, %d appends, %d readings, injected %v, attempts %v, last outcomes %v, short requests over 5 s %d, violations %d",
		cell.seed, len(results), len(evidence.attempts), starts, len(evidence.appends.Appends), len(evidence.catalogues),
		cell.injectedFaults, attemptOutcomes, finalOutcomes, slowRequests, len(violations))
	for index, violation := range violations {
		if index == 10 {
			break
		}
		cell.t.Errorf("%s", violation)
	}
	return evidence
}
