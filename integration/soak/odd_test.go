package soak_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Guards against processes that end, jobs that are lost and a cell that stops scheduling because another writer leaves odd
// records in the store, and callers send odd jobs.
func TestOddRecordsAndJobsChangeNothing(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cell := startCell(ctx, t, *firstSeed)
	sent := make(chan []*job)
	go func() { sent <- cell.sendJobs(rand.New(rand.NewPCG(*firstSeed, 4)), false) }()
	count := 0
	for until := time.Now().Add(*loadDuration); time.Now().Before(until); <-time.After(100 * time.Millisecond) {
		count += cell.writeOddRecords(count)
	}
	cell.checkResults(<-sent, []string{fmt.Sprintf("%d odd records", count)}, time.Now().Add(jobsTimeout))
	for _, host := range cell.hosts {
		log, err := os.ReadFile(host.log.Name())
		require.NoError(t, err)
		require.NotContains(t, string(log), "panic:", host.name)
		status, _ := cell.call(http.MethodGet, host.callersAddress, "/q/", "")
		require.Equal(t, http.StatusOK, status, host.name)
	}
}

// writeOddRecords leaves one odd record of each kind, sends odd jobs, and returns the number of records.
func (cell *cell) writeOddRecords(number int) int {
	task := almondcross.JobTask{Stage: almondcross.StageID{Job: "odd"}, Index: -1}
	job := almondcross.NewJob(almondcross.JobConfig{ID: "odd", Queue: "q", Steps: []almondcross.Step{almondcross.NewStep(almondcross.StepConfig{Count: math.MaxInt64})}})
	codec, err := encoder.NewCodec()
	require.NoError(cell.t, err)
	batch, err := codec.EncodeBatch(almondcross.NewJournalBatch(almondcross.JournalBatchConfig{Epoch: 1, Changes: []almondcross.Change{
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAdmit, Job: job}),
		almondcross.NewChange(almondcross.ChangeConfig{Kind: almondcross.ChangeAssign, Task: task}),
	}}))
	require.NoError(cell.t, err)
	intakes, err := codec.EncodeIntake(almondcross.NewIntake(almondcross.IntakeConfig{Job: job}))
	require.NoError(cell.t, err)
	parts, err := codec.EncodeSnapshot(almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{Next: math.MaxInt64, Jobs: []almondcross.JobRecord{
		almondcross.NewJobRecord(almondcross.JobRecordConfig{Job: job}),
	}}), 1<<20)
	require.NoError(cell.t, err)
	raw := []struct {
		topic  string
		record []byte
	}{{"journal", []byte("odd")}, {"journal", batch}, {"intake", []byte{0xff}}, {"intake", intakes[0]}, {"keyed.servers", []byte{200, 'a'}}, {"keyed.snapshots", nil}}
	for _, odd := range raw {
		require.NoError(cell.t, cell.store.Append(cell.ctx, odd.topic, odd.record))
	}
	deep := strings.Repeat("[", 100_000)
	keyed := []struct{ topic, key, value string }{
		{"keyed.snapshots", "odd", string(parts[0])},
		{"keyed.scheduler", "odd", "odd"},
		{"keyed.op", "config", []string{"{", deep, `{"version":1e400}`, "[]"}[number%4]},
		{"keyed.servers", "odd-port", `{"service":"pool","addr":"127.0.0.1:99999999","state":"ready","capacity":{"cpu":8000,"mem_mb":9000}}`},
		{"keyed.servers", "odd-number", `{"service":"pool","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":1e400,"mem_mb":9000}}`},
		{"keyed.servers", "odd-\xff", `{"service":"pool","addr":"127.0.0.1:1","state":"ready","capacity":{"cpu":8000,"mem_mb":9000}}`},
		{"keyed.servers", fmt.Sprint("odd-", number), deep},
		{"keyed.servers", "w-0", deep},
	}
	for _, odd := range keyed {
		require.NoError(cell.t, cell.store.Put(cell.ctx, odd.topic, odd.key, []byte(odd.value)))
	}
	for _, body := range []string{
		`{"spec":"","steps":[{"count":1},{"count":9223372036854775807}]}`, `{"spec":"","steps":[{"count":1,"cpu":-1}]}`, `{"spec":"","steps":[{"count":2147483648}]}`,
		`{"spec":"","steps":[{"count":1,"after":[0]}]}`, `{"spec":"","steps":[{"count":1}],"max_runs":100000,"period_ms":1e300}`, deep,
	} {
		status, _ := cell.call(http.MethodPost, cell.hosts[1].callersAddress, fmt.Sprintf("/q/%016x", number), body)
		require.Equal(cell.t, http.StatusBadRequest, status, body[:min(len(body), 100)])
	}
	require.NoError(cell.t, cell.workers[0].announce(cell.workers[0].current.Load()))
	return len(raw) + len(keyed)
}
