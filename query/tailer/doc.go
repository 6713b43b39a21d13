// Package tailer follows one stream of the platform's log.
//
// The duty reads batches with long polls, decodes them and puts the messages
// to a sink in log order; it blocks while the sink is full. After any failure of
// the log it retries with exponential backoff and jitter. When the log no longer
// keeps the next offset, the duty calls OnTrimmed of its configuration for the
// offset at which to continue, so that its owner can load a checkpoint first.
package tailer
