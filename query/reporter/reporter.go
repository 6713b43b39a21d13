package reporter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Defaults of the configuration.
const (
	// DefaultTimeout bounds the reading of one data centre's account.
	DefaultTimeout = 5 * time.Second
	// DefaultPeriod is the period of a query that names no start.
	DefaultPeriod = time.Hour
	// DefaultMaxLines bounds a report.
	DefaultMaxLines = 200000
	// readLimit is the number of records that one read asks for.
	readLimit = 500
	// lead is how long before the period reading starts, so that the first batch of the period has a
	// predecessor and a lost one is noticed.
	lead = 5 * time.Minute
)

// Errors of the reporter.
const (
	ErrTooLong     = errors.ConstError("the report has too many lines; ask for a shorter period")
	ErrUnavailable = errors.ConstError("the accountant did not answer")
)

// Config holds the parts of a reporter; zero numbers stand for the defaults.
type Config struct {
	Reader      almondcross.LogReader
	Codec       almondcross.UsageCodec
	DataCentres []string // DataCentres are those of the cell.
	Stories     almondcross.Sink[almondcross.AccountantMessage]
	Audit       almondcross.AuditViewer
	Clock       almondcross.Clock
	Timeout     time.Duration
	MaxLines    int
}

// Reporter implements ReportViewer; it has no state and is safe for concurrent use.
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

// read is what was read of one data centre.
type read struct {
	dataCentre string
	batches    []almondcross.UsageBatch
	hours      []almondcross.UsageHour
	err        error
}

// Shares returns the account of shares of a period.
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
	results := make(chan read, len(reporter.config.DataCentres))
	for _, dataCentre := range reporter.config.DataCentres {
		go func() {
			results <- reporter.read(ctx, dataCentre, query)
		}()
	}
	report := almondcross.ShareReportConfig{FreshAt: map[string]time.Time{}}
	for range reporter.config.DataCentres {
		result := <-results
		if result.err != nil {
			report.Missing = append(report.Missing, result.dataCentre)
			continue
		}
		account := newAccount(result.dataCentre, result.batches).withHours(result.hours)
		if !account.freshAt.IsZero() {
			report.FreshAt[result.dataCentre] = account.freshAt
		}
		report.Gaps = append(report.Gaps, account.gapsOf(query)...)
		report.Lines = append(report.Lines, account.linesOf(query)...)
		if len(report.Lines) > reporter.config.MaxLines {
			return almondcross.ShareReport{}, errors.Trace(ErrTooLong)
		}
	}
	sortReport(&report)
	return almondcross.NewShareReport(report), nil
}

// read returns the batches and the rolled-up hours of a data centre that can belong to a period. The
// batches of whole hours are read, so that their number can be compared with that of a rolled-up hour.
func (reporter Reporter) read(ctx context.Context, dataCentre string, query almondcross.ShareQuery) read {
	from := query.From().Truncate(almondcross.RollUpPeriod)
	result := read{dataCentre: dataCentre}
	result.hours, result.err = reporter.hours(ctx, dataCentre, query.WithFrom(from))
	if result.err != nil {
		return result
	}
	to := query.To().Truncate(almondcross.RollUpPeriod).Add(almondcross.RollUpPeriod)
	result.batches, result.err = reporter.batches(ctx, dataCentre, query.WithFrom(from).WithTo(to))
	return result
}

// batches returns the batches of a data centre that can belong to a period.
func (reporter Reporter) batches(
	ctx context.Context, dataCentre string, query almondcross.ShareQuery,
) ([]almondcross.UsageBatch, error) {
	stream := almondcross.AccountStream(dataCentre)
	from, err := reporter.search(ctx, stream, query.From().Add(-lead))
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
			// A record that is no usage batch is the probe of an appender.
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

// search returns the offset of the first record that the log took at or after a time.
func (reporter Reporter) search(
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

// storyReplier receives a story once.
type storyReplier chan almondcross.Story

// ReplyStory does not block, since the channel has room for the one answer.
func (storyreplier storyReplier) ReplyStory(story almondcross.Story) { storyreplier <- story }

// Story returns the decisions that this host took about a key or an entry.
func (reporter Reporter) Story(ctx context.Context, query almondcross.StoryQuery) (almondcross.Story, error) {
	ctx, cancel := context.WithTimeout(ctx, reporter.config.Timeout)
	defer cancel()
	replier := make(storyReplier, 1)
	message := almondcross.NewLookupStory(almondcross.LookupStoryConfig{Query: query, Replier: replier})
	if err := reporter.config.Stories.Put(ctx, message); err != nil {
		return almondcross.Story{}, errors.Annotate(ErrUnavailable, err.Error())
	}
	select {
	case story := <-replier:
		return story, nil
	case <-ctx.Done():
		return almondcross.Story{}, errors.Trace(ErrUnavailable)
	}
}

// Audit returns the changes of the catalogue in a period; a zero time is no bound.
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
