// Package recorder writes the log of scheduling decisions to standard output, as one JSON object per line.
//
// Record puts a line on a bounded ring and never blocks. When the ring is full, the line is dropped and counted;
// the count is logged after the next line that is written. One duty formats and writes the lines.
package recorder
