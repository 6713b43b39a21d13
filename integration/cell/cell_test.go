package cell_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/almondcross/almondcross"
)

// submission is one request of a caller, which may send it several times under the same key.
type submission struct {
	cell     *cell
	request  almondcross.Request
	sent     bool
	pending  int
	finished bool
	outcome  almondcross.Outcome // outcome is the last one that the caller received.
}

func (cell *cell) newSubmission(entry string, number int, withIssuedAt bool) *submission {
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key: almondcross.NewKey(almondcross.KeyConfig{
			Caller: "caller", Origin: dataCentre, Name: fmt.Sprintf("%s-%d", entry, number),
		}),
		Entry: entry, Payload: []byte("{}"), Timeout: 2 * time.Second,
	})
	if withIssuedAt || entry == "payout" {
		request = request.WithIssuedAt(cell.now.Round(0))
	}
	return &submission{cell: cell, request: request}
}

// sendTo submits the request to a host. The response may be late or duplicated, or never arrive.
func (submission *submission) sendTo(name string) {
	host := submission.cell.hosts[name]
	key := submission.request.Key()
	if !host.alive {
		return
	}
	// The caller repeats a request with the retry flag once it knows the outcome of every attempt.
	request := submission.request.WithRetry(submission.sent && submission.pending == 0)
	submission.sent = true
	submission.pending++
	delete(submission.cell.checker.notRun, key)
	submission.cell.tracef("caller sends %s to %s", key, name)
	host.sendToCoordinator(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Request: request, Replier: replierFunc(submission.receive),
	}))
}

func (submission *submission) receive(outcome almondcross.Outcome) {
	key := submission.request.Key()
	submission.pending--
	submission.cell.tracef("caller of %s receives %s %s", key, outcome.Status(), outcome.Code())
	submission.cell.checker.checkAnswer(key, outcome)
	submission.outcome = outcome
	switch outcome.Status() {
	case almondcross.StatusDone, almondcross.StatusFailed:
		submission.finished = true
	case almondcross.StatusNotRun:
		submission.cell.checker.notRun[key] = true
	}
}

// checkRandomHistory runs a cell through random requests and failures and checks the guarantees after every step.
func checkRandomHistory(t *rapid.T) {
	cell := newCell(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.IntRange(2, 4).Draw(t, "workers"))
	cell.advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "warm_up_ms")) * time.Millisecond)
	var submissions []*submission
	steps := rapid.IntRange(10, 60).Draw(t, "steps")
	for range steps {
		submissions = randomStep(t, cell, submissions)
		duration := rapid.SampledFrom([]int{1, 20, 300, 1500, 4000, 12000}).Draw(t, "advance_ms")
		cell.advance(time.Duration(duration) * time.Millisecond)
		failOnViolation(t, cell)
	}
	checkRecovery(t, cell, submissions)
}

func randomStep(t *rapid.T, cell *cell, submissions []*submission) []*submission {
	host := cell.hosts[rapid.SampledFrom(cell.hostNames).Draw(t, "host")]
	worker := cell.workers[rapid.SampledFrom(cell.workerNames).Draw(t, "worker")]
	switch rapid.IntRange(0, 15).Draw(t, "action") {
	case 0, 1, 2, 3:
		entry := rapid.SampledFrom([]string{"lookup", "payout"}).Draw(t, "entry")
		created := cell.newSubmission(entry, len(submissions), rapid.Bool().Draw(t, "with_issue"))
		submissions = append(submissions, created)
		created.sendTo(host.name)
		if rapid.Bool().Draw(t, "twice") {
			created.sendTo(rapid.SampledFrom(cell.hostNames).Draw(t, "other"))
		}
	case 4, 5:
		if len(submissions) > 0 {
			rapid.SampledFrom(submissions).Draw(t, "again").sendTo(host.name)
		}
	case 6:
		if host.alive {
			host.kill()
		}
	case 7:
		if !host.alive {
			cell.start(host.name)
		}
	case 8, 9:
		host.pause(time.Duration(rapid.SampledFrom([]int{300, 1900, 2050, 2700, 5000, 15000}).Draw(t, "pause_ms")) * time.Millisecond)
	case 10:
		worker.unreachable = !worker.unreachable
		cell.tracef("%s unreachable: %v", worker.name, worker.unreachable)
	case 11:
		worker.restart(rapid.Bool().Draw(t, "keep_tasks"))
	case 12:
		cell.log.down = !cell.log.down
		cell.log.delayAppends = !cell.log.down && rapid.Bool().Draw(t, "lossy")
	case 13:
		worker.failsTasks = !worker.failsTasks
	case 14, 15:
		if len(submissions) > 0 && host.alive {
			rapid.SampledFrom(submissions).Draw(t, "cancelled").cancel(host.name)
		}
	}
	return submissions
}

func failOnViolation(t *rapid.T, cell *cell) {
	if len(cell.checker.violations) > 0 {
		t.Fatalf("%s\n%s", strings.Join(cell.checker.violations, "\n"), strings.Join(cell.trace, "\n"))
	}
}

// checkRecovery ends all failures and fails the test unless every repeatable request that is sent again
// completes and every service replica runs.
func checkRecovery(t *rapid.T, cell *cell, submissions []*submission) {
	cell.log.down, cell.log.delayAppends = false, false
	for _, worker := range cell.workers {
		worker.unreachable, worker.failsTasks = false, false
	}
	for _, name := range cell.hostNames {
		if !cell.hosts[name].alive {
			cell.start(name)
		}
	}
	cell.advance(2 * time.Minute)
	failOnViolation(t, cell)
	for round := range 20 {
		for _, submission := range submissions {
			if !submission.finished && submission.request.Entry() == "lookup" {
				submission.sendTo(cell.hostNames[round%len(cell.hostNames)])
			}
		}
		cell.advance(10 * time.Second)
		failOnViolation(t, cell)
	}
	for _, submission := range submissions {
		if submission.request.Entry() == "lookup" && !submission.finished {
			t.Fatalf("%s has not completed after all failures ended\n%s", submission.request.Key(), strings.Join(cell.trace, "\n"))
		}
	}
	replicas := 0
	for _, worker := range cell.workers {
		for id := range worker.tasks {
			if id.Key().Caller() == "almondcross" {
				replicas++
			}
		}
	}
	if replicas != 2 {
		for _, name := range cell.hostNames {
			cell.traceServices(name)
		}
		t.Fatalf("%d service replicas are running after all failures ended, want 2\n%s", replicas, strings.Join(cell.trace, "\n"))
	}
}

// TestGuaranteesUnderFailures guards against broken guarantees: a start beyond the capacity of a worker (P1), a
// task that runs on two workers at a time (P2), a caller that gets the outcome or answer of another key (P3), a
// start although the caller received not_run (P4), and a second start of a non-repeatable request (P5). A history
// is a random combination of cancellations, killed and paused hosts, unreachable and restarted workers, lost responses and log outages. rapid prints the
// seed of a failing history; -rapid.checks sets the number of histories.
func TestGuaranteesUnderFailures(t *testing.T) {
	rapid.Check(t, checkRandomHistory)
}

// TestRequestsCompleteWithoutFailures guards against a cell that serves nothing: without failures, a repeatable
// and a non-repeatable request both complete.
func TestRequestsCompleteWithoutFailures(t *testing.T) {
	cell := newCell(1, 3, 3)
	cell.advance(5 * time.Second)
	submission := cell.newSubmission("lookup", 1, true)
	submission.sendTo("e0")
	payout := cell.newSubmission("payout", 2, true)
	payout.sendTo("e1")
	cell.advance(time.Minute)
	require.Empty(t, cell.checker.violations)
	require.True(t, submission.finished && payout.finished, strings.Join(cell.trace, "\n"))
}

// traceServices adds a host's view of its peers and of the service replicas to the trace.
func (cell *cell) traceServices(name string) {
	for other, peer := range cell.hosts[name].registrar.View(cell.now).Peers() {
		cell.tracef("%s has %s in its view with summary %+v", name, other, peer.Summary().Config())
	}
	for replica := range 2 {
		key := almondcross.NewKey(almondcross.KeyConfig{
			Caller: "almondcross", Origin: dataCentre, Name: fmt.Sprintf("service/front/%s/%d", dataCentre, replica),
		})
		coordinator, _ := cell.hosts[name].registrar.View(cell.now).Coordinator(key)
		cell.hosts[name].sendToCoordinator(almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: key, Forwarded: true, Replier: replierFunc(func(outcome almondcross.Outcome) {
				cell.tracef("%s reports %s as %s %s on %s, coordinated by %s", name, key, outcome.Status(), outcome.Code(),
					outcome.Target(), coordinator.ID().Name())
			}),
		}))
	}
}
