// Package explainer merges the log lines of several hosts about one job and sorts them by time.
//
// It reads the lines that scheduling hosts write to the standard output, one JSON object per line, and skips other
// lines. A line belongs to a job if one of its fields is the ID of the job or of a part of it, such as a task.
package explainer
