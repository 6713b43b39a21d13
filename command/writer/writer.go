package writer

import (
	"context"
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
	// maxConnections allows a concurrent append to each stream of a host.
	maxConnections = 8
	defaultTimeout = 2 * time.Second
)

// Config holds the settings of a writer.
type Config struct {
	Address string        // Address is the IP address and port of the log.
	Timeout time.Duration // Timeout is the time for one append, 0 for 2 s.
	Metrics *metrics.Set  // Metrics receives the counters; nil for none.
}

// Writer implements almondcross.LogAppender. Any goroutine may use it.
type Writer struct {
	address   string
	exchanger *exchanger.Exchanger

	appended, refused, uncertain *metrics.Counter
}

var _ almondcross.LogAppender = (*Writer)(nil)

// New returns a writer; it connects to the log with the first append.
func New(config Config) *Writer {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	return &Writer{
		address:   config.Address,
		exchanger: exchanger.New(exchanger.Config{Connections: maxConnections, Timeout: config.Timeout}),
		appended:  config.Metrics.GetOrCreateCounter("almondcross_log_records_appended_total"),
		refused:   config.Metrics.GetOrCreateCounter("almondcross_log_appends_refused_total"),
		uncertain: config.Metrics.GetOrCreateCounter("almondcross_log_appends_uncertain_total"),
	}
}

// Run closes the idle connections when the context ends.
func (writer *Writer) Run(ctx context.Context) error {
	<-ctx.Done()
	writer.exchanger.Close()
	return nil
}

// Append appends records in order and returns the offset of the first one. After almondcross.ErrLogRefused none of
// them was stored; after almondcross.ErrLogUncertain they may have been.
func (writer *Writer) Append(
	ctx context.Context, stream almondcross.Stream, records []almondcross.Record,
) (almondcross.Offset, error) {
	endpoint := "http://" + writer.address + "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
	var appended encoder.PlatformAppendResponse
	body := encoder.PlatformAppend{Records: encoder.PlatformRecordsOf(records)}
	err := writer.exchanger.Do(ctx, 0, http.MethodPost, endpoint, body, &appended)
	if err == nil && appended.FirstOffset <= 0 {
		err = &exchanger.ExchangeError{MaybeSent: true, Cause: errors.New("the response has no offset")}
	}
	if err != nil {
		return 0, writer.classifyError(err, stream)
	}
	writer.appended.Add(len(records))
	return almondcross.Offset(appended.FirstOffset), nil
}

// classifyError treats an error response as a refusal only if it carries an error code of the log. A status without
// a code may come from a proxy and does not show whether the append took effect.
func (writer *Writer) classifyError(err error, stream almondcross.Stream) error {
	var failure *exchanger.ExchangeError
	if errors.As(err, &failure) && (!failure.MaybeSent || failure.Code != "") {
		writer.refused.Inc()
		return errors.WithType(errors.Annotatef(err, "append to %s", stream), almondcross.ErrLogRefused)
	}
	writer.uncertain.Inc()
	return errors.WithType(errors.Annotatef(err, "append to %s", stream), almondcross.ErrLogUncertain)
}
