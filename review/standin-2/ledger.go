package main

import (
	"context"
	"maps"
	"strings"
	"time"

	"github.com/almondcross/almondcross/platform/standin"
)

// kindStart is the kind of the event of a start.
const kindStart = "start"

// ledger follows the runs on all workers. Its tables belong to the goroutine of run.
type ledger struct {
	record     *record
	events     chan standin.Event
	operations chan func(tables *tables)
}

// tables holds the runs that go on, by task, and the number of ends by task and kind.
type tables struct {
	running map[string]standin.Event
	ends    map[string]map[string]int
	lastEnd map[string]time.Time
}

func newLedger(record *record) *ledger {
	return &ledger{record: record, events: make(chan standin.Event, 1024), operations: make(chan func(*tables))}
}

func (ledger *ledger) run(ctx context.Context) {
	tables := &tables{running: map[string]standin.Event{}, ends: map[string]map[string]int{}, lastEnd: map[string]time.Time{}}
	for {
		select {
		case <-ctx.Done():
			return
		case operation := <-ledger.operations:
			operation(tables)
		case event := <-ledger.events:
			ledger.record.line("worker %s: %s run %d: %s", event.Worker, event.Task, event.Run, event.Kind)
			tables.add(event)
		}
	}
}

func (tables *tables) add(event standin.Event) {
	switch event.Kind {
	case kindStart, "over capacity", "unasked":
		tables.running[event.Task] = event
	case standin.KindAcknowledged, standin.KindAcknowledgedUnlisted:
	default:
		if current, found := tables.running[event.Task]; found && current.Run == event.Run {
			delete(tables.running, event.Task)
			tables.lastEnd[event.Task] = event.At
		}
		if tables.ends[event.Task] == nil {
			tables.ends[event.Task] = map[string]int{}
		}
		tables.ends[event.Task][event.Kind]++
	}
}

// view calls a function with the tables and waits for it.
func (ledger *ledger) view(ctx context.Context, operation func(tables *tables)) {
	done := make(chan struct{})
	select {
	case ledger.operations <- func(tables *tables) {
		defer close(done)
		operation(tables)
	}:
		<-done
	case <-ctx.Done():
	}
}

// running returns the runs that go on, by task.
func (ledger *ledger) running(ctx context.Context) map[string]standin.Event {
	var running map[string]standin.Event
	ledger.view(ctx, func(tables *tables) { running = maps.Clone(tables.running) })
	return running
}

// ended returns how often runs of a job's tasks have ended in a way.
func (ledger *ledger) ended(ctx context.Context, job, kind string) int {
	count := 0
	ledger.view(ctx, func(tables *tables) {
		for task, kinds := range tables.ends {
			if strings.HasPrefix(task, job+".") {
				count += kinds[kind]
			}
		}
	})
	return count
}
