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
	// connections allows one append for each stream of a host at once.
	connections    = 8
	defaultTimeout = 2 * time.Second
)

// Config holds the settings of a writer.
type Config struct {
	Address string        // Address is the IP address and port of the log.
	Timeout time.Duration // Timeout is the time for one append, 0 for 2 s.
	Metrics *metrics.Set  // Metrics receives the counters; nil for none.
}

// Writer implements almondcross.LogAppender.
type Writer struct {
	address   string
	exchanger *exchanger.Exchanger

	appended, refused, uncertain *metrics.Counter
}

var _ almondcross.LogAppender = (*Writer)(nil)

// New returns a writer; it connects with the first append.
func New(config Config) *Writer {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	return &Writer{
		address:   config.Address,
		exchanger: exchanger.New(exchanger.Config{Connections: connections, Timeout: config.Timeout}),
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

// Append adds records in order and returns the offset of the first one.
func (writer *Writer) Append(
	ctx context.Context, stream almondcross.Stream, records []almondcross.Record,
) (almondcross.Offset, error) {
	address := "http://" + writer.address + "/v1/streams/" + url.PathEscape(string(stream)) + "/records"
	var appended encoder.PlatformAppended
	body := encoder.PlatformAppend{Records: encoder.PlatformRecordsOf(records)}
	err := writer.exchanger.Do(ctx, 0, http.MethodPost, address, body, &appended)
	if err == nil && appended.FirstOffset <= 0 {
		err = &exchanger.ExchangeError{Sent: true, Cause: errors.New("the answer has no offset")}
	}
	if err != nil {
		return 0, writer.translate(err, stream)
	}
	writer.appended.Add(len(records))
	return almondcross.Offset(appended.FirstOffset), nil
}

// translate treats an answer as a refusal only when it carries the code of the log; a status without
// a code may come from elsewhere on the way and says nothing of the effect.
func (writer *Writer) translate(err error, stream almondcross.Stream) error {
	var failure *exchanger.ExchangeError
	if errors.As(err, &failure) && (!failure.Sent || failure.Code != "") {
		writer.refused.Inc()
		return errors.WithType(errors.Annotatef(err, "append to %s", stream), almondcross.ErrLogRefused)
	}
	writer.uncertain.Inc()
	return errors.WithType(errors.Annotatef(err, "append to %s", stream), almondcross.ErrLogUncertain)
}
