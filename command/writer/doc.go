// Package writer appends records to the platform's log over HTTP.
//
// When no connection was made, or when the log refused the append, nothing was
// stored. After every other failure the records may have been stored.
package writer
