package counter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
)

// linkCounters are the counters of the messages of one kind.
type linkCounters struct{ sentBytes, sentMessages, receivedBytes, receivedMessages *metrics.Counter }

// Links counts the messages on the links of a host. It implements almondcross.LinkMeter.
type Links struct {
	kinds map[almondcross.LinkKind]linkCounters // kinds does not change after New.
}

// NewLinks returns a meter that registers its metrics in a set.
func NewLinks(set *metrics.Set) *Links {
	links := &Links{kinds: map[almondcross.LinkKind]linkCounters{}}
	for _, kind := range almondcross.LinkKinds() {
		counter := func(unit, direction string) *metrics.Counter {
			return set.GetOrCreateCounter(fmt.Sprintf("almondcross_link_%s_total{kind=%q,direction=%q}", unit, kind, direction))
		}
		links.kinds[kind] = linkCounters{
			sentBytes: counter("bytes", "sent"), sentMessages: counter("messages", "sent"),
			receivedBytes: counter("bytes", "received"), receivedMessages: counter("messages", "received"),
		}
	}
	return links
}

// Sent counts a message that was written to a connection.
func (links *Links) Sent(kind almondcross.LinkKind, bytes int) {
	if counters, known := links.kinds[kind]; known {
		counters.sentBytes.Add(bytes)
		counters.sentMessages.Inc()
	}
}

// Received counts a message that was read from a connection.
func (links *Links) Received(kind almondcross.LinkKind, bytes int) {
	if counters, known := links.kinds[kind]; known {
		counters.receivedBytes.Add(bytes)
		counters.receivedMessages.Inc()
	}
}

// Traffic returns the counts of all kinds since the start of the process, in the order of almondcross.LinkKinds.
func (links *Links) Traffic() []almondcross.LinkTraffic {
	var traffic []almondcross.LinkTraffic
	for _, kind := range almondcross.LinkKinds() {
		counters := links.kinds[kind]
		traffic = append(traffic, almondcross.NewLinkTraffic(almondcross.LinkTrafficConfig{
			Kind: kind, SentBytes: count(counters.sentBytes), SentMessages: count(counters.sentMessages),
			ReceivedBytes: count(counters.receivedBytes), ReceivedMessages: count(counters.receivedMessages),
		}))
	}
	return traffic
}

func count(counter *metrics.Counter) int64 {
	return int64(counter.Get()) //nolint:gosec // No process transfers 2^63 bytes.
}
