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
	target   almondcross.Target
	driver   *driver.Driver
	observer *observer.Observer
	exchange *exchanger.Exchanger
}

func newFixture(t *testing.T, config worker.Config) fixture {
	t.Helper()
	config.Name, config.Address = "w1", "127.0.0.1:0"
	config.Capacity = almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 2000, MemoryMB: 2000, Slots: 2})
	standin, err := worker.New(config)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	return fixture{
		T: t, target: standin.Target(), driver: driver.New(driver.Config{}),
		observer: observer.New(observer.Config{LiveList: config.LiveList}),
		exchange: exchanger.New(exchanger.Config{Connections: 2, Timeout: time.Second}),
	}
}

func task(name, payload string) almondcross.Task {
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
	var done encoder.WorkerSwitches
	require.NoError(fixture, fixture.exchange.Do(
		fixture.Context(), 0, method, "http://"+fixture.target.Address()+path, body, &done))
}

func (fixture fixture) events(term almondcross.Term, after uint64) ([]almondcross.WorkerEvent, error) {
	return fixture.observer.Events(fixture.Context(), fixture.target, term, after, 2*time.Second)
}

func (fixture fixture) count(kind encoder.WorkerHistoryKind) int {
	fixture.Helper()
	var history encoder.WorkerHistory
	require.NoError(fixture, fixture.exchange.Do(
		fixture.Context(), 0, http.MethodGet, "http://"+fixture.target.Address()+"/v1/history", nil, &history))
	count := 0
	for _, entry := range history.Entries {
		if entry.Kind == kind {
			count++
		}
	}
	return count
}

// Guards against a worker that runs a start of a former holder, runs a repeated start twice, or
// takes more than its capacity.
func TestStartNeedsCurrentTermAndRoom(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	first := fixture.acquire()
	_, err := fixture.driver.Acquire(t.Context(), fixture.target, holder.WithName("host2"))
	require.True(t, errors.Is(err, almondcross.ErrLeaseHeld), "%v", err)
	require.NoError(t, fixture.driver.Release(t.Context(), fixture.target, first.Term()))
	second := fixture.acquire()
	require.True(t, first.Term().Less(second.Term()))

	err = fixture.driver.Start(t.Context(), fixture.target, first.Term(), task("a", `{"run_ms":-1}`))
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)
	for _, name := range []string{"a", "b", "a", "b"} {
		require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, second.Term(), task(name, `{"run_ms":-1}`)))
	}
	err = fixture.driver.Start(t.Context(), fixture.target, second.Term(), task("c", ""))
	require.True(t, errors.Is(err, almondcross.ErrTargetRefused), "%v", err)
	require.Equal(t, 2, fixture.count(encoder.WorkerStarted))
	require.Equal(t, 1, fixture.count(encoder.WorkerOvercommitRefused))

	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerSwitches{Leaving: true})
	err = fixture.driver.Start(t.Context(), fixture.target, second.Term(), task("d", ""))
	require.True(t, errors.Is(err, almondcross.ErrTargetLeaving), "%v", err)
}

// Guards against a restart that forgets surviving tasks or unacknowledged results, or that still
// obeys the term of the former boot.
func TestRestartKeepsTasksUnderNewBoot(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	before := fixture.acquire()
	start := func(task almondcross.Task) {
		require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, before.Term(), task))
	}
	start(task("long", `{"run_ms":-1}`))
	start(task("short", `{"run_ms":1,"echo":"whole"}`))
	events, err := fixture.events(before.Term(), before.Events())
	require.NoError(t, err)
	require.Equal(t, "whole", string(events[0].Result().Answer()))

	fixture.send(http.MethodPost, "/v1/restart", encoder.WorkerRestart{KeepTasks: true})
	_, err = fixture.driver.Renew(t.Context(), fixture.target, before.Term(), nil)
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)
	_, err = fixture.events(before.Term(), events[0].Index())
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)

	after := fixture.acquire()
	require.Greater(t, after.Term().Boot(), before.Term().Boot())
	require.Len(t, after.Inventory(), 2)
	for _, item := range after.Inventory() {
		require.Equal(t, item.Task().ID().Key().Name() == "short", item.Finished())
		require.Equal(t, holder, item.Task().Coordinator())
	}
	require.NoError(t, fixture.driver.Stop(
		t.Context(), fixture.target, after.Term(), task("long", "").ID(), almondcross.CodeCancelled))
	events, err = fixture.events(after.Term(), after.Events())
	require.NoError(t, err)
	require.Len(t, events, 1, "the read acknowledges the events of the inventory")
	require.Equal(t, almondcross.CodeCancelled, events[0].Result().Code())
}

// Guards against a part of an answer being passed on as an answer, and against one damaged answer
// that blocks the events behind it.
func TestTruncatedAnswerIsNeverAnAnswer(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	grant := fixture.acquire()
	for index := range 2 {
		require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, grant.Term(),
			task(strconv.Itoa(index), fmt.Sprintf(`{"run_ms":%d,"answer_bytes":64}`, index))))
	}
	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerSwitches{Truncate: true})
	events, err := fixture.events(grant.Term(), grant.Events())
	require.NoError(t, err)
	require.Len(t, events, 1)
	require.Equal(t, almondcross.CodeTruncated, events[0].Result().Code())
	require.Empty(t, events[0].Result().Answer())

	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerSwitches{})
	events, err = fixture.events(grant.Term(), events[0].Index())
	require.NoError(t, err)
	require.Len(t, events[0].Result().Answer(), 64)
}

// Guards against a lease that outlives its time, an acquisition that keeps unnamed tasks running,
// and a task that its worker never stops.
func TestLeasesExpire(t *testing.T) {
	fixture := newFixture(t, worker.Config{})
	first := fixture.acquire()
	started := time.Now()
	require.NoError(t, fixture.driver.Start(t.Context(), fixture.target, first.Term(), task("a", `{"run_ms":-1}`)))
	// The long poll of the holder ends when its lease does.
	_, err := fixture.observer.Events(t.Context(), fixture.target, first.Term(), 0, 10*time.Second)
	require.True(t, errors.Is(err, almondcross.ErrTermStale), "%v", err)
	require.Greater(t, time.Since(started), almondcross.HolderLease-500*time.Millisecond)
	require.Less(t, time.Since(started), 2*almondcross.HolderLease)

	term := fixture.acquire().Term()
	renewals := time.NewTicker(almondcross.RenewInterval)
	defer renewals.Stop()
	for fixture.count(encoder.WorkerTaskExpired) == 0 {
		_, err := fixture.driver.Renew(t.Context(), fixture.target, term, nil)
		require.NoError(t, err)
		require.Less(t, time.Since(started), almondcross.LostAfter)
		<-renewals.C
	}
	require.GreaterOrEqual(t, time.Since(started), almondcross.TaskLease)
	events, err := fixture.events(term, 0)
	require.NoError(t, err)
	require.Equal(t, almondcross.CodeTaskStopped, events[0].Result().Code())
}

// Guards against a worker process that is missing from the live list, or that stays live in it
// after it began to leave.
func TestHeartbeatsCarryTheState(t *testing.T) {
	platform, err := provider.New(provider.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	ended := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { ended <- platform.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	fixture := newFixture(t, worker.Config{LiveList: platform.Address(), DataCentre: "dc1", Rack: "r1"})
	var hosts almondcross.LiveHosts
	for len(hosts.Targets()) == 0 {
		hosts, err = fixture.observer.List(t.Context(), hosts.Version(), 3*time.Second)
		require.NoError(t, err)
	}
	require.Equal(t, []almondcross.Target{fixture.target}, hosts.Targets())
	fixture.send(http.MethodPut, "/v1/switches", encoder.WorkerSwitches{Leaving: true})
	hosts, err = fixture.observer.List(t.Context(), hosts.Version(), 3*time.Second)
	require.NoError(t, err)
	require.Equal(t, almondcross.HostLeaving, hosts.Targets()[0].State())
}
