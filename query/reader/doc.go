// Package reader reads streams of the platform's log over HTTP.
package reader
