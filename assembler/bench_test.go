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
)

const (
	measureFor  = 10 * time.Second
	measureRate = 50 // requests a second
)

// usage is what the whole process used up to now.
type usage struct {
	at       time.Time
	cpu      time.Duration
	written  int64 // written counts the bytes of all writes; each byte between two parts is written once.
	heap     uint64
	resident int64
}

func readUsage(tb testing.TB) usage {
	tb.Helper()
	var times syscall.Rusage
	require.NoError(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &times))
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return usage{
		at: time.Now(), cpu: time.Duration(times.Utime.Nano() + times.Stime.Nano()), heap: stats.HeapAlloc,
		written: field(tb, "/proc/self/io", "wchar:"), resident: field(tb, "/proc/self/status", "VmRSS:"),
	}
}

// field returns the number after a label of a file of /proc.
func field(tb testing.TB, path, label string) int64 {
	tb.Helper()
	content, err := os.ReadFile(path)
	require.NoError(tb, err)
	_, rest, found := strings.Cut(string(content), label)
	require.True(tb, found, "%s has no %s", path, label)
	number, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(tb, err)
	return number
}

// startCell starts a platform, workers and the entry hosts of the demo, and waits until all workers are held.
func startCell(b *testing.B, workers int) *demo {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	b.Cleanup(cancel)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	address := func() string {
		free, err := freeAddress(ctx)
		require.NoError(b, err)
		return free
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
	require.NoError(b, cell.publish(ctx))
	require.NoError(b, until(ctx, func() bool {
		held := 0
		for host := range cell.hosts {
			reporter, err := cell.client(host, almondcross.RoleReporter)
			require.NoError(b, err)
			answer, err := reporter.Do(ctx, requester.Call{Method: http.MethodGet, Path: []string{"v1", "status"}})
			if err == nil {
				held += strings.Count(string(answer.Body), `"rack"`)
			}
		}
		return held == workers
	}))
	return cell
}

// request sends lookups at the fixed rate until the time is over and returns the number of answers.
func (demo *demo) request(b *testing.B, duration time.Duration) int {
	b.Helper()
	ticker := time.NewTicker(time.Second / measureRate)
	defer ticker.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), duration+demoLimit)
	defer cancel()
	count := int(duration.Seconds() * measureRate)
	answers := make(chan demoOutcome, count)
	work := demoWork{entry: "balance-lookup", wait: 2 * time.Second}
	for number := range count {
		<-ticker.C
		caller, err := demo.client(number, almondcross.RoleCaller)
		require.NoError(b, err)
		now := time.Now().UTC().Round(time.Millisecond)
		body := encoder.RequestBody{
			Entry: work.entry, Key: fmt.Sprintf("bench-%d", number), Origin: demoDataCentre,
			Payload: []byte(`{"run_ms":5,"echo":"100"}`), IssuedAt: &now, Timeout: encoder.Duration(work.wait),
		}
		go func() { answers <- send(ctx, caller, work, body) }()
	}
	done := 0
	for range count {
		if answer := <-answers; answer.err == nil && answer.outcome.Status == almondcross.StatusDone {
			done++
		}
	}
	return done
}

// BenchmarkCell measures a platform, workers and two entry hosts in one process, idle and at a fixed rate.
// The figures are for the whole process, load included; run it with -benchtime 1x.
func BenchmarkCell(b *testing.B) {
	for _, workers := range []int{4, 12, 24} {
		for _, loaded := range []bool{false, true} {
			b.Run(fmt.Sprintf("workers=%d/loaded=%t", workers, loaded), func(b *testing.B) {
				cell := startCell(b, workers)
				before, done := readUsage(b), 0
				for b.Loop() {
					if loaded {
						done += cell.request(b, measureFor)
						continue
					}
					<-time.After(measureFor)
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
