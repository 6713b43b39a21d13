package driver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/driver"
	"github.com/almondcross/almondcross/encoder"
)

const (
	// budgetBytes is the network budget of a worker or a host in bytes a second (docs/design.md 1.2).
	budgetBytes = 10_000
	// tasksPerTarget is the mean of 11,000 running tasks on 1,300 workers, rounded up.
	tasksPerTarget = 9
	// targetsPerHost is the mean of 1,300 workers on 77 entry hosts, rounded up.
	targetsPerHost = 17
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (countingconn countingConn) Read(data []byte) (int, error) {
	count, err := countingconn.Conn.Read(data)
	countingconn.bytes.Add(int64(count))
	return count, err
}

func (countingconn countingConn) Write(data []byte) (int, error) {
	count, err := countingconn.Conn.Write(data)
	countingconn.bytes.Add(int64(count))
	return count, err
}

// countingListener counts the bytes of all connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (countinglistener countingListener) Accept() (net.Conn, error) {
	connection, err := countinglistener.Listener.Accept()
	return countingConn{connection, countinglistener.bytes}, err
}

// workerFixture is a driver with a test worker that accepts every renewal.
type workerFixture struct {
	driver *driver.Driver
	target almondcross.Target
	bytes  atomic.Int64
}

func newWorkerFixture(tb testing.TB) *workerFixture {
	tb.Helper()
	fixture := &workerFixture{driver: driver.New(driver.Config{})}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(encoder.WorkerRenewal{})
	}))
	server.Listener = countingListener{server.Listener, &fixture.bytes}
	server.Start()
	tb.Cleanup(server.Close)
	fixture.target = almondcross.NewTarget(almondcross.TargetConfig{Name: "worker-1", Address: server.Listener.Addr().String()})
	return fixture
}

func (workerfixture *workerFixture) renew(ids []almondcross.TaskID) error {
	term := almondcross.NewTerm(almondcross.TermConfig{Boot: 1_796_373_099_692, Counter: 17})
	_, err := workerfixture.driver.Renew(context.Background(), workerfixture.target, term, ids)
	return err
}

func taskIDs(count int) []almondcross.TaskID {
	var ids []almondcross.TaskID
	for index := range count {
		ids = append(ids, almondcross.NewTaskID(almondcross.TaskIDConfig{Key: almondcross.NewKey(almondcross.KeyConfig{
			Caller: "counter", Origin: "kamloops-1", Name: fmt.Sprintf("7f3c9a20-%08d", index),
		})}))
	}
	return ids
}

// BenchmarkRenewal reports the bytes of a renewal over HTTP, in both directions and with headers.
func BenchmarkRenewal(b *testing.B) {
	for _, tasks := range []int{0, 9, 32, 128} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			fixture, ids := newWorkerFixture(b), taskIDs(tasks)
			b.ReportAllocs()
			for b.Loop() {
				if err := fixture.renew(ids); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(fixture.bytes.Load())/float64(b.N), "bytes/renewal")
		})
	}
}

// renewalBytes returns the mean size of a renewal in bytes, measured over several renewals.
func renewalBytes(t *testing.T) int {
	t.Helper()
	const renewals = 20
	fixture, ids := newWorkerFixture(t), taskIDs(tasksPerTarget)
	for range renewals {
		require.NoError(t, fixture.renew(ids))
	}
	return int(fixture.bytes.Load()) / renewals
}

// Guards against renewals, one a second, that exceed the network budget of a worker.
func TestRenewalFitsTheBudgetOfAWorker(t *testing.T) {
	size := renewalBytes(t)
	t.Logf("%d bytes for a renewal with %d tasks", size, tasksPerTarget)
	require.LessOrEqual(t, size, budgetBytes)
}

// Guards against renewals of all targets of an entry host that exceed its network budget.
func TestRenewalsFitTheBudgetOfAnEntryHost(t *testing.T) {
	size := renewalBytes(t)
	t.Logf("%d bytes a second for %d targets", size*targetsPerHost, targetsPerHost)
	require.LessOrEqual(t, size*targetsPerHost, budgetBytes)
}
