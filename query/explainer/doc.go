// Package explainer puts the log lines of several hosts that concern one job into the order of their times.
//
// It reads the lines that scheduling hosts write on standard output, one JSON object a line, and skips what is
// none. A line concerns a job when one of its fields is the job's identity or begins with it.
package explainer
