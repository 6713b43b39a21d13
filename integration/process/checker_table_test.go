package process_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

var baseTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func timeAt(seconds float64) time.Time {
	return baseTime.Add(time.Duration(seconds * float64(time.Second)))
}

func historyEntry(seconds float64, kind encoder.WorkerHistoryKind, key string, slots int64) encoder.WorkerHistoryEntry {
	return encoder.WorkerHistoryEntry{
		AtUs: timeAt(seconds).UnixMicro(), Kind: kind, Task: &encoder.WorkerTaskID{Name: key},
		Allocated: encoder.WorkerResources{Slots: slots}, Needed: encoder.WorkerResources{Slots: 1},
	}
}

func workerHistory(worker string, entries ...encoder.WorkerHistoryEntry) encoder.WorkerHistory {
	return encoder.WorkerHistory{Worker: worker, Capacity: encoder.WorkerResources{Slots: 2}, Entries: entries}
}

func attemptWithStatus(sent, received float64, status almondcross.Status) attempt {
	result := attempt{Key: "k", ReceivedKey: "k", Host: "entry-1", Expected: "right", Sent: timeAt(sent), Received: timeAt(received), Status: status}
	if status == almondcross.StatusDone {
		result.Answer = "right"
	}
	return result
}

func changedAttempt(change func(*attempt)) []attempt {
	result := attemptWithStatus(1, 3, almondcross.StatusDone)
	change(&result)
	return []attempt{result}
}

// TestCheckerReportsViolations guards against a check that cannot fail: it must report each violation in
// hand-written evidence.
func TestCheckerReportsViolations(t *testing.T) {
	started, ended := encoder.WorkerTaskStarted, encoder.WorkerTaskEnded
	twoStarts := []encoder.WorkerHistory{
		workerHistory("a", historyEntry(1, started, "k", 1), historyEntry(2, ended, "k", 0)), workerHistory("b", historyEntry(3, started, "k", 1)),
	}
	oneStart := []encoder.WorkerHistory{workerHistory("a", historyEntry(2, started, "k", 1), historyEntry(2.5, ended, "k", 0))}
	stops := []plannedStop{{Host: "entry-1", Started: timeAt(2), Ended: timeAt(4)}}
	cases := []struct {
		name     string
		evidence evidence
		want     []string
	}{
		{"clean run", evidence{workers: oneStart, attempts: changedAttempt(func(*attempt) {}), stops: stops}, nil},
		{"dropped entries", evidence{workers: []encoder.WorkerHistory{{Worker: "a", Dropped: 1}}}, []string{"records"}},
		{"dropped appends", evidence{appends: encoder.PlatformAppends{Dropped: 1}}, []string{"records"}},
		{"beyond capacity", evidence{workers: []encoder.WorkerHistory{workerHistory("a", historyEntry(1, started, "k", 3))}}, []string{"P1"}},
		{"overcommit tried", evidence{workers: []encoder.WorkerHistory{
			workerHistory("a", historyEntry(1, encoder.WorkerOvercommitRefused, "k", 2)),
		}}, []string{"P1"}},
		{"two workers at once", evidence{workers: []encoder.WorkerHistory{
			workerHistory("a", historyEntry(1, started, "k", 1), historyEntry(3, ended, "k", 0)),
			workerHistory("b", historyEntry(2, started, "k", 1), historyEntry(4, ended, "k", 0)),
		}}, []string{"P2"}},
		{"twice on one worker", evidence{workers: []encoder.WorkerHistory{
			workerHistory("a", historyEntry(1, started, "k", 1), historyEntry(2, started, "k", 2)),
		}}, []string{"P2"}},
		{"end lost with a restart", evidence{workers: []encoder.WorkerHistory{
			workerHistory("a", historyEntry(1, started, "k", 1), historyEntry(2, encoder.WorkerTaskDropped, "k", 0)),
			workerHistory("b", historyEntry(3, started, "k", 1)),
		}}, nil},
		{"wrong key", evidence{attempts: changedAttempt(func(attempt *attempt) { attempt.ReceivedKey = "other" })}, []string{"P3"}},
		{"wrong answer", evidence{attempts: changedAttempt(func(attempt *attempt) { attempt.Answer = "wrong" })}, []string{"P3"}},
		{"cut answer", evidence{attempts: changedAttempt(func(attempt *attempt) { attempt.Answer = "rig" })}, []string{"P3"}},
		{"start before not_run", evidence{workers: oneStart, attempts: []attempt{attemptWithStatus(1, 3, almondcross.StatusNotRun)}}, []string{"P4"}},
		{"start after not_run", evidence{workers: oneStart, attempts: []attempt{attemptWithStatus(1, 1.5, almondcross.StatusNotRun)}}, []string{"P4"}},
		{"start by an attempt before not_run", evidence{workers: oneStart, attempts: []attempt{
			attemptWithStatus(1, 1.5, almondcross.StatusNotRun), attemptWithStatus(1.2, 3, almondcross.StatusDone),
		}}, []string{"P4"}},
		{"start by an attempt after not_run", evidence{workers: oneStart, attempts: []attempt{
			attemptWithStatus(1, 1.5, almondcross.StatusNotRun), attemptWithStatus(1.8, 3, almondcross.StatusDone),
		}}, nil},
		{"non-repeatable twice", evidence{workers: twoStarts, attempts: changedAttempt(func(*attempt) {})}, []string{"P5"}},
		{"repeatable twice", evidence{workers: twoStarts, attempts: changedAttempt(func(attempt *attempt) { attempt.Repeatable = true })}, nil},
		{"start on a leaving worker", evidence{
			workers: []encoder.WorkerHistory{workerHistory("a", historyEntry(6, started, "k", 1))}, leavingPeriods: []leavingPeriod{{Worker: "a", From: timeAt(1)}},
		}, []string{"P6"}},
		{"refused start on a leaving worker", evidence{
			workers: []encoder.WorkerHistory{workerHistory("a", historyEntry(6, encoder.WorkerStartRefused, "k", 1))}, leavingPeriods: []leavingPeriod{{Worker: "a", From: timeAt(1)}},
		}, []string{"P6"}},
		{"start within the bound", evidence{
			workers: []encoder.WorkerHistory{workerHistory("a", historyEntry(4, started, "k", 1))}, leavingPeriods: []leavingPeriod{{Worker: "a", From: timeAt(1)}},
		}, nil},
		{"cut by a stop", evidence{stops: stops, attempts: changedAttempt(func(attempt *attempt) { attempt.Status, attempt.Err = "", "EOF" })}, []string{"P7"}},
		{"refused by a stop", evidence{stops: stops, attempts: changedAttempt(func(attempt *attempt) {
			attempt.Status, attempt.Err, attempt.Refused = "", "refused", true
		})}, nil},
		{"catalogue goes back", evidence{catalogues: []catalogueReading{
			{Host: "entry-1", At: timeAt(1), Offset: 5}, {Host: "entry-1", At: timeAt(2), Offset: 4},
		}}, []string{"P8"}},
		{"catalogue late", evidence{
			changes: []acceptedChange{{Version: 5, At: timeAt(1)}}, catalogues: []catalogueReading{{Host: "entry-1", At: timeAt(6), Offset: 4}},
		}, []string{"P8"}},
		{"catalogue in time", evidence{
			changes:    []acceptedChange{{Version: 5, At: timeAt(1)}},
			catalogues: []catalogueReading{{Host: "entry-1", At: timeAt(4), Offset: 4}, {Host: "entry-1", At: timeAt(6), Offset: 5}},
		}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, violation := range checkEvidence(test.evidence) {
				got = append(got, violation.guarantee)
			}
			require.Equal(t, test.want, got)
		})
	}
}
