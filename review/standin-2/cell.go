package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross/platform/standin"
	"github.com/almondcross/almondcross/platform/translator"
)

const (
	hostCount = 3
	poolName  = "pool"
	queueHost = "jobs.example"
	// urgentPrefix and jobsPrefix are the prefixes of the queues with priority 0 and 1.
	urgentPrefix, jobsPrefix = "/urgent/", "/jobs/"
	// workerCPU is the capacity of a worker in thousandths of a core.
	workerCPU = 16000
	// heartbeat is the time between two announcements of a worker, and expiry the silence after which its entry is removed.
	heartbeat    = 1500 * time.Millisecond
	expiry       = 3 * heartbeat
	announceTick = 20 * time.Millisecond
	// startTimeout bounds the start of the hosts.
	startTimeout = 25 * time.Second
)

// task is how the runs of a job's tasks behave on the workers.
type task struct {
	milliCPU int64
	duration time.Duration
	// fails reports whether the run that ends now fails, nil for none. It is called once for each run that lasts for its duration.
	fails func() bool
}

// cell holds the stand-ins of a case and the addresses of its hosts.
type cell struct {
	options options
	record  *record
	store   *standin.Store
	workers []*worker
	hosts   []string // hosts holds the addresses for callers.
	ledger  *ledger
	jobs    atomic.Pointer[map[string]task] // jobs holds how the tasks of each job behave, by its identity.
}

// worker is a stand-in of a worker that can be crashed and started again.
type worker struct {
	*standin.Worker
	listener net.Listener
	gate     *cuttable
	down     atomic.Bool               // down is set once the worker is lost for good.
	nextBeat atomic.Pointer[time.Time] // nextBeat is when the worker announces itself next.
}

// newCell starts the store, writes the settings of the hosts and waits until they serve calls.
func newCell(ctx context.Context, options options, record *record) (*cell, error) {
	cell := &cell{options: options, record: record, store: standin.NewStore(), ledger: newLedger(record)}
	cell.jobs.Store(&map[string]task{})
	go func() { _ = cell.store.Run(ctx) }()
	go cell.ledger.run(ctx)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	serve(ctx, listener, &http.Server{Handler: cell.store.Handler(), ReadHeaderTimeout: time.Second})
	if err := cell.configure(ctx, 1, "jobs"); err != nil {
		return nil, errors.Trace(err)
	}
	if err := cell.writeSettings(listener.Addr().String()); err != nil {
		return nil, errors.Trace(err)
	}
	return cell, cell.awaitHosts(ctx)
}

func serve(ctx context.Context, listener net.Listener, server *http.Server) {
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// configure publishes a version of the configuration with two queues: an urgent one, and one under a name for all other jobs.
func (cell *cell) configure(ctx context.Context, version int, name string) error {
	route := standin.Route{Host: queueHost, Pool: poolName, MaxAttempts: 4, Stretch: 2, LatencyMS: 1000}
	urgent, others := route, route
	urgent.Name, urgent.Prefix, urgent.Priority = "urgent", urgentPrefix, 0
	others.Name, others.Prefix, others.Priority = name, jobsPrefix, 1
	source, err := standin.RoutesConfiguration(version, poolName, urgent, others)
	if err != nil {
		return errors.Trace(err)
	}
	cell.record.line("the operator publishes version %d: %s", version, source)
	return errors.Trace(cell.store.Put(ctx, translator.OperatorsTopic, translator.ConfigurationKey, source))
}

// writeSettings writes the settings of the hosts, each with an address of its own, and then a file that lets run.sh start them.
func (cell *cell) writeSettings(store string) error {
	template, err := os.ReadFile(cell.options.template)
	if err != nil {
		return errors.Trace(err)
	}
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)) //nolint:gosec // The address needs no secrecy.
	for index := range hostCount {
		ip := fmt.Sprintf("%s.%d", network, index+1)
		settings, err := renderSettings(string(template), map[string]any{
			"node": fmt.Sprintf("front-%d", index+1), "zone": "kamloops-a", "ip": ip, "port_range.0": 7720, "listen.front": ip + ":8161",
			"listen.ready_addr": ip + ":8167", "platform.addr": store,
		})
		if err != nil {
			return errors.Trace(err)
		}
		path := filepath.Join(cell.options.work, fmt.Sprintf("host-%d.jsonc", index+1))
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return errors.Trace(err)
		}
		cell.hosts = append(cell.hosts, ip+":8161")
	}
	return errors.Trace(os.WriteFile(filepath.Join(cell.options.work, "ready"), nil, 0o600))
}

// awaitHosts waits until all hosts answer questions about the queue.
func (cell *cell) awaitHosts(ctx context.Context) error {
	deadline := time.Now().Add(startTimeout)
	for _, host := range cell.hosts {
		for {
			status, _ := cell.call(ctx, host, http.MethodGet, jobsPrefix, nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) || !pause(ctx, 100*time.Millisecond) {
				return errors.Errorf("host %s does not answer", host)
			}
		}
	}
	cell.record.line("%d hosts serve calls", len(cell.hosts))
	return nil
}

// addWorkers starts workers in a rack.
func (cell *cell) addWorkers(ctx context.Context, rack string, count int) error {
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Trace(err)
		}
		added := &worker{listener: listener, Worker: &standin.Worker{
			ID: fmt.Sprintf("i-%s-%d", rack, len(cell.workers)), Service: poolName, Address: listener.Addr().String(), Rack: rack, Zone: "kamloops-a",
			MilliCPU: workerCPU, TaskSpec: cell.taskSpec, Fails: cell.taskFails, Events: cell.ledger.events,
		}}
		server := added.Server(ctx)
		added.gate = &cuttable{handler: server.Handler}
		server.Handler = added.gate
		go func() { _ = added.Run(ctx) }()
		serve(ctx, listener, server)
		cell.workers = append(cell.workers, added)
		go cell.announce(ctx, added)
	}
	return nil
}

// announce renews the announcement of a worker. The entry of one that has been silent for the expiry is removed.
func (cell *cell) announce(ctx context.Context, worker *worker) {
	seen, listed, beat := time.Now(), false, time.Now()
	for {
		silent := worker.down.Load() || worker.gate.cut.Load()
		switch now := time.Now(); {
		case silent && listed && now.Sub(seen) >= expiry:
			listed = false
			cell.record.line("the entry of worker %s is removed", worker.ID)
			_ = cell.store.Put(ctx, translator.WorkersTopic, worker.ID, nil)
		case now.Before(beat):
		default:
			beat = beat.Add(heartbeat)
			next := beat
			worker.nextBeat.Store(&next)
			if source, err := worker.Announcement(ctx); err == nil && !silent {
				seen, listed = now, true
				_ = cell.store.Put(ctx, translator.WorkersTopic, worker.ID, source)
			}
		}
		if !pause(ctx, announceTick) {
			return
		}
	}
}

func (cell *cell) taskOf(name string) (task, bool) {
	id, _, _ := strings.Cut(name, ".")
	task, known := (*cell.jobs.Load())[id]
	return task, known
}

func (cell *cell) taskSpec(name string) (time.Duration, int64, bool) {
	task, known := cell.taskOf(name)
	return task.duration, task.milliCPU, known
}

func (cell *cell) taskFails(name string) bool {
	task, _ := cell.taskOf(name)
	return task.fails != nil && task.fails()
}
