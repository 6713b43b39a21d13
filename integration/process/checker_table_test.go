package process_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

var origin = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func after(seconds float64) time.Time {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

func fabricated(seconds float64, kind encoder.WorkerHistoryKind, key string, slots int64) encoder.WorkerHistoryEntry {
	return encoder.WorkerHistoryEntry{
		AtUs: after(seconds).UnixMicro(), Kind: kind, Task: &encoder.WorkerTaskID{Name: key},
		Allocated: encoder.WorkerResources{Slots: slots}, Needed: encoder.WorkerResources{Slots: 1},
	}
}

func history(worker string, entries ...encoder.WorkerHistoryEntry) encoder.WorkerHistory {
	return encoder.WorkerHistory{Worker: worker, Capacity: encoder.WorkerResources{Slots: 2}, Entries: entries}
}

func told(sent, at float64, status almondcross.Status) answer {
	result := answer{Key: "k", ToldKey: "k", Host: "entry-1", Expected: "right", Sent: after(sent), Told: after(at), Status: status}
	if status == almondcross.StatusDone {
		result.Answer = "right"
	}
	return result
}

func changed(change func(*answer)) []answer {
	result := told(1, 3, almondcross.StatusDone)
	change(&result)
	return []answer{result}
}

// TestCheckerReports guards against a check that cannot fail: each fabricated violation must be reported.
func TestCheckerReports(t *testing.T) {
	started, ended := encoder.WorkerStarted, encoder.WorkerEnded
	twice := []encoder.WorkerHistory{
		history("a", fabricated(1, started, "k", 1), fabricated(2, ended, "k", 0)), history("b", fabricated(3, started, "k", 1)),
	}
	once := []encoder.WorkerHistory{history("a", fabricated(2, started, "k", 1), fabricated(2.5, ended, "k", 0))}
	stops := []plannedStop{{Host: "entry-1", Begun: after(2), Done: after(4)}}
	cases := []struct {
		name     string
		evidence evidence
		want     []string
	}{
		{"clean run", evidence{workers: once, answers: changed(func(*answer) {}), stops: stops}, nil},
		{"dropped entries", evidence{workers: []encoder.WorkerHistory{{Worker: "a", Dropped: 1}}}, []string{"records"}},
		{"dropped appends", evidence{appends: encoder.PlatformAppends{Dropped: 1}}, []string{"records"}},
		{"beyond capacity", evidence{workers: []encoder.WorkerHistory{history("a", fabricated(1, started, "k", 3))}}, []string{"P1"}},
		{"overcommit tried", evidence{workers: []encoder.WorkerHistory{
			history("a", fabricated(1, encoder.WorkerOvercommitRefused, "k", 2)),
		}}, []string{"P1"}},
		{"two workers at once", evidence{workers: []encoder.WorkerHistory{
			history("a", fabricated(1, started, "k", 1), fabricated(3, ended, "k", 0)),
			history("b", fabricated(2, started, "k", 1), fabricated(4, ended, "k", 0)),
		}}, []string{"P2"}},
		{"twice on one worker", evidence{workers: []encoder.WorkerHistory{
			history("a", fabricated(1, started, "k", 1), fabricated(2, started, "k", 2)),
		}}, []string{"P2"}},
		{"end lost with a restart", evidence{workers: []encoder.WorkerHistory{
			history("a", fabricated(1, started, "k", 1), fabricated(2, encoder.WorkerVanished, "k", 0)),
			history("b", fabricated(3, started, "k", 1)),
		}}, nil},
		{"wrong key", evidence{answers: changed(func(answer *answer) { answer.ToldKey = "other" })}, []string{"P3"}},
		{"wrong answer", evidence{answers: changed(func(answer *answer) { answer.Answer = "wrong" })}, []string{"P3"}},
		{"cut answer", evidence{answers: changed(func(answer *answer) { answer.Answer = "rig" })}, []string{"P3"}},
		{"start before not_run", evidence{workers: once, answers: []answer{told(1, 3, almondcross.StatusNotRun)}}, []string{"P4"}},
		{"start after not_run", evidence{workers: once, answers: []answer{told(1, 1.5, almondcross.StatusNotRun)}}, []string{"P4"}},
		{"start by an attempt before not_run", evidence{workers: once, answers: []answer{
			told(1, 1.5, almondcross.StatusNotRun), told(1.2, 3, almondcross.StatusDone),
		}}, []string{"P4"}},
		{"start by an attempt after not_run", evidence{workers: once, answers: []answer{
			told(1, 1.5, almondcross.StatusNotRun), told(1.8, 3, almondcross.StatusDone),
		}}, nil},
		{"non-repeatable twice", evidence{workers: twice, answers: changed(func(*answer) {})}, []string{"P5"}},
		{"repeatable twice", evidence{workers: twice, answers: changed(func(answer *answer) { answer.Repeatable = true })}, nil},
		{"start on a leaving worker", evidence{
			workers: []encoder.WorkerHistory{history("a", fabricated(6, started, "k", 1))}, leaving: []leavingMark{{Worker: "a", From: after(1)}},
		}, []string{"P6"}},
		{"refused start on a leaving worker", evidence{
			workers: []encoder.WorkerHistory{history("a", fabricated(6, encoder.WorkerStartRefused, "k", 1))}, leaving: []leavingMark{{Worker: "a", From: after(1)}},
		}, []string{"P6"}},
		{"start within the bound", evidence{
			workers: []encoder.WorkerHistory{history("a", fabricated(4, started, "k", 1))}, leaving: []leavingMark{{Worker: "a", From: after(1)}},
		}, nil},
		{"cut by a stop", evidence{stops: stops, answers: changed(func(answer *answer) { answer.Status, answer.Err = "", "EOF" })}, []string{"P7"}},
		{"refused by a stop", evidence{stops: stops, answers: changed(func(answer *answer) {
			answer.Status, answer.Err, answer.Refused = "", "refused", true
		})}, nil},
		{"catalogue goes back", evidence{catalogues: []catalogueReading{
			{Host: "entry-1", At: after(1), Offset: 5}, {Host: "entry-1", At: after(2), Offset: 4},
		}}, []string{"P8"}},
		{"catalogue late", evidence{
			changes: []acceptedChange{{Version: 5, At: after(1)}}, catalogues: []catalogueReading{{Host: "entry-1", At: after(6), Offset: 4}},
		}, []string{"P8"}},
		{"catalogue in time", evidence{
			changes:    []acceptedChange{{Version: 5, At: after(1)}},
			catalogues: []catalogueReading{{Host: "entry-1", At: after(4), Offset: 4}, {Host: "entry-1", At: after(6), Offset: 5}},
		}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			for _, violation := range check(test.evidence) {
				got = append(got, violation.promise)
			}
			require.Equal(t, test.want, got)
		})
	}
}
