// Package recorder writes the log of decisions: one JSON object a line on standard output.
//
// Record puts a line on a bounded ring and never waits; a line that finds the ring full is counted and
// left out, and the count is written with the next line that fits. One duty formats and writes.
package recorder
