package reporter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// FirstHour returns the start of the hour of the oldest batch that the log holds, zero for none.
func (reporter Reporter) FirstHour(ctx context.Context, dataCentre string) (time.Time, error) {
	stream := almondcross.AccountStream(dataCentre)
	from, _, err := reporter.config.Reader.End(ctx, stream)
	if err != nil {
		return time.Time{}, errors.Annotatef(err, "finding the start of %s", stream)
	}
	for {
		batch, err := reporter.config.Reader.Read(ctx, stream, from, readLimit, 0)
		if err != nil {
			return time.Time{}, errors.Annotatef(err, "reading the start of %s", stream)
		}
		for _, record := range batch.Records() {
			if usage, err := reporter.config.Codec.DecodeUsage(record); err == nil {
				return hourOf(usage), nil
			}
		}
		if batch.Next() <= from || batch.Next() >= batch.End() {
			return time.Time{}, nil
		}
		from = batch.Next()
	}
}

// HourOf returns the sum of the hour that begins at a time. An hour of which the log may have dropped
// batches is marked as incomplete.
func (reporter Reporter) HourOf(
	ctx context.Context, dataCentre string, from time.Time,
) (almondcross.UsageHour, error) {
	query := almondcross.NewShareQuery(almondcross.ShareQueryConfig{From: from, To: from.Add(almondcross.RollUpPeriod)})
	batches, err := reporter.batches(ctx, dataCentre, query)
	if err != nil {
		return almondcross.UsageHour{}, errors.Trace(err)
	}
	trimmed, err := reporter.trimmed(ctx, dataCentre, from)
	if err != nil {
		return almondcross.UsageHour{}, errors.Trace(err)
	}
	account := newAccount(dataCentre, batches)
	config := almondcross.UsageHourConfig{
		DataCentre: dataCentre, From: from.UTC(), To: query.To().UTC(), Batches: account.counts()[from.UTC()],
		Gaps: account.gapsOf(query), Incomplete: trimmed,
	}
	lines := map[lineKey]almondcross.UsageLineConfig{}
	for _, batch := range account.batches {
		if !hourOf(batch).Equal(from) {
			continue
		}
		config.Incomplete = config.Incomplete || batch.Incomplete()
		for _, line := range batch.Lines() {
			name := lineKey{entry: line.Entry(), owner: line.Owner()}
			lines[name] = sum(lines[name], line.Config())
		}
	}
	if trimmed {
		config.Gaps = append(config.Gaps, almondcross.NewAccountGap(almondcross.AccountGapConfig{
			DataCentre: dataCentre, After: from.UTC(),
		}))
	}
	config.Incomplete = config.Incomplete || len(config.Gaps) > 0
	for name, line := range lines {
		line.Entry, line.Owner = name.entry, name.owner
		config.Lines = append(config.Lines, almondcross.NewUsageLine(line))
	}
	return almondcross.NewUsageHour(config), nil
}

// trimmed reports whether the log may have dropped batches of the time from an instant on.
func (reporter Reporter) trimmed(ctx context.Context, dataCentre string, from time.Time) (bool, error) {
	stream := almondcross.AccountStream(dataCentre)
	oldest, _, err := reporter.config.Reader.End(ctx, stream)
	if err != nil || oldest <= 1 {
		return false, errors.Annotatef(err, "finding the start of %s", stream)
	}
	batch, err := reporter.config.Reader.Read(ctx, stream, oldest, 1, 0)
	if err != nil {
		return false, errors.Annotatef(err, "reading the start of %s", stream)
	}
	return len(batch.Records()) == 0 || batch.Records()[0].Appended().After(from), nil
}

// hours returns the rolled-up hours of a period, each once. A roll-up is appended after its hour, and
// again while the log keeps the account; of several the one that adds up most batches counts.
func (reporter Reporter) hours(
	ctx context.Context, dataCentre string, query almondcross.ShareQuery,
) ([]almondcross.UsageHour, error) {
	stream := almondcross.AccountHoursStream(dataCentre)
	from, err := reporter.search(ctx, stream, query.From())
	if err != nil {
		return nil, err
	}
	best := map[time.Time]almondcross.UsageHour{}
	for {
		batch, err := reporter.config.Reader.Read(ctx, stream, from, readLimit, 0)
		if err != nil {
			return nil, errors.Annotatef(err, "reading the rolled-up account of %s", dataCentre)
		}
		for _, record := range batch.Records() {
			hour, err := reporter.config.Codec.DecodeHour(record)
			if err != nil || !hour.From().Before(query.To()) || !query.From().Before(hour.To()) {
				continue
			}
			if known, ok := best[hour.From().UTC()]; !ok || hour.Batches() > known.Batches() {
				best[hour.From().UTC()] = hour
			}
		}
		if batch.Next() <= from || batch.Next() >= batch.End() {
			break
		}
		from = batch.Next()
	}
	hours := make([]almondcross.UsageHour, 0, len(best))
	for _, hour := range best {
		hours = append(hours, hour)
	}
	return hours, nil
}

func hourOf(batch almondcross.UsageBatch) time.Time {
	return batch.From().UTC().Truncate(almondcross.RollUpPeriod)
}

// counts returns the number of batches of each hour.
func (account account) counts() map[time.Time]int {
	counts := map[time.Time]int{}
	for _, batch := range account.batches {
		counts[hourOf(batch)]++
	}
	return counts
}

// withHours tells an hour from its roll-up where that adds up more batches than the log still has, or
// tells of a trimmed stream; an hour never counts from both.
func (account account) withHours(hours []almondcross.UsageHour) account {
	counts := account.counts()
	account.hours = map[time.Time]almondcross.UsageHour{}
	for _, hour := range hours {
		from := hour.From().UTC()
		if count := counts[from]; hour.Batches() > count || count == 0 {
			account.hours[from] = hour
		}
		if hour.Batches() > 0 && hour.To().After(account.freshAt) {
			account.freshAt = hour.To()
		}
	}
	return account
}

// rolledUp reports whether a gap between batches lies in hours that are told from their roll-ups, which
// tell of it if it is one. A stream that was trimmed shows gaps where none were.
func (account account) rolledUp(gap gap) bool {
	if gap.to.IsZero() || len(account.hours) == 0 {
		return false
	}
	for hour := gap.from.UTC().Truncate(almondcross.RollUpPeriod); hour.Before(gap.to); hour = hour.Add(almondcross.RollUpPeriod) {
		if _, ok := account.hours[hour]; !ok {
			return false
		}
	}
	return true
}

// intervalOf returns a rolled-up hour as one interval.
func intervalOf(hour almondcross.UsageHour) interval {
	result := interval{lines: map[lineKey]almondcross.UsageLineConfig{}, incomplete: hour.Incomplete()}
	for _, line := range hour.Lines() {
		result.lines[lineKey{entry: line.Entry(), owner: line.Owner()}] = line.Config()
	}
	return result
}

// distinct returns each gap once; a gap at the end of an hour is part of two roll-ups.
func distinct(gaps []almondcross.AccountGap) []almondcross.AccountGap {
	seen := map[almondcross.AccountGap]bool{}
	var result []almondcross.AccountGap
	for _, gap := range gaps {
		if gap = gap.WithAfter(gap.After().UTC()); !seen[gap] {
			seen[gap] = true
			result = append(result, gap)
		}
	}
	return result
}
