package roller

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
)

// Defaults of the configuration.
const (
	// DefaultInterval is the time between two passes over the account.
	DefaultInterval = 5 * time.Minute
	// DefaultRetention is how long the account is kept; claims are kept for the same time.
	DefaultRetention = 62 * 24 * time.Hour
	// DefaultReappendAge is the age at which a roll-up is appended again: half of the log's retention of one day,
	// as for the checkpoints of claims.
	DefaultReappendAge = 12 * time.Hour
	// DefaultMaxLines is the maximum number of lines in a roll-up; at about 200 bytes a line its record stays below
	// 1 MiB.
	DefaultMaxLines = 4000

	// readLimit is the maximum number of records in one read.
	readLimit = 100
	// maxAppendsPerPass bounds the new roll-ups of one pass, and also its repeated ones. At one pass in 5 minutes, the
	// 1,488 hours of 62 days are appended again within 12 h.
	maxAppendsPerPass = 24
	// passTimeout bounds the reads and appends of one pass over one data centre.
	passTimeout = time.Minute
)

// Config holds the dependencies and settings of a roller; a zero number selects its default.
type Config struct {
	DataCentres []string // DataCentres are the data centres of the cell.
	Member      string   // Member is the name of the host.
	Log         almondcross.LogAppender
	Reader      almondcross.LogReader
	Codec       almondcross.UsageCodec
	Hours       almondcross.HourAggregator
	Members     almondcross.MemberViewer
	Clock       almondcross.Clock
	Interval    time.Duration
	Retention   time.Duration
	ReappendAge time.Duration
	MaxLines    int
	Logger      logrus.FieldLogger
}

// hourRollUp describes the newest copy of the roll-up of an hour.
type hourRollUp struct {
	offset   almondcross.Offset
	appended time.Time
	batches  int
}

// hourIndex lists the roll-ups in the stream of hours of one data centre.
type hourIndex struct {
	next  almondcross.Offset // the offset to read from next
	hours map[time.Time]hourRollUp
}

// Roller is the duty that aggregates the account into hourly roll-ups.
type Roller struct {
	config  Config
	indexes map[string]*hourIndex
}

// New returns a roller with an empty index.
func New(config Config) *Roller {
	config.Interval = orDefault(config.Interval, DefaultInterval)
	config.Retention = orDefault(config.Retention, DefaultRetention)
	config.ReappendAge = orDefault(config.ReappendAge, DefaultReappendAge)
	config.MaxLines = orDefault(config.MaxLines, DefaultMaxLines)
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Roller{config: config, indexes: map[string]*hourIndex{}}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Run makes a pass over each data centre once an interval until the context ends. Failures are logged.
func (roller *Roller) Run(ctx context.Context) error {
	ticker := time.NewTicker(roller.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, dataCentre := range roller.config.DataCentres {
				roller.runPass(ctx, dataCentre)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// runPass appends the new and the repeated roll-ups that are due in one data centre, if this host is the writer of
// the stream. What fails is tried again in the next pass.
func (roller *Roller) runPass(ctx context.Context, dataCentre string) {
	stream := almondcross.AccountHoursStream(dataCentre)
	view := roller.config.Members.View()
	if view.Writer(stream) != view.Self().ID() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, passTimeout)
	defer cancel()
	index, ok := roller.indexes[dataCentre]
	if !ok {
		index = &hourIndex{hours: map[time.Time]hourRollUp{}}
		roller.indexes[dataCentre] = index
	}
	err := roller.update(ctx, stream, index)
	if err == nil {
		err = roller.rollUp(ctx, dataCentre, index)
	}
	if err == nil {
		err = roller.reappend(ctx, dataCentre, index)
	}
	if err != nil && ctx.Err() == nil {
		roller.config.Logger.WithError(err).WithField("data_centre", dataCentre).Warn("hourly roll-up of the account failed; it is retried in the next pass")
	}
}

// update adds the new records of the stream of hours to the index.
func (roller *Roller) update(ctx context.Context, stream almondcross.Stream, index *hourIndex) error {
	oldest, _, err := roller.config.Reader.End(ctx, stream)
	if err != nil {
		return errors.Annotatef(err, "finding the start of %s", stream)
	}
	index.next = max(index.next, oldest)
	for {
		batch, err := roller.config.Reader.Read(ctx, stream, index.next, readLimit, 0)
		if err != nil {
			return errors.Annotatef(err, "reading %s", stream)
		}
		for _, record := range batch.Records() {
			hour, err := roller.config.Codec.DecodeUsageHour(record)
			if err != nil {
				roller.config.Logger.WithError(err).WithField("offset", record.Offset()).Error("rolled-up hour is malformed")
				continue
			}
			current, ok := index.hours[hour.From().UTC()]
			if !ok || hour.Batches() >= current.batches {
				index.hours[hour.From().UTC()] = hourRollUp{
					offset: record.Offset(), appended: record.Appended(), batches: hour.Batches(),
				}
			}
		}
		if batch.Next() <= index.next || batch.Next() >= batch.End() {
			index.next = max(index.next, batch.Next())
			return nil
		}
		index.next = batch.Next()
	}
}

// rollUp appends the roll-ups of the complete hours after the last one in the stream. An hour whose batches were
// trimmed before the roll-up is appended too, so that the account shows it as missing.
func (roller *Roller) rollUp(ctx context.Context, dataCentre string, index *hourIndex) error {
	var next time.Time
	for hour := range index.hours {
		if following := hour.Add(almondcross.RollUpPeriod); following.After(next) {
			next = following
		}
	}
	if next.IsZero() {
		first, err := roller.config.Hours.FirstHour(ctx, dataCentre)
		if err != nil || first.IsZero() {
			return errors.Trace(err)
		}
		next = first
	}
	now := roller.config.Clock.Now()
	for range maxAppendsPerPass {
		if now.Before(next.Add(almondcross.RollUpPeriod + almondcross.AccountLag)) {
			return nil
		}
		body, err := roller.rollUpHour(ctx, dataCentre, next)
		if err != nil {
			return err
		}
		if err := roller.append(ctx, almondcross.AccountHoursStream(dataCentre), next, body); err != nil {
			return err
		}
		next = next.Add(almondcross.RollUpPeriod)
	}
	return nil
}

// truncate limits the number of lines, so that a roll-up fits into one record. The line of the capacity sorts first
// and is therefore always kept.
func (roller *Roller) truncate(hour almondcross.UsageHour) almondcross.UsageHour {
	lines := slices.Clone(hour.Lines())
	slices.SortFunc(lines, func(first, second almondcross.UsageLine) int {
		return cmp.Or(strings.Compare(first.Entry(), second.Entry()), strings.Compare(first.Owner(), second.Owner()))
	})
	if len(lines) > roller.config.MaxLines {
		return hour.WithLines(lines[:roller.config.MaxLines]).WithIncomplete(true)
	}
	return hour.WithLines(lines)
}

// reappend appends roll-ups again before the log trims them, oldest first, and removes the hours past the retention
// period from the index.
func (roller *Roller) reappend(ctx context.Context, dataCentre string, index *hourIndex) error {
	now := roller.config.Clock.Now()
	var due []time.Time
	for hour, current := range index.hours {
		switch {
		case now.Sub(hour) > roller.config.Retention:
			delete(index.hours, hour)
		case now.Sub(current.appended) >= roller.config.ReappendAge:
			due = append(due, hour)
		}
	}
	slices.SortFunc(due, func(first, second time.Time) int {
		return index.hours[first].appended.Compare(index.hours[second].appended)
	})
	for _, hour := range due[:min(len(due), maxAppendsPerPass)] {
		body, err := roller.bodyOf(ctx, dataCentre, hour, index.hours[hour].offset)
		if err != nil {
			return err
		}
		if err := roller.append(ctx, almondcross.AccountHoursStream(dataCentre), hour, body); err != nil {
			return err
		}
	}
	return nil
}

// bodyOf returns the body of a roll-up. If the log trimmed it before it was appended again, bodyOf computes it from
// the batches that are still in the log; the hour is marked as incomplete if some are missing.
func (roller *Roller) bodyOf(
	ctx context.Context, dataCentre string, hour time.Time, offset almondcross.Offset,
) ([]byte, error) {
	stream := almondcross.AccountHoursStream(dataCentre)
	batch, err := roller.config.Reader.Read(ctx, stream, offset, 1, 0)
	if err == nil && len(batch.Records()) > 0 {
		return batch.Records()[0].Body(), nil
	}
	if err != nil && !errors.Is(err, almondcross.ErrLogTrimmed) {
		return nil, errors.Annotatef(err, "reading %s", stream)
	}
	return roller.rollUpHour(ctx, dataCentre, hour)
}

// rollUpHour computes and encodes the roll-up of an hour.
func (roller *Roller) rollUpHour(ctx context.Context, dataCentre string, from time.Time) ([]byte, error) {
	hour, err := roller.config.Hours.AggregateHour(ctx, dataCentre, from)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := roller.config.Codec.EncodeUsageHour(roller.truncate(hour))
	return body, errors.Annotate(err, "encoding a rolled-up hour")
}

func (roller *Roller) append(ctx context.Context, stream almondcross.Stream, hour time.Time, body []byte) error {
	now := roller.config.Clock.Now()
	record := almondcross.NewRecord(almondcross.RecordConfig{
		ID: fmt.Sprintf("usage_hour/%s/%d/%d", roller.config.Member, hour.Unix(), now.UnixMilli()), Body: body,
	})
	_, err := roller.config.Log.Append(ctx, stream, []almondcross.Record{record})
	return errors.Annotatef(err, "appending to %s", stream)
}
