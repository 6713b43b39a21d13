package assembler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
	"github.com/almondcross/almondcross/standin/reserver"
)

const (
	measureDuration   = 10 * time.Second
	requestsPerSecond = 50
)

// processUsage is the resource usage of the process since its start.
type processUsage struct {
	at       time.Time
	cpu      time.Duration
	written  int64 // written counts the bytes of all write calls; each byte sent between two components is counted once.
	heap     uint64
	resident int64
}

func readUsage(tb testing.TB) processUsage {
	tb.Helper()
	var rusage syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &rusage))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return processUsage{
		at: time.Now(), cpu: time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano()), heap: stats.HeapAlloc,
		written: procField(tb, "/proc/self/io", "wchar:"), resident: procField(tb, "/proc/self/status", "VmRSS:"),
	}
}

// procField returns the number that follows a label in a file of /proc.
func procField(tb testing.TB, path, label string) int64 {
	tb.Helper()
	content, err := os.ReadFile(path)
	require.NoError(tb, err)
	_, rest, found := strings.Cut(string(content), label)
	require.True(tb, found, "%s has no %s", path, label)
	number, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(tb, err)
	return number
}

// startCell starts a platform, workers and the entry hosts of the demo, and waits until entry hosts have leased all workers.
func startCell(b *testing.B, workers int) *demo {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	b.Cleanup(cancel)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	address := func() string {
		reservation, err := reserver.Reserve("127.0.0.1")
		require.NoError(b, err)
		b.Cleanup(func() { _ = reservation.Release() })
		return reservation.Address()
	}
	platform := address()
	options := []fx.Option{Platform(configurator.NewPlatformSettings(configurator.PlatformSettingsConfig{
		Listen: platform, Retention: time.Hour,
	}), logger)}
	for index := range workers {
		options = append(options, Worker(demoWorker(index, address(), platform), logger))
	}
	var hosts []string
	for range 2 * demoHosts {
		hosts = append(hosts, address())
	}
	cell := &demo{out: io.Discard}
	for index := range demoHosts {
		options = append(options, Entry(demoEntry(index, hosts, platform), logger))
		cell.hosts = append(cell.hosts, hosts[2*index])
	}
	var apps []*fx.App
	b.Cleanup(func() { stopApps(apps) })
	for _, option := range options {
		app := fx.New(option)
		require.NoError(b, app.Start(ctx))
		apps = append(apps, app)
	}
	require.NoError(b, cell.publishCatalogues(ctx))
	require.NoError(b, pollUntil(ctx, func() bool {
		leased := 0
		for host := range cell.hosts {
			reporter, err := cell.client(host, almondcross.RoleReporter)
			require.NoError(b, err)
			response, err := reporter.Do(ctx, requester.Call{Method: http.MethodGet, Path: []string{"v1", "status"}})
			if err == nil {
				leased += strings.Count(string(response.Body), `"rack"`)
			}
		}
		return leased == workers
	}))
	return cell
}

// sendLookups sends lookups at a fixed rate for the duration and returns the number of requests that were done.
func (demo *demo) sendLookups(b *testing.B, duration time.Duration) int {
	b.Helper()
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), duration+demoTimeout)
	defer cancel()
	count := int(duration.Seconds() * requestsPerSecond)
	resultChannel := make(chan demoResult, count)
	kind := demoRequestKind{entry: "balance-lookup", timeout: 2 * time.Second}
	for number := range count {
		<-ticker.C
		caller, err := demo.client(number, almondcross.RoleCaller)
		require.NoError(b, err)
		now := time.Now().UTC().Round(time.Millisecond)
		body := encoder.RequestBody{
			Entry: kind.entry, Key: fmt.Sprintf("bench-%d", number), Origin: demoDataCentre,
			Payload: []byte(`{"run_ms":5,"echo":"100"}`), IssuedAt: &now, Timeout: encoder.Duration(kind.timeout),
		}
		go func() { resultChannel <- sendRequest(ctx, caller, kind, body) }()
	}
	done := 0
	for range count {
		if result := <-resultChannel; result.err == nil && result.outcome.Status == almondcross.StatusDone {
			done++
		}
	}
	return done
}

// BenchmarkCell measures a platform, workers and two entry hosts in one process, idle and under a fixed request rate.
// The metrics are for the whole process, including the load generator. Run it with -benchtime 1x.
func BenchmarkCell(b *testing.B) {
	for _, workers := range []int{4, 12, 24} {
		for _, loaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/loaded=%t", workers, loaded), func(b *testing.B) {
				cell := startCell(b, workers)
				before, done := readUsage(b), 0
				for b.Loop() {
					if loaded {
						done += cell.sendLookups(b, measureDuration)
						continue
					}
					<-time.After(measureDuration)
				}
				after := readUsage(b)
				seconds := after.at.Sub(before.at).Seconds()
				b.ReportMetric(float64(after.written-before.written)/seconds, "bytes/s")
				b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/seconds, "cpu_percent")
				b.ReportMetric(float64(after.heap)/1e6, "heap_MB")
				b.ReportMetric(float64(after.resident)/1e3, "resident_MB")
				b.ReportMetric(float64(done)/seconds, "done/s")
			})
		}
	}
}
