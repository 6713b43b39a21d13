// Package tailer follows one stream of the platform's log.
//
// The duty reads batches with a long poll, decodes them and puts the messages
// to a sink in log order, waiting while the sink is full. It survives every
// failure of the log: it reads again after an exponentially growing time with
// jitter. When the log no longer keeps the next offset, the duty asks its
// configuration for the offset at which to go on, so that its owner can load a
// checkpoint first.
package tailer
