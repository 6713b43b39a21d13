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
	// leavingBound is the bound of P6 and inForceBound that of P8.
	leavingBound = 4 * time.Second
	inForceBound = 4 * time.Second
)

// violation is a broken promise with the records that show it.
type violation struct {
	promise  string
	text     string
	timeline []string
}

func (violation violation) String() string {
	return violation.promise + ": " + violation.text + "\n    " + strings.Join(violation.timeline, "\n    ")
}

// workerEvent is an entry of the history of a worker.
type workerEvent struct {
	encoder.WorkerHistoryEntry
	worker string
}

func (workerevent workerEvent) at() time.Time { return time.UnixMicro(workerevent.AtUs) }

// checker reads the evidence of one run.
type checker struct {
	evidence   evidence
	tasks      map[encoder.WorkerTaskID][]workerEvent // tasks holds the entries of each task in order of time.
	starts     map[string][]workerEvent               // starts holds the starts of each key.
	answers    map[string][]answer
	violations []violation
}

func newChecker(evidence evidence) *checker {
	checker := &checker{
		evidence: evidence, tasks: map[encoder.WorkerTaskID][]workerEvent{},
		starts: map[string][]workerEvent{}, answers: map[string][]answer{},
	}
	checker.index()
	return checker
}

// check returns every violation of the promises that the evidence shows.
func check(evidence evidence) []violation {
	checker := newChecker(evidence)
	checker.checkComplete()
	checker.checkCapacity()
	checker.checkOverlaps()
	checker.checkAnswers()
	checker.checkKeys()
	checker.checkLeaving()
	checker.checkStops()
	checker.checkCatalogues()
	return checker.violations
}

func (checker *checker) index() {
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
			if event.Kind == encoder.WorkerStarted {
				checker.starts[id.Name] = append(checker.starts[id.Name], event)
			}
		}
	}
	for _, answer := range checker.evidence.answers {
		checker.answers[answer.Key] = append(checker.answers[answer.Key], answer)
	}
	for key := range checker.answers {
		slices.SortFunc(checker.answers[key], func(left, right answer) int { return left.Told.Compare(right.Told) })
	}
}

func (checker *checker) report(promise, key, format string, arguments ...any) {
	checker.violations = append(checker.violations, violation{
		promise: promise, text: fmt.Sprintf(format, arguments...), timeline: checker.timeline(key),
	})
}

// timeline lists all records of a key in order of time.
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
	for _, answer := range checker.answers[key] {
		lines = append(lines, line{answer.Sent, "caller sends " + key + " to " + answer.Host})
		lines = append(lines, line{answer.Told, fmt.Sprintf("%s tells %s code=%q target=%s answer=%q err=%q",
			answer.Host, answer.Status, answer.Code, answer.Target, answer.Answer, answer.Err)})
	}
	slices.SortStableFunc(lines, func(left, right line) int { return left.at.Compare(right.at) })
	texts := make([]string, len(lines))
	for index, line := range lines {
		texts[index] = line.at.Format("15:04:05.000") + " " + line.text
	}
	return texts
}

// checkComplete refuses records with missing entries, which could hide a violation.
func (checker *checker) checkComplete() {
	for _, history := range checker.evidence.workers {
		if history.Dropped > 0 {
			checker.report("records", "", "%s dropped %d entries", history.Worker, history.Dropped)
		}
	}
	if checker.evidence.appends.Dropped > 0 {
		checker.report("records", "", "the platform dropped %d appends", checker.evidence.appends.Dropped)
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
				checker.report("P1", key, "%s allocates %+v of %+v", history.Worker, entry.Allocated, history.Capacity)
			}
			if entry.Kind == encoder.WorkerOvercommitRefused {
				checker.report("P1", key, "%s was asked to start %+v beside %+v", history.Worker, entry.Needed, entry.Allocated)
			}
		}
	}
}

// checkOverlaps finds a task that starts while it runs elsewhere or already.
func (checker *checker) checkOverlaps() {
	for id, events := range checker.tasks {
		running := map[string]bool{}
		for _, event := range events {
			switch event.Kind {
			case encoder.WorkerStarted:
				if len(running) > 0 {
					checker.report("P2", id.Name, "task %s/%d starts on %s while it runs on %v", id.Name, id.Index, event.worker, running)
				}
				running[event.worker] = true
			case encoder.WorkerEnded, encoder.WorkerVanished:
				delete(running, event.worker)
			}
		}
	}
}

func (checker *checker) checkAnswers() {
	for _, answer := range checker.evidence.answers {
		if answer.ToldKey != "" && answer.ToldKey != answer.Key {
			checker.report("P3", answer.Key, "the caller of %s got the outcome of %s", answer.Key, answer.ToldKey)
		}
		if answer.Status == almondcross.StatusDone && answer.Answer != answer.Expected {
			checker.report("P3", answer.Key, "the caller of %s got %q, not %q", answer.Key, answer.Answer, answer.Expected)
		}
	}
}

func (checker *checker) checkKeys() {
	for key, answers := range checker.answers {
		starts := checker.starts[key]
		counts := map[int]int{}
		for _, start := range starts {
			counts[start.Task.Index]++
			if !answers[0].Repeatable && counts[start.Task.Index] == 2 {
				checker.report("P5", key, "non-repeatable %s/%d was started more than once", key, start.Task.Index)
			}
		}
		for _, told := range answers {
			if told.Status == almondcross.StatusNotRun {
				checker.checkNotRun(told, answers, starts)
			}
		}
	}
}

// checkNotRun finds starts of a key whose caller was told not_run. Only an attempt that was sent
// after that answer may lead to a start.
func (checker *checker) checkNotRun(told answer, answers []answer, starts []workerEvent) {
	for _, start := range starts {
		again := slices.ContainsFunc(answers, func(other answer) bool {
			return other.Sent.After(told.Told) && !start.at().Before(other.Sent)
		})
		if !again {
			checker.report("P4", told.Key, "%s was told not_run (%s) and was started on %s", told.Key, told.Code, start.worker)
			return
		}
	}
}

// checkLeaving finds work that was sent to a leaving worker. A worker that leaves by its own flag refuses
// it, so refused starts count as well.
func (checker *checker) checkLeaving() {
	for _, mark := range checker.evidence.leaving {
		bound := mark.From.Add(leavingBound)
		for _, worker := range checker.evidence.workers {
			if worker.Worker != mark.Worker {
				continue
			}
			for _, entry := range worker.Entries {
				sent := entry.Kind == encoder.WorkerStarted || entry.Kind == encoder.WorkerStartRefused
				at := time.UnixMicro(entry.AtUs)
				if sent && at.After(bound) && (mark.Until.IsZero() || at.Before(mark.Until)) {
					checker.report("P6", entry.Task.Name, "%s is leaving since %s and is sent work %s later",
						mark.Worker, mark.From.Format("15:04:05.000"), at.Sub(mark.From))
				}
			}
		}
	}
}

// checkStops finds requests that a host had taken and did not answer because of its planned stop.
func (checker *checker) checkStops() {
	for _, stop := range checker.evidence.stops {
		for _, answer := range checker.evidence.answers {
			overlaps := answer.Sent.Before(stop.Done) && answer.Told.After(stop.Begun)
			if answer.Host == stop.Host && answer.Err != "" && !answer.Refused && !answer.Abandoned && overlaps {
				checker.report("P7", answer.Key, "%s stops from %s to %s and cuts %s: %s", stop.Host,
					stop.Begun.Format("15:04:05.000"), stop.Done.Format("15:04:05.000"), answer.Key, answer.Err)
			}
		}
	}
}

func (checker *checker) checkCatalogues() {
	type process struct {
		host string
		run  int
	}
	last := map[process]catalogueReading{}
	for _, reading := range checker.evidence.catalogues {
		one := process{reading.Host, reading.Run}
		if before, ok := last[one]; ok && reading.Offset < before.Offset {
			checker.report("P8", "", "the catalogue of %s (run %d) went from offset %d at %s back to %d at %s", reading.Host, reading.Run,
				before.Offset, before.At.Format("15:04:05.000"), reading.Offset, reading.At.Format("15:04:05.000"))
		}
		last[one] = reading
		for _, change := range checker.evidence.changes {
			if reading.At.After(change.At.Add(inForceBound)) && reading.Offset < change.Version {
				checker.report("P8", "", "%s has offset %d at %s; version %d was accepted at %s", reading.Host, reading.Offset,
					reading.At.Format("15:04:05.000"), change.Version, change.At.Format("15:04:05.000"))
			}
		}
	}
}
