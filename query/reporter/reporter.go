package reporter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Defaults of the configuration.
const (
	// DefaultTimeout bounds the time of one report.
	DefaultTimeout = 5 * time.Second
	// DefaultPeriod is the period of a query without a start. The HTTP API sets a start with a default of its own.
	DefaultPeriod = time.Hour
	// DefaultMaxLines is the maximum number of lines of a share report.
	DefaultMaxLines = 200000
	// readLimit is the maximum number of records of one read.
	readLimit = 500
	// readMargin is how long before the start of the period reading begins, so that the first batch of the
	// period has a predecessor and a missing one is detected.
	readMargin = 5 * time.Minute
)

// Errors returned by the reporter.
const (
	ErrTooManyLines          = errors.ConstError("the report has too many lines; request a shorter period")
	ErrAccountantUnavailable = errors.ConstError("the accountant did not respond")
)

// Config holds the dependencies and limits of a Reporter.
type Config struct {
	Reader      almondcross.LogReader
	Codec       almondcross.UsageCodec
	DataCentres []string                                        // DataCentres holds the names of all data centres of the cell.
	Accountant  almondcross.Sink[almondcross.AccountantMessage] // Accountant receives the queries for decisions.
	Audit       almondcross.AuditViewer
	Clock       almondcross.Clock
	Timeout     time.Duration // Timeout bounds the time of one report, 0 for DefaultTimeout.
	MaxLines    int           // MaxLines is the maximum number of lines of a share report, 0 for DefaultMaxLines.
}

// Reporter implements almondcross.ReportViewer. It has no state and is safe for concurrent use.
type Reporter struct{ config Config }

// New returns a reporter.
func New(config Config) Reporter {
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.MaxLines == 0 {
		config.MaxLines = DefaultMaxLines
	}
	return Reporter{config: config}
}

// accountData holds the records that were read from the account of one data centre, or the error.
type accountData struct {
	dataCentre string
	batches    []almondcross.UsageBatch
	hours      []almondcross.UsageHour
	err        error
}

// Shares returns the shares that entries received in a period. Data centres that cannot be read are listed as
// missing in the report. It returns ErrTooManyLines if the report exceeds the configured number of lines.
func (reporter Reporter) Shares(
	ctx context.Context, query almondcross.ShareQuery,
) (almondcross.ShareReport, error) {
	if query.To().IsZero() {
		query = query.WithTo(reporter.config.Clock.Now())
	}
	if query.From().IsZero() {
		query = query.WithFrom(query.To().Add(-DefaultPeriod))
	}
	ctx, cancel := context.WithTimeout(ctx, reporter.config.Timeout)
	defer cancel()
	results := make(chan accountData, len(reporter.config.DataCentres))
	for _, dataCentre := range reporter.config.DataCentres {
		go func() {
			results <- reporter.readAccount(ctx, dataCentre, query)
		}()
	}
	report := almondcross.ShareReportConfig{FreshAt: map[string]time.Time{}}
	for range reporter.config.DataCentres {
		data := <-results
		if data.err != nil {
			report.Missing = append(report.Missing, data.dataCentre)
			continue
		}
		account := newAccount(data.dataCentre, data.batches).withRolledUpHours(data.hours)
		if !account.freshAt.IsZero() {
			report.FreshAt[data.dataCentre] = account.freshAt
		}
		report.Gaps = append(report.Gaps, account.gapsIn(query)...)
		report.Lines = append(report.Lines, account.linesIn(query)...)
		if len(report.Lines) > reporter.config.MaxLines {
			return almondcross.ShareReport{}, errors.Trace(ErrTooManyLines)
		}
	}
	sortReport(&report)
	return almondcross.NewShareReport(report), nil
}

// readAccount returns the batches and the rolled-up hours of a data centre that may belong to the period of the
// query. Batches are read for whole hours, so that their number can be compared with that of a roll-up.
func (reporter Reporter) readAccount(ctx context.Context, dataCentre string, query almondcross.ShareQuery) accountData {
	from := query.From().Truncate(almondcross.RollUpPeriod)
	data := accountData{dataCentre: dataCentre}
	data.hours, data.err = reporter.readRolledUpHours(ctx, dataCentre, query.WithFrom(from))
	if data.err != nil {
		return data
	}
	to := query.To().Truncate(almondcross.RollUpPeriod).Add(almondcross.RollUpPeriod)
	data.batches, data.err = reporter.readBatches(ctx, dataCentre, query.WithFrom(from).WithTo(to))
	return data
}

// readBatches returns the batches of a data centre that may belong to the period of the query.
func (reporter Reporter) readBatches(
	ctx context.Context, dataCentre string, query almondcross.ShareQuery,
) ([]almondcross.UsageBatch, error) {
	stream := almondcross.AccountStream(dataCentre)
	from, err := reporter.findOffset(ctx, stream, query.From().Add(-readMargin))
	if err != nil {
		return nil, err
	}
	var batches []almondcross.UsageBatch
	for {
		batch, err := reporter.config.Reader.Read(ctx, stream, from, readLimit, 0)
		if err != nil {
			return nil, errors.Annotatef(err, "reading the account of %s", dataCentre)
		}
		for _, record := range batch.Records() {
			if record.Appended().After(query.To().Add(almondcross.AccountLag)) {
				return batches, nil
			}
			// Records that cannot be decoded as a usage batch are probes of an appender.
			if usage, err := reporter.config.Codec.DecodeUsage(record); err == nil {
				batches = append(batches, usage)
			}
		}
		if batch.Next() <= from || batch.Next() >= batch.End() {
			return batches, nil
		}
		from = batch.Next()
	}
}

// findOffset returns the offset of the first record that was appended at or after a time, by binary search.
func (reporter Reporter) findOffset(
	ctx context.Context, stream almondcross.Stream, at time.Time,
) (almondcross.Offset, error) {
	low, high, err := reporter.config.Reader.End(ctx, stream)
	if err != nil {
		return 0, errors.Annotatef(err, "finding the start of %s", stream)
	}
	for low < high {
		middle := low + (high-low)/2
		batch, err := reporter.config.Reader.Read(ctx, stream, middle, 1, 0)
		if errors.Is(err, almondcross.ErrLogTrimmed) {
			low = middle + 1
			continue
		}
		if err != nil {
			return 0, errors.Annotatef(err, "searching %s", stream)
		}
		if len(batch.Records()) == 0 || !batch.Records()[0].Appended().Before(at) {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return low, nil
}

// replies is a channel with a buffer for one reply.
type replies chan almondcross.DecisionHistory

// ReplyDecisions sends the reply without blocking, because the buffer has space for it.
func (replies replies) ReplyDecisions(history almondcross.DecisionHistory) { replies <- history }

// Decisions returns the decisions that this host made about a key or an entry. It returns ErrAccountantUnavailable if
// the accountant does not respond before the timeout.
func (reporter Reporter) Decisions(ctx context.Context, query almondcross.DecisionQuery) (almondcross.DecisionHistory, error) {
	ctx, cancel := context.WithTimeout(ctx, reporter.config.Timeout)
	defer cancel()
	replier := make(replies, 1)
	message := almondcross.NewLookupDecisions(almondcross.LookupDecisionsConfig{Query: query, Replier: replier})
	if err := reporter.config.Accountant.Put(ctx, message); err != nil {
		return almondcross.DecisionHistory{}, errors.Annotate(ErrAccountantUnavailable, err.Error())
	}
	select {
	case decisions := <-replier:
		return decisions, nil
	case <-ctx.Done():
		return almondcross.DecisionHistory{}, errors.Trace(ErrAccountantUnavailable)
	}
}

// Audit returns the changes of the catalogue in a period; a zero time stands for an open start or end. The error is
// always nil.
func (reporter Reporter) Audit(
	_ context.Context, query almondcross.AuditQuery,
) ([]almondcross.AuditLine, error) {
	var lines []almondcross.AuditLine
	for _, line := range reporter.config.Audit.AuditLines() {
		switch {
		case query.Entry() != "" && line.Entry() != query.Entry():
		case !query.From().IsZero() && line.At().Before(query.From()):
		case !query.To().IsZero() && line.At().After(query.To()):
		default:
			lines = append(lines, line)
		}
	}
	return lines, nil
}
