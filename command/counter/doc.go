// Package counter implements the counters and latency histograms of a scheduling host.
//
// The number of label values is bounded: queues come from the configuration, the other labels from fixed lists. Any
// goroutine may use a Counter.
package counter
