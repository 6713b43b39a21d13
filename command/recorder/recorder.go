package recorder

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// bufferSize gathers lines for one write, in bytes.
	bufferSize = 32 << 10
	// drainLimit bounds the lines that are written after the context has ended.
	drainLimit = 4096
)

// Config holds what a recorder needs.
type Config struct {
	Output io.Writer
	Host   string // Host is the name of this host, part of every line.
	Lines  int    // Lines is the most lines that wait.
	Clock  almondcross.Clock
}

// line is a line before it is formatted.
type line struct {
	at     time.Time
	event  string
	fields []almondcross.LogField
}

// Recorder writes the log.
type Recorder struct {
	config  Config
	lines   *ring.Ring[line]
	leftOut atomic.Int64
	told    int64 // told is the part of leftOut that a line has told; only Run uses it.
	written atomic.Int64
}

// New returns a recorder; Run writes its lines.
func New(config Config) *Recorder {
	return &Recorder{config: config, lines: ring.New[line](ring.Config{Name: "log", Capacity: config.Lines})}
}

// Record writes one line, or counts it as left out when too many lines wait.
func (recorder *Recorder) Record(event string, fields ...almondcross.LogField) {
	if !recorder.lines.Offer(line{at: recorder.config.Clock.Now(), event: event, fields: fields}) {
		recorder.leftOut.Add(1)
	}
}

// LeftOut returns how many lines were left out.
func (recorder *Recorder) LeftOut() int64 { return recorder.leftOut.Load() }

// Written returns how many lines were written.
func (recorder *Recorder) Written() int64 { return recorder.written.Load() }

// Run writes lines until the context ends, and then those that wait.
func (recorder *Recorder) Run(ctx context.Context) error {
	output := bufio.NewWriterSize(recorder.config.Output, bufferSize)
	formatter := &logrus.JSONFormatter{DisableHTMLEscape: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
	logger := logrus.New()
	for {
		select {
		case <-ctx.Done():
			for range min(recorder.lines.Depth(), drainLimit) {
				recorder.write(output, formatter, logger, <-recorder.lines.Messages())
			}
			recorder.tellLeftOut(output, formatter, logger)
			return errors.Trace(output.Flush())
		case next := <-recorder.lines.Messages():
			recorder.write(output, formatter, logger, next)
			recorder.tellLeftOut(output, formatter, logger)
			if recorder.lines.Depth() == 0 {
				if err := output.Flush(); err != nil {
					return errors.Annotate(err, "writing the log")
				}
			}
		}
	}
}

// tellLeftOut writes how many lines were left out since it was last told.
func (recorder *Recorder) tellLeftOut(output io.Writer, formatter logrus.Formatter, logger *logrus.Logger) {
	left := recorder.leftOut.Load()
	if left == recorder.told {
		return
	}
	recorder.write(output, formatter, logger, line{
		at: recorder.config.Clock.Now(), event: "lines_left_out", fields: []almondcross.LogField{almondcross.Number("lines", left-recorder.told)},
	})
	recorder.told = left
}

func (recorder *Recorder) write(output io.Writer, formatter logrus.Formatter, logger *logrus.Logger, next line) {
	fields := make(logrus.Fields, len(next.fields)+1)
	fields["host"] = recorder.config.Host
	for _, field := range next.fields {
		switch {
		case !field.Numeric:
			fields[field.Name] = field.Text
		case field.Number == float64(int64(field.Number)):
			fields[field.Name] = int64(field.Number)
		default:
			fields[field.Name] = field.Number
		}
	}
	source, err := formatter.Format(&logrus.Entry{Logger: logger, Data: fields, Time: next.at, Level: logrus.InfoLevel, Message: next.event})
	if err != nil {
		recorder.leftOut.Add(1)
		return
	}
	if _, err := output.Write(source); err != nil {
		recorder.leftOut.Add(1)
		return
	}
	recorder.written.Add(1)
}
