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
	// budgetBytes is the bytes a second of a node in docs/design.md 1.2.
	budgetBytes = 10_000
	// designTasks is 11,000 running tasks over 1,300 workers, rounded up.
	designTasks = 9
	// designTargets is 1,300 workers over 77 entry hosts, rounded up.
	designTargets = 17
)

// counted counts the bytes of a connection in both directions.
type counted struct {
	net.Conn
	bytes *atomic.Int64
}

func (counted counted) Read(data []byte) (int, error) {
	count, err := counted.Conn.Read(data)
	counted.bytes.Add(int64(count))
	return count, err
}

func (counted counted) Write(data []byte) (int, error) {
	count, err := counted.Conn.Write(data)
	counted.bytes.Add(int64(count))
	return count, err
}

// countingListener counts the bytes of all connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection that counts.
func (countinglistener countingListener) Accept() (net.Conn, error) {
	connection, err := countinglistener.Listener.Accept()
	return counted{connection, countinglistener.bytes}, err
}

// renewing is a driver with a worker that answers every renewal.
type renewing struct {
	driver *driver.Driver
	target almondcross.Target
	bytes  atomic.Int64
}

func newRenewing(tb testing.TB) *renewing {
	tb.Helper()
	renewing := &renewing{driver: driver.New(driver.Config{})}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(encoder.WorkerRenewed{})
	}))
	server.Listener = countingListener{server.Listener, &renewing.bytes}
	server.Start()
	tb.Cleanup(server.Close)
	renewing.target = almondcross.NewTarget(almondcross.TargetConfig{Name: "worker-1", Address: server.Listener.Addr().String()})
	return renewing
}

func (renewing *renewing) renew(ids []almondcross.TaskID) error {
	term := almondcross.NewTerm(almondcross.TermConfig{Boot: 1_796_373_099_692, Counter: 17})
	_, err := renewing.driver.Renew(context.Background(), renewing.target, term, ids)
	return err
}

func idsOf(count int) []almondcross.TaskID {
	var ids []almondcross.TaskID
	for index := range count {
		ids = append(ids, almondcross.NewTaskID(almondcross.TaskIDConfig{Key: almondcross.NewKey(almondcross.KeyConfig{
			Caller: "counter", Origin: "kamloops-1", Name: fmt.Sprintf("7f3c9a20-%08d", index),
		})}))
	}
	return ids
}

// BenchmarkRenewal reports the bytes of a renewal over HTTP, both directions with headers.
func BenchmarkRenewal(b *testing.B) {
	for _, tasks := range []int{0, 9, 32, 128} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			renewing, ids := newRenewing(b), idsOf(tasks)
			b.ReportAllocs()
			for b.Loop() {
				if err := renewing.renew(ids); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(renewing.bytes.Load())/float64(b.N), "bytes/renewal")
		})
	}
}

// renewalBytes returns the bytes of one of many renewals.
func renewalBytes(t *testing.T) int {
	t.Helper()
	const renewals = 20
	renewing, ids := newRenewing(t), idsOf(designTasks)
	for range renewals {
		require.NoError(t, renewing.renew(ids))
	}
	return int(renewing.bytes.Load()) / renewals
}

// Guards against renewals, one a second, that use up the bytes of a worker.
func TestRenewalFitsTheBudgetOfAWorker(t *testing.T) {
	size := renewalBytes(t)
	t.Logf("%d bytes for a renewal that names %d tasks", size, designTasks)
	require.LessOrEqual(t, size, budgetBytes)
}

// Guards against the renewals of all targets of an entry host using up its bytes.
func TestRenewalsFitTheBudgetOfAnEntryHost(t *testing.T) {
	size := renewalBytes(t)
	t.Logf("%d bytes a second for %d targets", size*designTargets, designTargets)
	require.LessOrEqual(t, size*designTargets, budgetBytes)
}
