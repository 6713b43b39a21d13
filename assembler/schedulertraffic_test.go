package assembler

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/command/scheduler"
)

// fieldLog keeps the numbers of the lines of each event.
type fieldLog map[string][]map[string]float64

// Record keeps a line.
func (fieldlog fieldLog) Record(event string, fields ...almondcross.LogField) {
	numbers := map[string]float64{}
	for _, field := range fields {
		numbers[field.Name] = field.Number
	}
	fieldlog[event] = append(fieldlog[event], numbers)
}

// Guards against a line of an epoch that includes what passed before it, or that is missing or repeated.
func TestTrafficOfAnEpochIsLoggedAtItsEnd(t *testing.T) {
	links, log := counter.NewLinks(metrics.NewSet()), fieldLog{}
	traffic := &epochTraffic{links: links, log: log, clock: Clock{}}
	links.Sent(almondcross.LinkViews, 500)
	traffic.schedulerChanged(scheduler.AnnounceScheduler{})
	own := almondcross.NewSchedulerPointer(almondcross.SchedulerPointerConfig{Epoch: 7, Host: "h-1"})
	traffic.schedulerChanged(scheduler.AnnounceScheduler{Pointer: own, Own: true})
	links.Sent(almondcross.LinkViews, 30)
	links.Sent(almondcross.LinkViews, 12)
	links.Received(almondcross.LinkOrderAnswers, 9)
	traffic.schedulerChanged(scheduler.AnnounceScheduler{})
	traffic.schedulerChanged(scheduler.AnnounceScheduler{})
	require.Len(t, log["link_traffic"], 1)
	line := log["link_traffic"][0]
	require.Less(t, line["lasted_ms"], float64(time.Minute.Milliseconds()))
	delete(line, "lasted_ms")
	require.Equal(t, map[string]float64{
		"epoch": 7, "views_sent_bytes": 42, "views_sent_messages": 2, "order_answers_received_bytes": 9, "order_answers_received_messages": 1,
	}, line)
}
