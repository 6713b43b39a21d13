package crowd_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
	"github.com/almondcross/almondcross/standin/reserver"
)

// The defaults are the load and the bounds of the tests; other values are for plays by hand.
var (
	// memoryMB is the memory of the host in its settings, and the bound of its largest resident size.
	memoryMB = flag.Int("memory_mb", 64, "the memory of the host in megabytes")
	// descriptorLimit is the limit on open files with which the process starts.
	descriptorLimit = flag.Int("descriptors", 512, "the limit on open files of the host")
	// crowdSize is the number of clients. By default they are more than the process may have open files.
	crowdSize = flag.Int("clients", 600, "the number of clients")
	// actDuration is the time for which each client connects and acts again once its connection has ended.
	actDuration = flag.Duration("repeat", 0, "the time for which each client acts again and again")
)

const (
	// descriptorReserve is the number of descriptors that are left for calls to workers and the store.
	descriptorReserve = 62
	queueHost         = "q.example"
	// answerTimeout is how long a caller waits for an answer.
	answerTimeout = 3 * time.Second
	// patience bounds the wait for one answered request. It is far above all time limits of the servers.
	patience       = 45 * time.Second
	retryInterval  = 250 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
)

// host is a scheduling host in a process of its own.
type host struct {
	t               *testing.T
	store           *standin.Store
	memoryMB        int // memoryMB is the memory of the host in its settings, and the bound of its largest resident size.
	descriptors     int // descriptors is the limit on open files with which the process starts.
	settingsPath    string
	logPath         string
	process         *exec.Cmd
	ended           chan struct{} // ended is closed when the process has ended.
	callersAddress  string
	readyAddress    string
	metricsAddress  string
	linksAddress    string
	mostDescriptors atomic.Int64 // mostDescriptors is the highest number of open descriptors that was seen.
	jobs            atomic.Int64
}

var build struct {
	once   sync.Once
	binary string
}

// buildBinary builds the program once for all tests.
func buildBinary(t *testing.T) string {
	t.Helper()
	build.once.Do(func() {
		directory, err := os.MkdirTemp("", "crowd-binary-")
		require.NoError(t, err)
		binary := filepath.Join(directory, "almondcross")
		output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/almondcross").CombinedOutput()
		require.NoError(t, err, string(output))
		build.binary = binary
	})
	return build.binary
}

// TestMain removes the program that the tests have built.
func TestMain(main *testing.M) {
	code := main.Run()
	if build.binary != "" {
		_ = os.RemoveAll(filepath.Dir(build.binary))
	}
	os.Exit(code)
}

// loopback is the address on which the processes and servers of these tests listen.
var loopback = reserver.NewHost()

// reserveAddress returns an address on which only the process that is told it listens until the end of the test.
func reserveAddress(t *testing.T) string {
	t.Helper()
	reservation, err := reserver.Reserve(loopback)
	require.NoError(t, err)
	t.Cleanup(func() { _ = reservation.Release() })
	return reservation.Address()
}

// cell is a store, with a configuration of two queues, and the hosts that use it.
type cell struct {
	t       *testing.T
	store   *standin.Store
	address string
}

// startCell starts a store.
func startCell(t *testing.T) *cell {
	t.Helper()
	ctx := t.Context()
	store := standin.NewStore()
	go func() { _ = store.Run(ctx) }()
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", net.JoinHostPort(loopback, "0"))
	require.NoError(t, err)
	server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: time.Second}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	configuration, err := standin.RoutesConfiguration(1, "pool",
		standin.Route{Name: "q", Host: queueHost, Prefix: "/q/", Pool: "pool", MaxAttempts: 5, Stretch: 2, LatencyMS: 1000},
		standin.Route{Name: "other", Host: queueHost, Prefix: "/other/", Pool: "pool", MaxAttempts: 5, Stretch: 2, LatencyMS: 1000})
	require.NoError(t, err)
	require.NoError(t, store.Put(ctx, "keyed.op", "config", configuration))
	return &cell{t: t, store: store, address: listener.Addr().String()}
}

// startHost starts a store and a scheduling host, and waits until the host accepts jobs.
func startHost(t *testing.T) *host {
	t.Helper()
	host := startCell(t).newHost(hostConfig{name: "h-0", memoryMB: *memoryMB, descriptors: *descriptorLimit})
	host.start()
	host.requireAnswers("before the crowd")
	return host
}

// hostConfig holds the settings of a host.
type hostConfig struct {
	name        string
	memoryMB    int
	descriptors int    // descriptors is the limit on open files with which the process starts.
	settings    string // settings holds further settings, each with a comma before it.
}

// newHost returns a host of the cell.
func (cell *cell) newHost(config hostConfig) *host {
	cell.t.Helper()
	t := cell.t
	host := &host{
		t: t, store: cell.store, memoryMB: config.memoryMB, descriptors: config.descriptors, callersAddress: reserveAddress(t), readyAddress: reserveAddress(t),
		metricsAddress: reserveAddress(t), linksAddress: reserveAddress(t),
	}
	settings := fmt.Sprintf(`{"role":"scheduler","name":%q,"data_centre":"a","region":"r","callers_listen":%q,"ready_listen":%q,"metrics_listen":%q,
		"link_listen":%q,"store_address":%q,"store_partitions":2,"store_record":262144,"store_retention":"6s",
		"state_retention":"2m","max_lease":"10s","stop_grace":"3s","processors":1.0,"link_mbps":1000,"memory_mb":%d%s}`,
		config.name, host.callersAddress, host.readyAddress, host.metricsAddress, host.linksAddress, cell.address, config.memoryMB, config.settings)
	directory := t.TempDir()
	host.settingsPath, host.logPath = filepath.Join(directory, config.name+".jsonc"), filepath.Join(directory, config.name+".log")
	require.NoError(t, os.WriteFile(host.settingsPath, []byte(settings), 0o600))
	return host
}

// start starts the process of the host.
func (host *host) start() {
	t := host.t
	t.Helper()
	log, err := os.OpenFile(host.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	// The shell sets the limit before the program starts, since the runtime of Go raises its soft limit to the hard one.
	process := exec.CommandContext(t.Context(), "/bin/sh", "-c", `ulimit -n "$0" && exec "$@"`,
		strconv.Itoa(host.descriptors), buildBinary(t), "scheduler", "--config", host.settingsPath)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // The process ends with that of the test.
	require.NoError(t, process.Start())
	ended := make(chan struct{})
	host.process, host.ended = process, ended
	go func() {
		defer close(ended)
		_ = process.Wait()
	}()
	t.Cleanup(host.kill)
}

// kill ends the process of the host at once.
func (host *host) kill() {
	_ = host.process.Process.Signal(syscall.SIGKILL)
	<-host.ended
}

// logs reports whether the host has logged an event.
func (host *host) logs(event string) bool {
	log, err := os.ReadFile(host.logPath)
	require.NoError(host.t, err)
	return bytes.Contains(log, []byte(event))
}

// watch samples the open descriptors of the process until the context ends.
func (host *host) watch(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", host.process.Process.Pid))
			if err == nil && int64(len(entries)) > host.mostDescriptors.Load() {
				host.mostDescriptors.Store(int64(len(entries)))
			}
		}
	}
}

// peakMB returns the largest resident size of the process so far, in megabytes.
func (host *host) peakMB() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", host.process.Process.Pid))
	require.NoError(host.t, err, "the process has ended")
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseFloat(fields[1], 64)
			require.NoError(host.t, err)
			return kilobytes * 1024 / 1e6
		}
	}
	require.Fail(host.t, "no VmHWM in the status of the process")
	return 0
}

// call sends a request and returns the status, 0 for none.
func (host *host) call(method, address, path string, body []byte) int {
	ctx, cancel := context.WithTimeout(host.t.Context(), answerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host, request.Close = queueHost, true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// submit sends a new job in a body of at least some bytes and returns the status.
func (host *host) submit(bodyBytes int) int { return host.submitTo("/q/", bodyBytes) }

// submitTo is submit for the queue with a prefix.
func (host *host) submitTo(prefix string, bodyBytes int) int {
	path := fmt.Sprintf("%s%016x", prefix, host.jobs.Add(1))
	body := `{"spec":"x","steps":[{"count":1,"cpu":100,"mem_mb":10}]}`
	body += strings.Repeat(" ", max(0, bodyBytes-len(body)))
	return host.call(http.MethodPost, host.callersAddress, path, []byte(body))
}

// requireAnswers checks that the host accepts an ordinary job, and one in a body of the largest legal size, and that its
// other servers answer.
func (host *host) requireAnswers(when string) {
	host.t.Helper()
	for name, request := range map[string]func() bool{
		"a job":                  func() bool { return host.submit(0) == http.StatusOK },
		"a job of the full size": func() bool { return host.submit(262_144) == http.StatusOK },
		"the pending jobs":       func() bool { return host.call(http.MethodGet, host.callersAddress, "/q/", nil) == http.StatusOK },
		"the readiness":          func() bool { return host.call(http.MethodGet, host.readyAddress, "/ready", nil) == http.StatusOK },
		"the metrics":            func() bool { return host.call(http.MethodGet, host.metricsAddress, "/metrics", nil) == http.StatusOK },
		"the scheduler's address": func() bool {
			return host.call(http.MethodGet, host.linksAddress, "/v1/scheduler", nil) == http.StatusOK
		},
	} {
		host.requireSoon(name+" "+when, request)
	}
}

// requireSoon repeats a request until it is answered as required.
func (host *host) requireSoon(what string, request func() bool) {
	host.t.Helper()
	for until := time.Now().Add(patience); !request(); {
		select {
		case <-host.ended:
			require.Fail(host.t, "the process has ended", what)
		case <-time.After(retryInterval):
		}
		require.True(host.t, time.Now().Before(until), "%s: not answered; peak memory %.1f MB, most descriptors %d", what, host.peakMB(), host.mostDescriptors.Load())
	}
}

// requireSnapshot waits until the host has taken and stored a snapshot since now: the second one that ends was begun after the first.
func (host *host) requireSnapshot() {
	host.t.Helper()
	for range 2 {
		before := host.snapshotKeys()
		host.requireSoon("a snapshot", func() bool { return !slices.Equal(before, host.snapshotKeys()) })
	}
}

// snapshotKeys returns the keys of the stored snapshots.
func (host *host) snapshotKeys() []string {
	keys, err := host.store.Keys(host.t.Context(), "keyed.snapshots")
	require.NoError(host.t, err)
	return keys
}
