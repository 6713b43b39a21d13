package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against guarantees that are broken only in a cell of two versions: the checks of TestSoak, with hosts of both builds at
// drawn places, of which each keeps its build when it is killed or restarted.
func TestMixedVersionsSoak(t *testing.T) {
	t.Parallel()
	earlier, later := buildCommit(t, *earlierCommit), buildLater(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runSoak(t, seed, drawBuilds(rand.New(rand.NewPCG(seed, 7)), earlier, later)...)
		})
	}
}

// drawBuilds returns the programs of the hosts of a cell, at least one of each build.
func drawBuilds(random *rand.Rand, earlier, later string) []string {
	binaries := make([]string, hostCount)
	for index := range binaries {
		binaries[index] = []string{earlier, later}[random.IntN(2)]
	}
	place := random.IntN(hostCount)
	binaries[place], binaries[(place+1+random.IntN(hostCount-1))%hostCount] = earlier, later
	return binaries
}

// Guards against requests that are refused or jobs that are lost, fail or run twice while the hosts of a cell are replaced one
// after the other by those of a later version, and by the earlier ones again. Each host is stopped with SIGTERM, and the next one
// follows once it is ready; the status shows a mixed cell in between.
func TestReplacementOfAllHosts(t *testing.T) {
	t.Parallel()
	earlier, later := buildCommit(t, *earlierCommit), buildLater(t)
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { replaceHosts(t, seed, earlier, later) })
	}
}

func replaceHosts(t *testing.T, seed uint64, earlier, later string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	binaries := make([]string, hostCount)
	for index := range binaries {
		binaries[index] = earlier
	}
	cell := startCell(ctx, t, seed, binaries...)
	order := rand.New(rand.NewPCG(seed, 8)).Perm(hostCount)
	done, sent := make(chan struct{}), make(chan []*job)
	go func() {
		var jobs []*job
		for number := uint64(0); ; number++ {
			select {
			case <-done:
				sent <- jobs
				return
			default:
				jobs = append(jobs, cell.sendJobsFor(time.Second, rand.New(rand.NewPCG(seed, 100+number)), false)...)
			}
		}
	}()
	before := cell.shownVersions(later) // It is unknown if the earlier version has no status.
	require.NotEqual(t, "mixed", before)
	for round, binary := range []string{later, earlier} {
		for number, index := range order {
			cell.hosts[index].replace(binary)
			cell.awaitReady(cell.hosts[index])
			if number < hostCount-1 {
				require.Equal(t, "mixed", cell.shownVersions(later), "round %d, %d hosts", round, number+1)
			}
		}
		want := []string{"one version", before}[round]
		require.Equal(t, want, cell.shownVersions(later), "after round %d", round)
	}
	close(done)
	jobs := <-sent
	for _, job := range jobs {
		require.True(t, job.accepted.Load(), "%s was refused six times", job.id)
	}
	cell.checkResults(jobs, []string{fmt.Sprintf("replaced in the order %v, twice", order)}, time.Now().Add(jobsTimeout))
}

// replace stops the process of a host as an operator does, and starts another program in its place.
func (host *host) replace(binary string) {
	_ = host.process.Process.Signal(syscall.SIGTERM)
	_ = host.process.Wait()
	host.binary = binary
	host.start()
}

// awaitReady waits until a host tells the load balancer that it is ready.
func (cell *cell) awaitReady(host *host) {
	require.Eventually(cell.t, func() bool {
		status, _ := cell.call(http.MethodGet, host.readyAddress, "/ready", "")
		return status == http.StatusOK
	}, 20*time.Second, 50*time.Millisecond, "%s is ready", host.name)
}

// shownVersions returns what the status command of a program tells of the versions of the cell.
func (cell *cell) shownVersions(binary string) string {
	arguments := []string{"status", "scheduling"}
	for _, host := range cell.hosts {
		arguments = append(arguments, "--server", host.metricsAddress)
	}
	output, err := exec.CommandContext(cell.ctx, binary, arguments...).Output()
	require.NoError(cell.t, err)
	cell.t.Logf("almondcross %s\n%s", strings.Join(arguments, " "), output)
	_, shown, found := strings.Cut(strings.TrimSpace(string(output)), "\ncell: ")
	require.True(cell.t, found)
	return shown
}
