package process_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/almondcross/almondcross/standin/reserver"
	"github.com/stretchr/testify/require"
)

var (
	seedFlag = flag.Uint64("seed", 1, "seed of the scenarios")
	binary   string
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 25 * time.Millisecond
	exitTimeout  = 30 * time.Second
)

// TestMain builds the program once; every scenario runs that binary.
func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	flag.Parse()
	directory, err := os.MkdirTemp("", "almondcross-process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary = filepath.Join(directory, "almondcross")
	build := exec.Command("go", "build", "-o", binary, "./cmd/almondcross")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// process is one process of the program; startCount counts its starts.
type process struct {
	t           *testing.T
	subcommand  string
	name        string
	address     string
	peerAddress string // peerAddress is the peer link address of an entry host.
	config      string
	log         string
	startCount  atomic.Int64
	command     *exec.Cmd
	exited      chan struct{}
}

// start starts the process. The test's cleanup kills it by its PID, even if it is paused.
func (process *process) start() {
	log, err := os.OpenFile(process.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(process.t, err)
	command := exec.Command(binary, process.subcommand, "--config", process.config)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // The process ends with that of the test.
	require.NoError(process.t, command.Start())
	_ = log.Close()
	exited := make(chan struct{})
	process.command, process.exited = command, exited
	process.startCount.Add(1)
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	process.t.Cleanup(func() {
		_ = command.Process.Kill()
		<-exited
	})
}

func (process *process) signal(signal syscall.Signal) {
	require.NoError(process.t, process.command.Process.Signal(signal), "%s to %s", signal, process.name)
}

// kill sends SIGKILL and waits until the process has exited.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	<-process.exited
}

// stop sends SIGTERM and waits until the process has exited; the test fails after exitTimeout.
func (process *process) stop() plannedStop {
	stop := plannedStop{Host: process.name, Started: time.Now()}
	process.signal(syscall.SIGTERM)
	select {
	case <-process.exited:
	case <-time.After(exitTimeout):
		require.Fail(process.t, "no planned stop", "%s is still running %s after SIGTERM", process.name, exitTimeout)
	}
	stop.Ended = time.Now()
	return stop
}

// pause stops the process for a duration and resumes it.
func (process *process) pause(duration time.Duration) {
	process.signal(syscall.SIGSTOP)
	<-time.After(duration)
	process.signal(syscall.SIGCONT)
}

func (process *process) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// eventually polls a condition until it is true and fails the test at the deadline.
func eventually(t *testing.T, timeout time.Duration, condition string, isTrue func() bool) {
	t.Helper()
	deadline := time.After(timeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isTrue() {
		select {
		case <-ticker.C:
		case <-deadline:
			require.Fail(t, "deadline", "condition not met: %s within %s", condition, timeout)
		}
	}
}

// reserveAddresses reserves ports on a loopback address that no other cell and no outgoing connection uses, until the end
// of the test.
func reserveAddresses(t *testing.T, count int) []string {
	host := reserver.NewHost()
	addresses := make([]string, count)
	for index := range addresses {
		reservation, err := reserver.Reserve(host)
		require.NoError(t, err)
		t.Cleanup(func() { _ = reservation.Release() })
		addresses[index] = reservation.Address()
	}
	return addresses
}
