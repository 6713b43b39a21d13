package worker_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/driver"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
	"github.com/almondcross/almondcross/query/observer"
	"github.com/almondcross/almondcross/standin/provider"
	"github.com/almondcross/almondcross/standin/worker"
)

var holder = almondcross.NewMemberID(almondcross.MemberIDConfig{Name: "host1", Incarnation: 7})

type fixture struct {
	*testing.T
	target    almondcross.Target
	driver    *driver.Driver
	observer  *observer.Observer
	exchanger *exchanger.Exchanger
}

func newFixture(t *testing.T, config worker.Config) fixture {
	t.Helper()
	config.Name, config.Address = "w1", "127.0.0.1:0"
	config.Capacity = almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 2000, MemoryMB: 2000, Slots: 2})
	runningWorker, err := worker.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	runErrors := make(chan error, 1)
	go func() { runErrors <- runningWorker.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-runErrors)
	})
	return fixture{
		T: t, target: runningWorker.Target(), driver: driver.New(driver.Config{}),
		observer:  observer.New(observer.Config{LiveList: config.LiveList}),
		exchanger: exchanger.New(exchanger.Config{Connections: 2, Timeout: time.Second}),
	}
}

func newTask(name, payload string) almondcross.Task {
	return almondcross.NewTask(almondcross.TaskConfig{
		ID: almondcross.NewTaskID(almondcross.TaskIDConfig{
			Key: almondcross.NewKey(almondcross.KeyConfig{Caller: "caller", Origin: "dc1", Name: name}),
		}),
		Entry: "entry", Attempt: 1, Payload: []byte(payload), Coordinator: holder,
		Resources: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 1000, MemoryMB: 100, Slots: 1}),
	})
}

func (fixture fixture) acquire() almondcross.Grant {
	fixture.Helper()
	grant, err := fixture.driver.Acquire(fixture.Context(), fixture.target, holder)
	require.NoError(fixture, err)
	return grant
}

func (fixture fixture) send(method, path string, body any) {
	fixture.Helper()
	var done encoder.WorkerFaults
	require.NoError(fixture, fixture.exchanger.Do(
		fixture.Context(), 0, method, "http://"+fixture.target.Address()+path, body, &done))
}

func (fixture fixture) readEvents(term almondcross.Term, after uint64) ([]almondcross.WorkerEvent, error) {
	return fixture.observer.Events(fixture.Context(), fixture.target, term, after, 2*time.Second)
}

func (fixture fixture) countEntries(kind encoder.WorkerHistoryKind) int {
	fixture.Helper()
	var history encoder.WorkerHistory
	require.NoError(fixture, fixture.exchanger.Do(
		fixture.Context(), 0, http.MethodGet, "http://"+fixture.target.Address()+"/v1/history", nil, &history))
	count := 0
	for _, entry := range history.Entries {
		if entry.Kind == kind {
			count++
		}
	}
	return count
}

// Guards against a worker that accepts a start with a former holder's term, runs a repeated start
// twice, or exceeds its capacity.
func TestStartRequiresCurrentTermAndCapacity(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	firstGrant := fixture.acquire()
	_, err := fixture.driver.Acquire(t.Context(), fixture.target, holder.WithName("host2"))
	require.True(t, errors.Is(err, almondcross.ErrLeaseHeld), "%v", err)
	require.NoError(t, fixture.driver.Release(t.Context(), fixture.target, firstGrant.Term()))
	secondGrant := fixture.acquire()
	require.True(t, firstGrant.Term().Less(secondGrant.Term()))

	err = fixture.driver.Start(t.Context(), fixture.target, firstGrant.Term(), newTask("a", `{"run_ms":-1}`))
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)
	for _, name := range []string{"a", "b", "a", "b"} {
		require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, secondGrant.Term(), newTask(name, `{"run_ms":-1}`)))
	}
	err = fixture.driver.Start(t.Context(), fixture.target, secondGrant.Term(), newTask("c", ""))
	require.True(t, errors.Is(err, almondcross.ErrTargetRefused), "%v", err)
	require.Equal(t, 2, fixture.countEntries(encoder.WorkerTaskStarted))
	require.Equal(t, 1, fixture.countEntries(encoder.WorkerOvercommitRefused))

	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerFaults{Leaving: true})
	err = fixture.driver.Start(t.Context(), fixture.target, secondGrant.Term(), newTask("d", ""))
	require.True(t, errors.Is(err, almondcross.ErrTargetLeaving), "%v", err)
}

// Guards against a restart that loses surviving tasks or unacknowledged results, or that still accepts
// the term of the previous boot.
func TestRestartKeepsTasksAndInvalidatesTerm(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	oldGrant := fixture.acquire()
	start := func(task almondcross.Task) {
		require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, oldGrant.Term(), task))
	}
	start(newTask("long", `{"run_ms":-1}`))
	start(newTask("short", `{"run_ms":1,"echo":"whole"}`))
	events, err := fixture.readEvents(oldGrant.Term(), oldGrant.Events())
	require.NoError(t, err)
	require.Equal(t, "whole", string(events[0].Result().Answer()))

	fixture.send(http.MethodPost, "/v1/restart", encoder.WorkerRestart{KeepTasks: true})
	_, err = fixture.driver.Renew(t.Context(), fixture.target, oldGrant.Term(), nil)
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)
	_, err = fixture.readEvents(oldGrant.Term(), events[0].Index())
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)

	newGrant := fixture.acquire()
	require.Greater(t, newGrant.Term().Boot(), oldGrant.Term().Boot())
	require.Len(t, newGrant.Inventory(), 2)
	for _, item := range newGrant.Inventory() {
		require.Equal(t, item.Task().ID().Key().Name() == "short", item.Finished())
		require.Equal(t, holder, item.Task().Coordinator())
	}
	require.NoError(t, fixture.driver.Stop(
		t.Context(), fixture.target, newGrant.Term(), newTask("long", "").ID(), almondcross.CodeCancelled))
	events, err = fixture.readEvents(newGrant.Term(), newGrant.Events())
	require.NoError(t, err)
	require.Len(t, events, 1, "the read must acknowledge the events of the inventory")
	require.Equal(t, almondcross.CodeCancelled, events[0].Result().Code())
}

// Guards against returning a truncated answer as complete, and against a truncated answer that blocks
// later events.
func TestTruncatedAnswerIsReportedAsTruncated(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	grant := fixture.acquire()
	for index := range 2 {
		require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, grant.Term(),
			newTask(strconv.Itoa(index), fmt.Sprintf(`{"run_ms":%d,"answer_bytes":64}`, index))))
	}
	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerFaults{Truncate: true})
	events, err := fixture.readEvents(grant.Term(), grant.Events())
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, almondcross.CodeTruncated, events[0].Result().Code())
	require.Empty(t, events[0].Result().Answer())

	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerFaults{})
	events, err = fixture.readEvents(grant.Term(), events[0].Index())
	require.NoError(t, err)
	require.Len(t, events[0].Result().Answer(), 64)
}

// Guards against a worker lease that doesn't expire, and against tasks that keep running although the
// new holder doesn't renew their leases.
func TestLeasesExpire(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	firstGrant := fixture.acquire()
	started := time.Now()
	require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, firstGrant.Term(), newTask("a", `{"run_ms":-1}`)))
	// The holder's long poll ends when its lease expires.
	_, err := fixture.observer.Events(t.Context(), fixture.target, firstGrant.Term(), 0, 10*time.Second)
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)
	require.Greater(t, time.Since(started), almondcross.HolderLease-500*time.Millisecond)
	require.Less(t, time.Since(started), 2*almondcross.HolderLease)

	term := fixture.acquire().Term()
	renewals := time.NewTicker(almondcross.RenewInterval)
	defer renewals.Stop()
	for fixture.countEntries(encoder.WorkerTaskExpired) == 0 {
		_, err := fixture.driver.Renew(t.Context(), fixture.target, term, nil)
		require.NoError(t, err)
		require.Less(t, time.Since(started), almondcross.LostAfter)
		<-renewals.C
	}
	require.GreaterOrEqual(t, time.Since(started), almondcross.TaskLease)
	events, err := fixture.readEvents(term, 0)
	require.NoError(t, err)
	require.Equal(t, almondcross.CodeTaskStopped, events[0].Result().Code())
}

// Guards against a worker that is missing from the live list, or that is still listed as live while
// it is leaving.
func TestHeartbeatsReportState(t *testing.T) {
	platform, err := provider.New(provider.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	runErrors := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { runErrors <- platform.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-runErrors)
	})
	fixture := newFixture(t, worker.Config{LiveList: platform.Address(), DataCentre: "dc1", Rack: "r1"})
	var hosts almondcross.LiveHosts
	for len(hosts.Targets()) == 0 {
		hosts, err = fixture.observer.List(t.Context(), hosts.Version(), 3*time.Second)
		require.NoError(t, err)
	}
	require.Equal(t, []almondcross.Target{fixture.target}, hosts.Targets())
	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerFaults{Leaving: true})
	hosts, err = fixture.observer.List(t.Context(), hosts.Version(), 3*time.Second)
	require.NoError(t, err)
	require.Equal(t, almondcross.HostLeaving, hosts.Targets()[0].State())
}
