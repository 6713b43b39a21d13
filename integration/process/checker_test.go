package process_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

const (
	// maxLeavingDelay is the time after which a leaving worker must get no work (P6), and maxCatalogueDelay the
	// time after which every host must have a catalogue change (P8).
	maxLeavingDelay   = 4 * time.Second
	maxCatalogueDelay = 4 * time.Second
)

// violation is a broken guarantee with the records that prove it.
type violation struct {
	guarantee string
	text      string
	timeline  []string
}

func (violation violation) String() string {
	return violation.guarantee + ": " + violation.text + "\n    " + strings.Join(violation.timeline, "\n    ")
}

// workerEvent is an entry of the history of a worker.
type workerEvent struct {
	encoder.WorkerHistoryEntry
	worker string
}

func (workerevent workerEvent) at() time.Time { return time.UnixMicro(workerevent.AtUs) }

// checker checks the evidence of one run against the guarantees.
type checker struct {
	evidence   evidence
	tasks      map[encoder.WorkerTaskID][]workerEvent // tasks holds the entries of each task in time order.
	starts     map[string][]workerEvent               // starts holds the starts of each key.
	attempts   map[string][]attempt
	violations []violation
}

func newChecker(evidence evidence) *checker {
	checker := &checker{
		evidence: evidence, tasks: map[encoder.WorkerTaskID][]workerEvent{},
		starts: map[string][]workerEvent{}, attempts: map[string][]attempt{},
	}
	checker.indexRecords()
	return checker
}

// checkEvidence returns every violation of the guarantees that the evidence shows.
func checkEvidence(evidence evidence) []violation {
	checker := newChecker(evidence)
	checker.checkRecordsComplete()
	checker.checkCapacity()
	checker.checkConcurrentRuns()
	checker.checkAnswers()
	checker.checkStarts()
	checker.checkLeavingWorkers()
	checker.checkStops()
	checker.checkCatalogues()
	return checker.violations
}

func (checker *checker) indexRecords() {
	for _, history := range checker.evidence.workers {
		for _, entry := range history.Entries {
			if entry.Task == nil {
				continue
			}
			event := workerEvent{WorkerHistoryEntry: entry, worker: history.Worker}
			checker.tasks[*entry.Task] = append(checker.tasks[*entry.Task], event)
		}
	}
	for id, events := range checker.tasks {
		slices.SortStableFunc(events, func(left, right workerEvent) int { return int(left.AtUs - right.AtUs) })
		for _, event := range events {
			if event.Kind == encoder.WorkerTaskStarted {
				checker.starts[id.Name] = append(checker.starts[id.Name], event)
			}
		}
	}
	for _, attempt := range checker.evidence.attempts {
		checker.attempts[attempt.Key] = append(checker.attempts[attempt.Key], attempt)
	}
	for key := range checker.attempts {
		slices.SortFunc(checker.attempts[key], func(left, right attempt) int { return left.Received.Compare(right.Received) })
	}
}

func (checker *checker) reportViolation(guarantee, key, format string, arguments ...any) {
	checker.violations = append(checker.violations, violation{
		guarantee: guarantee, text: fmt.Sprintf(format, arguments...), timeline: checker.timeline(key),
	})
}

// timeline lists all records of a key in time order.
func (checker *checker) timeline(key string) []string {
	type line struct {
		at   time.Time
		text string
	}
	var lines []line
	for id, events := range checker.tasks {
		if id.Name != key {
			continue
		}
		for _, event := range events {
			lines = append(lines, line{event.at(), fmt.Sprintf("%s %s/%d attempt %d code=%q term %d.%d holder %s/%d", event.worker,
				event.Kind, id.Index, event.Attempt, event.Code, event.Term.Boot, event.Term.Counter, event.Holder.Name, event.Holder.Incarnation)})
		}
	}
	for _, attempt := range checker.attempts[key] {
		lines = append(lines, line{attempt.Sent, "caller sends " + key + " to " + attempt.Host})
		lines = append(lines, line{attempt.Received, fmt.Sprintf("%s responds %s code=%q target=%s answer=%q err=%q",
			attempt.Host, attempt.Status, attempt.Code, attempt.Target, attempt.Answer, attempt.Err)})
	}
	slices.SortStableFunc(lines, func(left, right line) int { return left.at.Compare(right.at) })
	texts := make([]string, len(lines))
	for index, line := range lines {
		texts[index] = line.at.Format("15:04:05.000") + " " + line.text
	}
	return texts
}

// checkRecordsComplete reports records with dropped entries, which could hide a violation.
func (checker *checker) checkRecordsComplete() {
	for _, history := range checker.evidence.workers {
		if history.Dropped > 0 {
			checker.reportViolation("records", "", "%s dropped %d entries", history.Worker, history.Dropped)
		}
	}
	if checker.evidence.appends.Dropped > 0 {
		checker.reportViolation("records", "", "the platform dropped %d appends", checker.evidence.appends.Dropped)
	}
}

func (checker *checker) checkCapacity() {
	for _, history := range checker.evidence.workers {
		for _, entry := range history.Entries {
			key := ""
			if entry.Task != nil {
				key = entry.Task.Name
			}
			if !entry.Allocated.Value().Fits(history.Capacity.Value()) {
				checker.reportViolation("P1", key, "%s allocates %+v of %+v", history.Worker, entry.Allocated, history.Capacity)
			}
			if entry.Kind == encoder.WorkerOvercommitRefused {
				checker.reportViolation("P1", key, "%s received a start that needs %+v while %+v was allocated", history.Worker, entry.Needed, entry.Allocated)
			}
		}
	}
}

// checkConcurrentRuns reports a task that starts while it is already running on any worker.
func (checker *checker) checkConcurrentRuns() {
	for id, events := range checker.tasks {
		running := map[string]bool{}
		for _, event := range events {
			switch event.Kind {
			case encoder.WorkerTaskStarted:
				if len(running) > 0 {
					checker.reportViolation("P2", id.Name, "task %s/%d starts on %s while it runs on %v", id.Name, id.Index, event.worker, running)
				}
				running[event.worker] = true
			case encoder.WorkerTaskEnded, encoder.WorkerTaskDropped:
				delete(running, event.worker)
			}
		}
	}
}

func (checker *checker) checkAnswers() {
	for _, attempt := range checker.evidence.attempts {
		if attempt.ReceivedKey != "" && attempt.ReceivedKey != attempt.Key {
			checker.reportViolation("P3", attempt.Key, "the caller of %s got the outcome of %s", attempt.Key, attempt.ReceivedKey)
		}
		if attempt.Status == almondcross.StatusDone && attempt.Answer != attempt.Expected {
			checker.reportViolation("P3", attempt.Key, "the caller of %s got %q, not %q", attempt.Key, attempt.Answer, attempt.Expected)
		}
	}
}

func (checker *checker) checkStarts() {
	for key, attempts := range checker.attempts {
		starts := checker.starts[key]
		counts := map[int]int{}
		for _, start := range starts {
			counts[start.Task.Index]++
			if !attempts[0].Repeatable && counts[start.Task.Index] == 2 {
				checker.reportViolation("P5", key, "non-repeatable %s/%d was started more than once", key, start.Task.Index)
			}
		}
		for _, attempt := range attempts {
			if attempt.Status == almondcross.StatusNotRun {
				checker.checkNotRun(attempt, attempts, starts)
			}
		}
	}
}

// checkNotRun reports starts of a key whose caller received not_run. Only an attempt that was sent after
// that response may cause a start.
func (checker *checker) checkNotRun(notRun attempt, attempts []attempt, starts []workerEvent) {
	for _, start := range starts {
		repeated := slices.ContainsFunc(attempts, func(other attempt) bool {
			return other.Sent.After(notRun.Received) && !start.at().Before(other.Sent)
		})
		if !repeated {
			checker.reportViolation("P4", notRun.Key, "the caller of %s received not_run (%s), but the key was started on %s", notRun.Key, notRun.Code, start.worker)
			return
		}
	}
}

// checkLeavingWorkers reports work that was sent to a leaving worker. A worker that announces itself as
// leaving refuses starts, so refused starts count as well.
func (checker *checker) checkLeavingWorkers() {
	for _, period := range checker.evidence.leavingPeriods {
		bound := period.From.Add(maxLeavingDelay)
		for _, worker := range checker.evidence.workers {
			if worker.Worker != period.Worker {
				continue
			}
			for _, entry := range worker.Entries {
				isStart := entry.Kind == encoder.WorkerTaskStarted || entry.Kind == encoder.WorkerStartRefused
				at := time.UnixMicro(entry.AtUs)
				if isStart && at.After(bound) && (period.Until.IsZero() || at.Before(period.Until)) {
					checker.reportViolation("P6", entry.Task.Name, "%s has been leaving since %s and was sent work %s later",
						period.Worker, period.From.Format("15:04:05.000"), at.Sub(period.From))
				}
			}
		}
	}
}

// checkStops reports requests that a host had accepted and cut off without a response during its graceful shutdown.
func (checker *checker) checkStops() {
	for _, stop := range checker.evidence.stops {
		for _, attempt := range checker.evidence.attempts {
			overlaps := attempt.Sent.Before(stop.Ended) && attempt.Received.After(stop.Started)
			if attempt.Host == stop.Host && attempt.Err != "" && !attempt.Refused && !attempt.Abandoned && overlaps {
				checker.reportViolation("P7", attempt.Key, "%s stopped from %s to %s and cut off %s: %s", stop.Host,
					stop.Started.Format("15:04:05.000"), stop.Ended.Format("15:04:05.000"), attempt.Key, attempt.Err)
			}
		}
	}
}

func (checker *checker) checkCatalogues() {
	type hostRun struct {
		host string
		run  int
	}
	lastReadings := map[hostRun]catalogueReading{}
	for _, reading := range checker.evidence.catalogues {
		current := hostRun{reading.Host, reading.StartCount}
		if previous, ok := lastReadings[current]; ok && reading.Offset < previous.Offset {
			checker.reportViolation("P8", "", "the catalogue of %s (run %d) went from offset %d at %s back to %d at %s", reading.Host, reading.StartCount,
				previous.Offset, previous.At.Format("15:04:05.000"), reading.Offset, reading.At.Format("15:04:05.000"))
		}
		lastReadings[current] = reading
		for _, change := range checker.evidence.changes {
			if reading.At.After(change.At.Add(maxCatalogueDelay)) && reading.Offset < change.Version {
				checker.reportViolation("P8", "", "%s has offset %d at %s; version %d was accepted at %s", reading.Host, reading.Offset,
					reading.At.Format("15:04:05.000"), change.Version, change.At.Format("15:04:05.000"))
			}
		}
	}
}
