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

// submission is one request of a caller that asks again with the same key until it has an answer.
type submission struct {
	world    *world
	request  almondcross.Request
	open     int
	finished bool
}

func (world *world) newSubmission(entry string, number int, withIssue bool) *submission {
	request := almondcross.NewRequest(almondcross.RequestConfig{
		Key: almondcross.NewKey(almondcross.KeyConfig{
			Caller: "caller", Origin: dataCentre, Name: fmt.Sprintf("%s-%d", entry, number),
		}),
		Entry: entry, Payload: []byte("{}"), Timeout: 2 * time.Second,
	})
	if withIssue || entry == "payout" {
		request = request.WithIssuedAt(world.now.Round(0))
	}
	return &submission{world: world, request: request}
}

// sendTo submits the request at a host. An answer may come late, twice, or not at all.
func (submission *submission) sendTo(name string) {
	host := submission.world.hosts[name]
	key := submission.request.Key()
	if !host.alive {
		return
	}
	submission.open++
	delete(submission.world.checks.notRun, key)
	submission.world.note("caller sends %s to %s", key, name)
	host.tell(almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{
		Request: submission.request, Replier: replier(submission.told),
	}))
}

func (submission *submission) told(outcome almondcross.Outcome) {
	key := submission.request.Key()
	submission.open--
	submission.world.note("caller of %s is told %s %s", key, outcome.Status(), outcome.Code())
	submission.world.checks.told(key, outcome)
	switch outcome.Status() {
	case almondcross.StatusDone, almondcross.StatusFailed:
		submission.finished = true
	case almondcross.StatusNotRun:
		if submission.open == 0 {
			submission.world.checks.notRun[key] = true
		}
	}
}

// history drives a cell through random failures and checks the promises after every step.
func history(t *rapid.T) {
	world := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), rapid.IntRange(2, 4).Draw(t, "workers"))
	world.advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "warm_up_ms")) * time.Millisecond)
	var submissions []*submission
	steps := rapid.IntRange(10, 60).Draw(t, "steps")
	for range steps {
		submissions = step(t, world, submissions)
		length := rapid.SampledFrom([]int{1, 20, 300, 1500, 4000, 12000}).Draw(t, "advance_ms")
		world.advance(time.Duration(length) * time.Millisecond)
		check(t, world)
	}
	heal(t, world, submissions)
}

func step(t *rapid.T, world *world, submissions []*submission) []*submission {
	host := world.hosts[rapid.SampledFrom(world.hostNames).Draw(t, "host")]
	worker := world.workers[rapid.SampledFrom(world.names).Draw(t, "worker")]
	switch rapid.IntRange(0, 13).Draw(t, "action") {
	case 0, 1, 2, 3:
		entry := rapid.SampledFrom([]string{"lookup", "payout"}).Draw(t, "entry")
		fresh := world.newSubmission(entry, len(submissions), rapid.Bool().Draw(t, "with_issue"))
		submissions = append(submissions, fresh)
		fresh.sendTo(host.name)
		if rapid.Bool().Draw(t, "twice") {
			fresh.sendTo(rapid.SampledFrom(world.hostNames).Draw(t, "other"))
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
			world.start(host.name)
		}
	case 8, 9:
		host.pause(time.Duration(rapid.SampledFrom([]int{300, 1900, 2050, 2700, 5000, 15000}).Draw(t, "pause_ms")) * time.Millisecond)
	case 10:
		worker.unreachable = !worker.unreachable
		world.note("%s unreachable: %v", worker.name, worker.unreachable)
	case 11:
		worker.restart(rapid.Bool().Draw(t, "keep_tasks"))
	case 12:
		world.log.down = !world.log.down
		world.log.lossy = !world.log.down && rapid.Bool().Draw(t, "lossy")
	case 13:
		worker.failing = !worker.failing
	}
	return submissions
}

func check(t *rapid.T, world *world) {
	if len(world.checks.violations) > 0 {
		t.Fatalf("%s\n%s", strings.Join(world.checks.violations, "\n"), strings.Join(world.trace, "\n"))
	}
}

// heal ends all failures; then every repeatable request that is asked for again gets its answer,
// and every service replica runs.
func heal(t *rapid.T, world *world, submissions []*submission) {
	world.log.down, world.log.lossy = false, false
	for _, worker := range world.workers {
		worker.unreachable, worker.failing = false, false
	}
	for _, name := range world.hostNames {
		if !world.hosts[name].alive {
			world.start(name)
		}
	}
	world.advance(2 * time.Minute)
	check(t, world)
	for round := range 20 {
		for _, submission := range submissions {
			if !submission.finished && submission.request.Entry() == "lookup" {
				submission.sendTo(world.hostNames[round%len(world.hostNames)])
			}
		}
		world.advance(10 * time.Second)
		check(t, world)
	}
	for _, submission := range submissions {
		if submission.request.Entry() == "lookup" && !submission.finished {
			t.Fatalf("%s has no answer after all failures ended\n%s", submission.request.Key(), strings.Join(world.trace, "\n"))
		}
	}
	replicas := 0
	for _, worker := range world.workers {
		for id := range worker.tasks {
			if id.Key().Caller() == "almondcross" {
				replicas++
			}
		}
	}
	if replicas != 2 {
		for _, name := range world.hostNames {
			world.noteServices(name)
		}
		t.Fatalf("%d service replicas run after all failures ended, want 2\n%s", replicas, strings.Join(world.trace, "\n"))
	}
}

// TestPromisesUnderFailures guards P1 to P5 against killed and paused hosts, unreachable and
// restarted workers, lost answers and log outages, alone and together. rapid prints the seed of a
// failing history; -rapid.checks sets the number of histories.
func TestPromisesUnderFailures(t *testing.T) {
	rapid.Check(t, history)
}

// TestRequestIsAnswered guards against a cell that does not serve at all.
func TestRequestIsAnswered(t *testing.T) {
	world := newWorld(1, 3, 3)
	world.advance(5 * time.Second)
	submission := world.newSubmission("lookup", 1, true)
	submission.sendTo("e0")
	payout := world.newSubmission("payout", 2, true)
	payout.sendTo("e1")
	world.advance(time.Minute)
	require.Empty(t, world.checks.violations)
	require.True(t, submission.finished && payout.finished, strings.Join(world.trace, "\n"))
}

// noteServices writes what a host knows of the service replicas into the trace.
func (world *world) noteServices(name string) {
	for other, peer := range world.hosts[name].registrar.View(world.now).Peers() {
		world.note("%s sees %s with %+v", name, other, peer.Summary().Config())
	}
	for replica := range 2 {
		key := almondcross.NewKey(almondcross.KeyConfig{
			Caller: "almondcross", Origin: dataCentre, Name: fmt.Sprintf("service/front/%s/%d", dataCentre, replica),
		})
		coordinator, _ := world.hosts[name].registrar.View(world.now).Coordinator(key)
		world.hosts[name].tell(almondcross.NewLookupRequest(almondcross.LookupRequestConfig{
			Key: key, Forwarded: true, Replier: replier(func(outcome almondcross.Outcome) {
				world.note("%s knows %s as %s %s on %s, coordinated by %s", name, key, outcome.Status(), outcome.Code(),
					outcome.Target(), coordinator.ID().Name())
			}),
		}))
	}
}
