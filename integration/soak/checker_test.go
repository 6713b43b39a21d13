package soak_test

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/almondcross/almondcross/platform/standin"
)

// checker holds the events that the workers reported and the violations.
type checker struct {
	mutex      sync.Mutex //nolint:forbidigo // Test code has no duties.
	running    map[string]map[string]int
	done       map[string]bool
	started    map[string]bool
	violations []string

	openRuns      map[runKey]*workerRun
	runs          []*workerRun
	disturbances  []disturbance
	crashes       map[string]int             // crashes counts the workers that have crashed under a task.
	laterRestarts map[string]int             // laterRestarts counts the starts of a task after maxCrashes.
	history       map[string][]standin.Event // history holds the events of each task.
}

// runKey identifies a run on a worker.
type runKey struct {
	worker, task string
	run          int
}

// workerRun is a run as its worker saw it.
type workerRun struct {
	runKey
	start, end time.Time // end is zero while the run goes on.
	endKind    string
}

func newChecker() *checker {
	return &checker{
		running: map[string]map[string]int{}, done: map[string]bool{}, started: map[string]bool{}, openRuns: map[runKey]*workerRun{},
		crashes: map[string]int{}, laterRestarts: map[string]int{}, history: map[string][]standin.Event{},
	}
}

func (checker *checker) record(cell *cell, event standin.Event) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	parts := strings.Split(event.Task, ".")
	checker.checkAcknowledgements(event)
	checker.history[event.Task] = append(checker.history[event.Task], event)
	if event.Kind == standin.KindAcknowledged || event.Kind == standin.KindAcknowledgedUnlisted {
		return
	}
	checker.recordRun(event)
	checker.checkRestarts(event)
	switch event.Kind {
	case "start":
		checker.started[parts[0]] = true
		for worker, run := range checker.running[event.Task] {
			checker.addViolation("two runs of %s: %d on %s, %d on %s", event.Task, run, worker, event.Run, event.Worker)
		}
		if checker.running[event.Task] == nil {
			checker.running[event.Task] = map[string]int{}
		}
		checker.running[event.Task][event.Worker] = event.Run
		value, _ := cell.jobs.Load(parts[0])
		step, _ := strconv.Atoi(parts[2])
		for earlierStep := range step {
			for index := range value.(*job).counts[earlierStep] { //nolint:forcetypeassert // The map holds jobs only.
				if earlierTask := fmt.Sprintf("%s.0.%d.%d", parts[0], earlierStep, index); !checker.done[earlierTask] {
					checker.addViolation("%s starts before %s is done", event.Task, earlierTask)
				}
			}
		}
	case "unasked", "over capacity":
		checker.addViolation("%s: %s run %d on %s", event.Kind, event.Task, event.Run, event.Worker)
	default:
		delete(checker.running[event.Task], event.Worker)
		if event.Kind == "done" {
			checker.done[event.Task] = true
		}
	}
}

func (checker *checker) addViolation(format string, values ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, values...))
}

// recordRun stores when a run starts and ends.
func (checker *checker) recordRun(event standin.Event) {
	key := runKey{worker: event.Worker, task: event.Task, run: event.Run}
	if run := checker.openRuns[key]; run != nil {
		run.end, run.endKind = event.At, event.Kind
		delete(checker.openRuns, key)
		return
	}
	run := &workerRun{runKey: key, start: event.At}
	checker.openRuns[key] = run
	checker.runs = append(checker.runs, run)
}
