// Package writer appends records to the platform's log over HTTP.
//
// Without a connection, and with a refusal of the log, nothing was added. In
// every other failure the answer was lost and the records may be in the log.
package writer
