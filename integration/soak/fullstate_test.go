package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// floodClients is the number of clients that submit jobs one after the other.
	floodClients = 16
	// floodPayload is nearly the size of the largest payload.
	floodPayload = 3900
)

// flood submits jobs from several clients for loadDuration and returns them.
func (cell *cell) flood(seed uint64) []*job {
	var group sync.WaitGroup
	sent := make(chan *job, floodClients)
	for client := range floodClients {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, 100+uint64(client))) //nolint:gosec // It is not negative.
			for until := time.Now().Add(*loadDuration); time.Now().Before(until); {
				job := newJob(random)
				job.payload, job.counts = strings.Repeat("x", floodPayload), []int{1 + random.IntN(4)}
				cell.jobs.Store(job.id, job)
				cell.submit(job, random.IntN(hostCount), 0)
				sent <- job
			}
		})
	}
	go func() { group.Wait(); close(sent) }()
	var jobs []*job
	for job := range sent {
		jobs = append(jobs, job)
	}
	return jobs
}

// Guards against the violations of TestSoak in a cell whose state is full most of the time: a refused job that runs, an accepted one that
// is lost, while hosts are killed, paused and cut off, and store jobs without the scheduler's confirmation.
func TestSoakWithAFullState(t *testing.T) {
	t.Parallel()
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			cell := startCellWith(ctx, t, seed, `,"state_memory_mb":2`)
			faults := cell.injectFaults()
			jobs := cell.flood(seed)
			full := 0
			for _, host := range cell.hosts {
				log, err := os.ReadFile(host.log.Name())
				require.NoError(t, err)
				full += strings.Count(string(log), "state_full")
			}
			require.Positive(t, full, "no host has refused a job for lack of room")
			cell.checkResults(jobs, <-faults, time.Now().Add(3*time.Second+jobsTimeout))
		})
	}
}
