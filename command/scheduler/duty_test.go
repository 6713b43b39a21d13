package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Guards against decisions without the messages that already wait. If the timer and a message were both ready, as after a pause
// of the process, chance decided which came first.
func TestWaitingMessagesComeBeforeTheWorkOfTheTimer(t *testing.T) {
	for range 50 {
		machine := newHarness(t).machine
		messages := ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: 4})
		require.True(t, messages.Offer(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{
			Table: almondcross.NewRouteTable(almondcross.RouteTableConfig{Version: 1}),
		})))
		ctx, cancel := context.WithCancel(t.Context())
		version := int64(0)
		duty := NewDuty(DutyConfig{
			Machine: machine, Ring: messages, Clock: systemClock{},
			Rings: Rings{ReadPointer: ring.New[almondcross.PointerQuery](ring.Config{Name: "pointer", Capacity: 4})},
			OnSchedulerChange: func(AnnounceScheduler) {
				version = machine.routes.Version()
				cancel()
			},
		})
		require.NoError(t, duty.Run(ctx))
		require.Equal(t, int64(1), version)
	}
}

// Guards against a status that hides the format of a later version, which this host has met in the journal and cannot read.
func TestDutyTellsTheFormatOfTheJournal(t *testing.T) {
	harness, _ := newFormatHarness(t)
	harness.follow(harness.elected(1, "h-2", journalFormat+1))
	var told []int
	duty := NewDuty(DutyConfig{Machine: harness.machine, OnJournalFormat: func(format int) { told = append(told, format) }})
	duty.updateStatus()
	duty.updateStatus()
	require.Equal(t, []int{journalFormat + 1}, told, "one call for a change")
}

type systemClock struct{}

// Now returns the current time.
func (systemClock) Now() time.Time { return time.Now() }
