// Package counter keeps the counters and latency histograms of a scheduling host.
//
// Labels are bounded: queues come from the configuration, the others from fixed lists. Any goroutine may
// use a Counter.
package counter
