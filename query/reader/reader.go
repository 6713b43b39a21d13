package reader

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
)

const (
	// connections allows a long poll for each stream that a host follows, and single reads beside them.
	connections    = 32
	defaultTimeout = 2 * time.Second
)

// Config holds the settings of a reader.
type Config struct {
	Address string        // Address is the IP address and port of the log.
	Timeout time.Duration // Timeout is the time for one read beyond its wait, 0 for 2 s.
	Metrics *metrics.Set  // Metrics receives the counters; nil for none.
}

// Reader implements almondcross.LogReader.
type Reader struct {
	address   string
	exchanger *exchanger.Exchanger

	records, failures *metrics.Counter
}

var _ almondcross.LogReader = (*Reader)(nil)

// New returns a reader; it connects with the first read.
func New(config Config) *Reader {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	return &Reader{
		address:   config.Address,
		exchanger: exchanger.New(exchanger.Config{Connections: connections, Timeout: config.Timeout}),
		records:   config.Metrics.GetOrCreateCounter("almondcross_log_records_read_total"),
		failures:  config.Metrics.GetOrCreateCounter("almondcross_log_read_failures_total"),
	}
}

// Run closes the idle connections when the context ends.
func (reader *Reader) Run(ctx context.Context) error {
	<-ctx.Done()
	reader.exchanger.Close()
	return nil
}

// Read returns records from an offset on and waits up to a time for the first one.
func (reader *Reader) Read(
	ctx context.Context, stream almondcross.Stream, from almondcross.Offset, limit int, wait time.Duration,
) (almondcross.Batch, error) {
	query := fmt.Sprintf("/records?from=%d&limit=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	var shape encoder.PlatformBatch
	if err := reader.get(ctx, wait, stream, query, &shape); err != nil {
		return almondcross.Batch{}, err
	}
	if err := check(shape, from); err != nil {
		reader.failures.Inc()
		return almondcross.Batch{}, errors.WithType(err, almondcross.ErrLogUnreachable)
	}
	reader.records.Add(len(shape.Records))
	return shape.Batch(), nil
}

// check refuses an answer with a hole, which would make the reader miss records.
func check(shape encoder.PlatformBatch, from almondcross.Offset) error {
	if len(shape.Records) == 0 && shape.Next <= 0 {
		return errors.New("the answer to a read has no offset")
	}
	// A read from before the first record of a stream begins at the first record.
	expected := max(int64(from), encoder.FirstPlatformOffset)
	for _, record := range shape.Records {
		if record.Offset != expected {
			return errors.Errorf("the answer to a read has record %d in place of %d", record.Offset, expected)
		}
		expected++
	}
	if len(shape.Records) > 0 && shape.Next != expected {
		return errors.Errorf("the answer to a read continues at %d in place of %d", shape.Next, expected)
	}
	return nil
}

// End returns the oldest offset that the log keeps and the offset after the last record.
func (reader *Reader) End(
	ctx context.Context, stream almondcross.Stream,
) (oldest, end almondcross.Offset, err error) {
	var shape encoder.PlatformEnd
	if err := reader.get(ctx, 0, stream, "/end", &shape); err != nil {
		return 0, 0, err
	}
	return almondcross.Offset(shape.Oldest), almondcross.Offset(shape.End), nil
}

func (reader *Reader) get(
	ctx context.Context, wait time.Duration, stream almondcross.Stream, path string, answer any,
) error {
	address := "http://" + reader.address + "/v1/streams/" + url.PathEscape(string(stream)) + path
	err := reader.exchanger.Do(ctx, wait, http.MethodGet, address, nil, answer)
	if err == nil {
		return nil
	}
	reader.failures.Inc()
	var failure *exchanger.ExchangeError
	if errors.As(err, &failure) && failure.Code == encoder.PlatformTrimmed {
		return errors.WithType(errors.Annotatef(err, "read %s, oldest %d", stream, failure.Oldest), almondcross.ErrLogTrimmed)
	}
	return errors.WithType(errors.Annotatef(err, "read %s", stream), almondcross.ErrLogUnreachable)
}
