package recorder

import (
	"bufio"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

const (
	// bufferSize is the size in bytes of the output buffer, which combines several lines into one write.
	bufferSize = 32 << 10
	// maxDrainedLines is the maximum number of queued lines that are written after the context has ended.
	maxDrainedLines = 4096
)

// Config holds the dependencies and settings of a recorder.
type Config struct {
	Output io.Writer
	Host   string // Host is the name of this host, a field of every line.
	Lines  int    // Lines is the maximum number of queued lines.
	Clock  almondcross.Clock
}

// line is a log line before formatting.
type line struct {
	at     time.Time
	event  string
	fields []almondcross.LogField
}

// Recorder is the duty that writes the log. Any goroutine may call its methods except Run.
type Recorder struct {
	config        Config
	lines         *ring.Ring[line]
	dropped       atomic.Int64
	reportedDrops int64 // reportedDrops is the value of dropped at the last report in the log; only Run uses it.
	written       atomic.Int64
	buffered      int64 // buffered counts the lines since the last flush; only Run uses it.
}

// New returns a recorder whose lines are written by Run.
func New(config Config) *Recorder {
	return &Recorder{config: config, lines: ring.New[line](ring.Config{Name: "log", Capacity: config.Lines})}
}

// Record queues one line, or drops and counts it when the queue is full.
func (recorder *Recorder) Record(event string, fields ...almondcross.LogField) {
	if !recorder.lines.Offer(line{at: recorder.config.Clock.Now(), event: event, fields: fields}) {
		recorder.dropped.Add(1)
	}
}

// Dropped returns the number of dropped lines.
func (recorder *Recorder) Dropped() int64 { return recorder.dropped.Load() }

// Written returns the number of written lines.
func (recorder *Recorder) Written() int64 { return recorder.written.Load() }

// Run writes lines until the context ends, and then the queued lines. Lines that cannot be written, as on a full disk, are
// counted as dropped; the host goes on without them.
func (recorder *Recorder) Run(ctx context.Context) error {
	output := bufio.NewWriterSize(recorder.config.Output, bufferSize)
	formatter := &logrus.JSONFormatter{DisableHTMLEscape: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"}
	logger := logrus.New()
	for {
		select {
		case <-ctx.Done():
			for range min(recorder.lines.Depth(), maxDrainedLines) {
				recorder.write(output, formatter, logger, <-recorder.lines.Messages())
			}
			recorder.reportDropped(output, formatter, logger)
			recorder.flush(output)
			return nil
		case next := <-recorder.lines.Messages():
			recorder.write(output, formatter, logger, next)
			recorder.reportDropped(output, formatter, logger)
			if recorder.lines.Depth() == 0 {
				recorder.flush(output)
			}
		}
	}
}

// flush writes the buffered lines. After an error the buffer would refuse all further lines, so it is emptied.
func (recorder *Recorder) flush(output *bufio.Writer) {
	if output.Flush() != nil {
		output.Reset(recorder.config.Output)
		recorder.written.Add(-recorder.buffered)
		recorder.dropped.Add(recorder.buffered)
	}
	recorder.buffered = 0
}

// reportDropped writes a line with the number of lines that were dropped since the last report.
func (recorder *Recorder) reportDropped(output io.Writer, formatter logrus.Formatter, logger *logrus.Logger) {
	dropped := recorder.dropped.Load()
	if dropped == recorder.reportedDrops {
		return
	}
	recorder.write(output, formatter, logger, line{
		at: recorder.config.Clock.Now(), event: "lines_left_out", fields: []almondcross.LogField{almondcross.Number("lines", dropped-recorder.reportedDrops)},
	})
	recorder.reportedDrops = dropped
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
	encoded, err := formatter.Format(&logrus.Entry{Logger: logger, Data: fields, Time: next.at, Level: logrus.InfoLevel, Message: next.event})
	if err != nil {
		recorder.dropped.Add(1)
		return
	}
	if _, err := output.Write(encoded); err != nil {
		recorder.dropped.Add(1)
		return
	}
	recorder.written.Add(1)
	recorder.buffered++
}
