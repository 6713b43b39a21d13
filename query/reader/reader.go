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
	// connections is enough for one long poll per stream that a host follows, plus single reads.
	connections    = 32
	defaultTimeout = 2 * time.Second
)

// Config holds the settings of a reader.
type Config struct {
	Address string        // Address is the IP address and port of the log.
	Timeout time.Duration // Timeout bounds one read, in addition to its wait time, 0 for 2 s.
	Metrics *metrics.Set  // Metrics receives the counters; nil for none.
}

// Reader implements almondcross.LogReader. It is safe for concurrent use.
type Reader struct {
	address   string
	exchanger *exchanger.Exchanger

	records, failures *metrics.Counter
}

var _ almondcross.LogReader = (*Reader)(nil)

// New returns a reader; it connects on the first read.
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

// Read returns records starting at an offset and waits up to the given time for the first one. It returns
// ErrLogTrimmed if the log no longer keeps the offset, and ErrLogUnreachable for any other failure.
func (reader *Reader) Read(
	ctx context.Context, stream almondcross.Stream, from almondcross.Offset, limit int, wait time.Duration,
) (almondcross.Batch, error) {
	query := fmt.Sprintf("/records?from=%d&limit=%d&wait_ms=%d", from, limit, wait.Milliseconds())
	var response encoder.PlatformBatch
	if err := reader.get(ctx, wait, stream, query, &response); err != nil {
		return almondcross.Batch{}, err
	}
	if err := checkContiguous(response, from); err != nil {
		reader.failures.Inc()
		return almondcross.Batch{}, errors.WithType(err, almondcross.ErrLogUnreachable)
	}
	reader.records.Add(len(response.Records))
	return response.Batch(), nil
}

// checkContiguous returns an error if records are missing from a response or its next offset is wrong; the caller
// would skip records otherwise.
func checkContiguous(response encoder.PlatformBatch, from almondcross.Offset) error {
	if len(response.Records) == 0 && response.Next <= 0 {
		return errors.New("the response to a read has no next offset")
	}
	// A read from an offset before the first record of a stream starts at the first record.
	expected := max(int64(from), encoder.FirstPlatformOffset)
	for _, record := range response.Records {
		if record.Offset != expected {
			return errors.Errorf("the response to a read has record %d instead of %d", record.Offset, expected)
		}
		expected++
	}
	if len(response.Records) > 0 && response.Next != expected {
		return errors.Errorf("the response to a read has next offset %d instead of %d", response.Next, expected)
	}
	return nil
}

// End returns the oldest offset that the log keeps and the offset after the last record. It returns
// ErrLogUnreachable if the log cannot be read.
func (reader *Reader) End(
	ctx context.Context, stream almondcross.Stream,
) (oldest, end almondcross.Offset, err error) {
	var response encoder.PlatformStreamOffsets
	if err := reader.get(ctx, 0, stream, "/end", &response); err != nil {
		return 0, 0, err
	}
	return almondcross.Offset(response.Oldest), almondcross.Offset(response.End), nil
}

func (reader *Reader) get(
	ctx context.Context, wait time.Duration, stream almondcross.Stream, path string, response any,
) error {
	address := "http://" + reader.address + "/v1/streams/" + url.PathEscape(string(stream)) + path
	err := reader.exchanger.Do(ctx, wait, http.MethodGet, address, nil, response)
	if err == nil {
		return nil
	}
	reader.failures.Inc()
	var failure *exchanger.ExchangeError
	if errors.As(err, &failure) && failure.Code == encoder.PlatformTrimmed {
		return errors.WithType(errors.Annotatef(err, "reading %s, oldest offset %d", stream, failure.OldestOffset), almondcross.ErrLogTrimmed)
	}
	return errors.WithType(errors.Annotatef(err, "reading %s", stream), almondcross.ErrLogUnreachable)
}
