package soak_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross/platform/standin"
)

var (
	firstSeed = flag.Uint64("seed", 1, "the first seed")
	seeds     = flag.Int("seeds", 1, "the number of seeds")
	length    = flag.Duration("length", 8*time.Second, "the time in which jobs are sent and faults strike")
)

const (
	hostCount, workerCount = 4, 10
	workerCPU              = 8000
	settle                 = 45 * time.Second
	pool, queueHost        = "pool", "q.example"
)

// job is a job as its caller knows it.
type job struct {
	id                 string
	counts             []int // counts holds the number of tasks of each step.
	milliCPU           int64
	accepted, answered atomic.Bool // answered tells that an attempt had another answer than a certain refusal.
	cancelled          atomic.Bool
}

// cell is one run of the soak.
type cell struct {
	t       *testing.T
	ctx     context.Context
	random  *rand.Rand
	folder  string
	store   *standin.Store
	hosts   []*host
	workers []*standin.Worker
	fronts  []*proxy // fronts stand before the workers.
	jobs    sync.Map
	events  chan standin.Event
	checks  *checks
}

// host is a process with its proxy to the store.
type host struct {
	cell     *cell
	name     string
	settings string
	callers  string
	proxy    *proxy
	process  *exec.Cmd
	log      *os.File
}

// checks holds what workers have seen.
type checks struct {
	mutex      sync.Mutex //nolint:forbidigo // The test's own table.
	present    map[string]map[string]int
	done       map[string]bool
	started    map[string]bool
	violations []string
}

func (checks *checks) take(cell *cell, event standin.Event) {
	checks.mutex.Lock()
	defer checks.mutex.Unlock()
	parts := strings.Split(event.Task, ".")
	switch event.Kind {
	case "start":
		checks.started[parts[0]] = true
		for worker, run := range checks.present[event.Task] {
			checks.violate("two runs of %s: %d on %s, %d on %s", event.Task, run, worker, event.Run, event.Worker)
		}
		if checks.present[event.Task] == nil {
			checks.present[event.Task] = map[string]int{}
		}
		checks.present[event.Task][event.Worker] = event.Run
		known, _ := cell.jobs.Load(parts[0])
		step, _ := strconv.Atoi(parts[2])
		for before := range step {
			for index := range known.(*job).counts[before] { //nolint:forcetypeassert // The map holds jobs only.
				if earlier := fmt.Sprintf("%s.0.%d.%d", parts[0], before, index); !checks.done[earlier] {
					checks.violate("%s starts before %s is done", event.Task, earlier)
				}
			}
		}
	case "unasked", "over capacity":
		checks.violate("%s: %s run %d on %s", event.Kind, event.Task, event.Run, event.Worker)
	default:
		delete(checks.present[event.Task], event.Worker)
		if event.Kind == "done" {
			checks.done[event.Task] = true
		}
	}
}

func (checks *checks) violate(format string, values ...any) {
	checks.violations = append(checks.violations, fmt.Sprintf(format, values...))
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (cell *cell) serve(handler http.Handler) string {
	listener, err := new(net.ListenConfig).Listen(cell.ctx, "tcp", "127.0.0.1:0")
	require.NoError(cell.t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	context.AfterFunc(cell.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

func start(ctx context.Context, t *testing.T, binary string, seed uint64) *cell {
	t.Helper()
	cell := &cell{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 3)), folder: t.TempDir(), store: standin.NewStore(), events: make(chan standin.Event, 1024),
		checks: &checks{present: map[string]map[string]int{}, done: map[string]bool{}, started: map[string]bool{}},
	}
	go func() { _ = cell.store.Run(ctx) }()
	go func() {
		for {
			select {
			case event := <-cell.events:
				cell.checks.take(cell, event)
			case <-ctx.Done():
				return
			}
		}
	}()
	storeAddress, adviceAddress := cell.serve(cell.store.Handler()), cell.serve(standin.AdviceHandler())
	configuration, err := standin.Configuration(1, "q", queueHost, "/q/", pool, seed%2 == 0)
	require.NoError(t, err)
	require.NoError(t, cell.store.Put(ctx, "keyed.op", "config", configuration))
	for index := range workerCount {
		worker := &standin.Worker{ID: fmt.Sprintf("w-%d", index), Service: pool, Rack: fmt.Sprintf("r1-%d", index/4), MilliCPU: workerCPU, Events: cell.events, Work: cell.work}
		front := newProxy(ctx, t, cell.serve(worker.Handler()))
		worker.Address = front.address
		go func() { _ = worker.Run(ctx) }()
		cell.workers, cell.fronts = append(cell.workers, worker), append(cell.fronts, front)
		announcement, err := worker.Announcement()
		require.NoError(t, err)
		require.NoError(t, cell.store.Put(ctx, "keyed.servers", worker.ID, announcement))
	}
	for index := range hostCount {
		host := &host{cell: cell, name: fmt.Sprintf("h-%d", index), callers: freeAddress(t), proxy: newProxy(ctx, t, storeAddress)}
		settings := fmt.Sprintf(`{"role":"scheduler","name":%q,"data_centre":"a","region":"r","callers_listen":%q,"ready_listen":%q,"metrics_listen":%q,
			"link_listen":%q,"store_address":%q,"store_partitions":2,"store_record":262144,"store_retention":"1h","advice_address":%q,
			"state_retention":"2m","max_lease":"10s","stop_grace":"3s","processors":1.0,"link_mbps":1000,"memory_mb":256}`,
			host.name, host.callers, freeAddress(t), freeAddress(t), freeAddress(t), host.proxy.address, adviceAddress)
		host.settings = filepath.Join(cell.folder, host.name+".jsonc")
		require.NoError(t, os.WriteFile(host.settings, []byte(settings), 0o600))
		host.log, err = os.Create(filepath.Join(cell.folder, host.name+".log"))
		require.NoError(t, err)
		cell.hosts = append(cell.hosts, host)
		host.run(binary)
	}
	return cell
}

// run starts the process of a host; it ends with the test.
func (host *host) run(binary string) {
	host.process = exec.CommandContext(host.cell.ctx, binary, "scheduler", "--config", host.settings)
	host.process.Stdout, host.process.Stderr = host.log, host.log
	require.NoError(host.cell.t, host.process.Start())
}

func (cell *cell) work(task string) (time.Duration, int64, bool) {
	parts := strings.Split(task, ".")
	known, ok := cell.jobs.Load(parts[0])
	if !ok {
		return 0, 0, false
	}
	asked := known.(*job) //nolint:forcetypeassert // The map holds jobs only.
	step, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	sum := 0
	for _, letter := range task {
		sum = sum*31 + int(letter)
	}
	return 50*time.Millisecond + time.Duration(sum&0xff)*time.Millisecond, asked.milliCPU, step < len(asked.counts) && index < asked.counts[step]
}

func (cell *cell) call(method, address, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(cell.ctx, 1500*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(answer)
}

// submit sends a job with repeats, as callers do, and may cancel it.
func (cell *cell) submit(asked *job, first int, cancelAfter time.Duration) {
	steps := make([]map[string]any, len(asked.counts))
	for index, count := range asked.counts {
		steps[index] = map[string]any{"count": count, "cpu": asked.milliCPU, "mem_mb": 10}
		if index > 0 {
			steps[index]["after"] = []int{index - 1}
		}
	}
	body, err := json.Marshal(map[string]any{"spec": "x", "steps": steps})
	if err != nil {
		return
	}
	for attempt := range 6 {
		status, _ := cell.call(http.MethodPost, cell.hosts[(first+attempt)%hostCount].callers, "/q/"+asked.id, string(body))
		if status != http.StatusServiceUnavailable {
			asked.answered.Store(true)
		}
		if status == http.StatusOK {
			asked.accepted.Store(true)
			break
		}
		<-time.After(250 * time.Millisecond)
	}
	if cancelAfter > 0 && asked.accepted.Load() {
		<-time.After(cancelAfter)
		asked.cancelled.Store(true)
		cell.call(http.MethodDelete, cell.hosts[first].callers, "/q/"+asked.id, "")
	}
}

// load sends jobs for the length of the soak.
func (cell *cell) load(random *rand.Rand) []*job {
	var sent []*job
	var group sync.WaitGroup
	for until := time.Now().Add(*length); time.Now().Before(until); {
		asked := &job{id: fmt.Sprintf("%016x", random.Uint64()), milliCPU: 500 + random.Int64N(2000)}
		for range 1 + random.IntN(2) {
			asked.counts = append(asked.counts, 1+random.IntN(4))
		}
		cell.jobs.Store(asked.id, asked)
		sent = append(sent, asked)
		first, cancelAfter := random.IntN(hostCount), time.Duration(0)
		if random.IntN(10) == 0 {
			cancelAfter = time.Duration(1 + random.Int64N(int64(500*time.Millisecond)))
		}
		group.Go(func() { cell.submit(asked, first, cancelAfter) })
		<-time.After(time.Duration(random.Int64N(int64(140 * time.Millisecond))))
	}
	group.Wait()
	return sent
}

// strike injects one fault.
func (cell *cell) strike(binary string) string {
	random := cell.random
	host, span := cell.hosts[random.IntN(hostCount)], 300*time.Millisecond+time.Duration(random.Int64N(int64(2500*time.Millisecond)))
	worker := random.IntN(workerCount)
	switch random.IntN(10) {
	case 0, 1:
		_ = host.process.Process.Signal(syscall.SIGKILL)
		_ = host.process.Wait()
		<-time.After(span / 4)
		host.run(binary)
		return "kill " + host.name
	case 2, 3:
		_ = host.process.Process.Signal(syscall.SIGSTOP)
		process := host.process.Process
		time.AfterFunc(span, func() { _ = process.Signal(syscall.SIGCONT) })
		return fmt.Sprintf("pause %s for %s", host.name, span)
	case 4:
		_ = host.process.Process.Signal(syscall.SIGCONT)
		_ = host.process.Process.Signal(syscall.SIGTERM)
		_ = host.process.Wait()
		host.run(binary)
		return "restart " + host.name
	case 5:
		host.proxy.during(cell.ctx, []mode{silence, oneWay, slow}[random.IntN(3)], span)
		return fmt.Sprintf("store fault of %s for %s", host.name, span)
	case 6:
		for _, other := range cell.hosts {
			other.proxy.during(cell.ctx, silence, span/2)
		}
		return fmt.Sprintf("store silent for %s", span/2)
	case 7:
		host.proxy.resets.Add(1)
		cell.fronts[worker].resets.Add(1)
		return "reset connections of " + host.name
	case 8:
		cell.fronts[worker].during(cell.ctx, []mode{silence, oneWay, slow}[random.IntN(3)], span)
		return fmt.Sprintf("fault of worker %d for %s", worker, span)
	default:
		cell.workers[worker].Crash(cell.ctx)
		return fmt.Sprintf("crash of worker %d", worker)
	}
}

// Guards against promises broken by real processes under faults from outside: two runs of a task at a time, a
// worker over its capacity, steps out of order, refused jobs that run, accepted jobs that are lost.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "almondcross")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/almondcross").CombinedOutput()
	require.NoError(t, err, string(output))
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, binary, seed) })
	}
}

func soak(t *testing.T, binary string, seed uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := start(ctx, t, binary, seed)
	require.Eventually(t, func() bool {
		status, _ := cell.call(http.MethodGet, cell.hosts[0].callers, "/q/", "")
		return status == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond, "the cell is up")
	faults := make(chan []string)
	go func() {
		var struck []string
		for until := time.Now().Add(*length); time.Now().Before(until); {
			struck = append(struck, cell.strike(binary))
			<-time.After(200*time.Millisecond + time.Duration(cell.random.Int64N(int64(700*time.Millisecond))))
		}
		faults <- struck
	}()
	sent := cell.load(rand.New(rand.NewPCG(seed, 4)))
	struck := <-faults
	<-time.After(3 * time.Second) // The last faults end by themselves.
	cell.check(sent, struck, time.Now().Add(settle))
}

// check waits for the accepted jobs to end and compares what callers and workers saw.
func (cell *cell) check(sent []*job, struck []string, deadline time.Time) {
	accepted, lost := 0, []string{}
	for _, asked := range sent {
		if !asked.accepted.Load() {
			continue
		}
		accepted++
		state := ""
		for index := 0; time.Now().Before(deadline); index++ {
			_, state = cell.call(http.MethodGet, cell.hosts[index%hostCount].callers, "/q/"+asked.id, "")
			if strings.Contains(state, "completed") || strings.Contains(state, "cancelled") {
				break
			}
			<-time.After(20 * time.Millisecond)
		}
		switch {
		case strings.Contains(state, "cancelled") && !asked.cancelled.Load():
			lost = append(lost, asked.id+" is cancelled without a cancellation")
		case !strings.Contains(state, "completed") && !strings.Contains(state, "cancelled"):
			lost = append(lost, asked.id+" ends as "+state)
		}
	}
	cell.checks.mutex.Lock()
	defer cell.checks.mutex.Unlock()
	for _, asked := range sent {
		if !asked.answered.Load() && cell.checks.started[asked.id] {
			cell.checks.violate("%s runs, and every attempt was refused", asked.id)
		}
	}
	cell.t.Logf("%d jobs, %d accepted, %d tasks done; faults: %s", len(sent), accepted, len(cell.checks.done), strings.Join(struck, "; "))
	if len(cell.checks.violations)+len(lost) > 0 {
		kept, err := os.MkdirTemp("", "soak-")
		require.NoError(cell.t, err)
		for _, host := range cell.hosts {
			source, err := os.ReadFile(host.log.Name())
			require.NoError(cell.t, err)
			require.NoError(cell.t, os.WriteFile(filepath.Join(kept, host.name+".log"), source, 0o600))
		}
		cell.t.Logf("logs: %s", kept)
	}
	require.Empty(cell.t, cell.checks.violations)
	require.Empty(cell.t, lost)
	require.Positive(cell.t, accepted)
}
