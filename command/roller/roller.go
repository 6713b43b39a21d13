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
	// DefaultInterval is the time between two looks at the account.
	DefaultInterval = 5 * time.Minute
	// DefaultKeep is how long the account is kept, as long as claims.
	DefaultKeep = 62 * 24 * time.Hour
	// DefaultCarryAge is half of a retention of one day, as for the checkpoints of claims.
	DefaultCarryAge = 12 * time.Hour
	// DefaultMaxLines bounds a roll-up, so that its record stays below 1 MiB at about 200 bytes a line.
	DefaultMaxLines = 4000

	// readLimit is the number of records that one read asks for.
	readLimit = 100
	// perLook bounds the appends of one look: the 1,488 hours of 62 days are carried forward in 12 h.
	perLook = 24
	// lookTimeout bounds the reads and appends of one data centre.
	lookTimeout = time.Minute
)

// Config holds the parts of a roller; zero numbers stand for the defaults.
type Config struct {
	DataCentres []string // DataCentres are those of the cell.
	Member      string   // Member is the name of the host.
	Log         almondcross.LogAppender
	Reader      almondcross.LogReader
	Codec       almondcross.UsageCodec
	Hours       almondcross.HourSummer
	Members     almondcross.MemberViewer
	Clock       almondcross.Clock
	Interval    time.Duration
	Keep        time.Duration
	CarryAge    time.Duration
	MaxLines    int
	Logger      logrus.FieldLogger
}

// rolled is the newest copy of the roll-up of an hour.
type rolled struct {
	offset   almondcross.Offset
	appended time.Time
	batches  int
}

// index is what the stream of hours of one data centre holds.
type index struct {
	next  almondcross.Offset // the offset to read from next
	hours map[time.Time]rolled
}

// Roller is the duty that rolls the account up.
type Roller struct {
	config  Config
	indexes map[string]*index
}

// New returns a roller that has read nothing.
func New(config Config) *Roller {
	config.Interval = orDefault(config.Interval, DefaultInterval)
	config.Keep = orDefault(config.Keep, DefaultKeep)
	config.CarryAge = orDefault(config.CarryAge, DefaultCarryAge)
	config.MaxLines = orDefault(config.MaxLines, DefaultMaxLines)
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	return &Roller{config: config, indexes: map[string]*index{}}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Run looks at the account until the context ends.
func (roller *Roller) Run(ctx context.Context) error {
	ticker := time.NewTicker(roller.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, dataCentre := range roller.config.DataCentres {
				roller.look(ctx, dataCentre)
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// look rolls up and carries forward what is due in one data centre; what fails is due at the next look.
func (roller *Roller) look(ctx context.Context, dataCentre string) {
	stream := almondcross.AccountHoursStream(dataCentre)
	view := roller.config.Members.View()
	if view.Writer(stream) != view.Self().ID() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	known, ok := roller.indexes[dataCentre]
	if !ok {
		known = &index{hours: map[time.Time]rolled{}}
		roller.indexes[dataCentre] = known
	}
	err := roller.update(ctx, stream, known)
	if err == nil {
		err = roller.rollUp(ctx, dataCentre, known)
	}
	if err == nil {
		err = roller.carry(ctx, dataCentre, known)
	}
	if err != nil && ctx.Err() == nil {
		roller.config.Logger.WithError(err).WithField("data_centre", dataCentre).Warn("account was not rolled up")
	}
}

// update reads what was added to the stream of hours.
func (roller *Roller) update(ctx context.Context, stream almondcross.Stream, known *index) error {
	oldest, _, err := roller.config.Reader.End(ctx, stream)
	if err != nil {
		return errors.Annotatef(err, "finding the start of %s", stream)
	}
	known.next = max(known.next, oldest)
	for {
		batch, err := roller.config.Reader.Read(ctx, stream, known.next, readLimit, 0)
		if err != nil {
			return errors.Annotatef(err, "reading %s", stream)
		}
		for _, record := range batch.Records() {
			hour, err := roller.config.Codec.DecodeHour(record)
			if err != nil {
				roller.config.Logger.WithError(err).WithField("offset", record.Offset()).Error("rolled-up hour is malformed")
				continue
			}
			current, ok := known.hours[hour.From().UTC()]
			if !ok || hour.Batches() >= current.batches {
				known.hours[hour.From().UTC()] = rolled{
					offset: record.Offset(), appended: record.Appended(), batches: hour.Batches(),
				}
			}
		}
		if batch.Next() <= known.next || batch.Next() >= batch.End() {
			known.next = max(known.next, batch.Next())
			return nil
		}
		known.next = batch.Next()
	}
}

// rollUp appends the hours after the last one in the stream. An hour whose batches were trimmed before
// it was rolled up is appended as well, so that the account shows it as missing.
func (roller *Roller) rollUp(ctx context.Context, dataCentre string, known *index) error {
	var next time.Time
	for hour := range known.hours {
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
	for range perLook {
		if now.Before(next.Add(almondcross.RollUpPeriod + almondcross.AccountLag)) {
			return nil
		}
		body, err := roller.sum(ctx, dataCentre, next)
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

// bound keeps a roll-up within one record; the line of the capacity sorts first and stays.
func (roller *Roller) bound(hour almondcross.UsageHour) almondcross.UsageHour {
	lines := slices.Clone(hour.Lines())
	slices.SortFunc(lines, func(first, second almondcross.UsageLine) int {
		return cmp.Or(strings.Compare(first.Entry(), second.Entry()), strings.Compare(first.Owner(), second.Owner()))
	})
	if len(lines) > roller.config.MaxLines {
		return hour.WithLines(lines[:roller.config.MaxLines]).WithIncomplete(true)
	}
	return hour.WithLines(lines)
}

// carry appends hours again that were appended long ago, and forgets those that are not kept.
func (roller *Roller) carry(ctx context.Context, dataCentre string, known *index) error {
	now := roller.config.Clock.Now()
	var due []time.Time
	for hour, current := range known.hours {
		switch {
		case now.Sub(hour) > roller.config.Keep:
			delete(known.hours, hour)
		case now.Sub(current.appended) >= roller.config.CarryAge:
			due = append(due, hour)
		}
	}
	slices.SortFunc(due, func(first, second time.Time) int {
		return known.hours[first].appended.Compare(known.hours[second].appended)
	})
	for _, hour := range due[:min(len(due), perLook)] {
		body, err := roller.copyOf(ctx, dataCentre, hour, known.hours[hour].offset)
		if err != nil {
			return err
		}
		if err := roller.append(ctx, almondcross.AccountHoursStream(dataCentre), hour, body); err != nil {
			return err
		}
	}
	return nil
}

// copyOf returns the body of a roll-up. One that expired before it was carried forward is made again from
// what the log still has, which marks the hour as incomplete when that is not everything.
func (roller *Roller) copyOf(
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
	return roller.sum(ctx, dataCentre, hour)
}

// sum returns the body of the roll-up of an hour.
func (roller *Roller) sum(ctx context.Context, dataCentre string, from time.Time) ([]byte, error) {
	hour, err := roller.config.Hours.HourOf(ctx, dataCentre, from)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := roller.config.Codec.EncodeHour(roller.bound(hour))
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
