package main

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
)

// record writes what was sent, answered and run to a file, one line each. Any goroutine may add lines.
type record struct {
	file  *os.File
	begun time.Time
	lines chan string
	done  chan struct{}
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	record := &record{file: file, begun: time.Now(), lines: make(chan string, 1024), done: make(chan struct{})}
	go func() {
		defer close(record.done)
		for line := range record.lines {
			_, _ = fmt.Fprintln(record.file, line)
		}
	}()
	return record, nil
}

func (record *record) line(format string, values ...any) {
	record.lines <- fmt.Sprintf("%8.3f ", time.Since(record.begun).Seconds()) + fmt.Sprintf(format, values...)
}

func (record *record) close() {
	record.lines <- ""
	for len(record.lines) > 0 {
		<-time.After(time.Millisecond)
	}
	_ = record.file.Sync()
}
