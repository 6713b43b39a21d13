package reporter

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// FirstHour returns the start of the hour of the oldest batch in the log, zero if there is none. It returns an
// error if the log cannot be read.
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

// AggregateHour returns the roll-up of the hour that begins at a time. An hour of which the log may have trimmed
// batches is marked as incomplete. It returns an error if the log cannot be read.
func (reporter Reporter) AggregateHour(
	ctx context.Context, dataCentre string, from time.Time,
) (almondcross.UsageHour, error) {
	query := almondcross.NewShareQuery(almondcross.ShareQueryConfig{From: from, To: from.Add(almondcross.RollUpPeriod)})
	batches, err := reporter.readBatches(ctx, dataCentre, query)
	if err != nil {
		return almondcross.UsageHour{}, errors.Trace(err)
	}
	trimmed, err := reporter.mayBeTrimmed(ctx, dataCentre, from)
	if err != nil {
		return almondcross.UsageHour{}, errors.Trace(err)
	}
	account := newAccount(dataCentre, batches)
	config := almondcross.UsageHourConfig{
		DataCentre: dataCentre, From: from.UTC(), To: query.To().UTC(), Batches: account.batchCounts()[from.UTC()],
		Gaps: account.gapsIn(query), Incomplete: trimmed,
	}
	lines := map[lineID]almondcross.UsageLineConfig{}
	for _, batch := range account.batches {
		if !hourOf(batch).Equal(from) {
			continue
		}
		config.Incomplete = config.Incomplete || batch.Incomplete()
		for _, line := range batch.Lines() {
			id := lineID{entry: line.Entry(), owner: line.Owner()}
			lines[id] = addLines(lines[id], line.Config())
		}
	}
	if trimmed {
		config.Gaps = append(config.Gaps, almondcross.NewAccountGap(almondcross.AccountGapConfig{
			DataCentre: dataCentre, After: from.UTC(),
		}))
	}
	config.Incomplete = config.Incomplete || len(config.Gaps) > 0
	for id, line := range lines {
		line.Entry, line.Owner = id.entry, id.owner
		config.Lines = append(config.Lines, almondcross.NewUsageLine(line))
	}
	return almondcross.NewUsageHour(config), nil
}

// mayBeTrimmed reports whether the log may have trimmed batches that were appended at or after a time.
func (reporter Reporter) mayBeTrimmed(ctx context.Context, dataCentre string, from time.Time) (bool, error) {
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

// readRolledUpHours returns the rolled-up hours of a period without duplicates. A roll-up is appended after the
// end of its hour and again before the log trims it; the one with the most batches is used.
func (reporter Reporter) readRolledUpHours(
	ctx context.Context, dataCentre string, query almondcross.ShareQuery,
) ([]almondcross.UsageHour, error) {
	stream := almondcross.AccountHoursStream(dataCentre)
	from, err := reporter.findOffset(ctx, stream, query.From())
	if err != nil {
		return nil, err
	}
	hoursByStart := map[time.Time]almondcross.UsageHour{}
	for {
		batch, err := reporter.config.Reader.Read(ctx, stream, from, readLimit, 0)
		if err != nil {
			return nil, errors.Annotatef(err, "reading the rolled-up account of %s", dataCentre)
		}
		for _, record := range batch.Records() {
			hour, err := reporter.config.Codec.DecodeUsageHour(record)
			if err != nil || !hour.From().Before(query.To()) || !query.From().Before(hour.To()) {
				continue
			}
			if existing, ok := hoursByStart[hour.From().UTC()]; !ok || hour.Batches() > existing.Batches() {
				hoursByStart[hour.From().UTC()] = hour
			}
		}
		if batch.Next() <= from || batch.Next() >= batch.End() {
			break
		}
		from = batch.Next()
	}
	hours := make([]almondcross.UsageHour, 0, len(hoursByStart))
	for _, hour := range hoursByStart {
		hours = append(hours, hour)
	}
	return hours, nil
}

func hourOf(batch almondcross.UsageBatch) time.Time {
	return batch.From().UTC().Truncate(almondcross.RollUpPeriod)
}

// batchCounts returns the number of batches of each hour, by the start of the hour.
func (account account) batchCounts() map[time.Time]int {
	counts := map[time.Time]int{}
	for _, batch := range account.batches {
		counts[hourOf(batch)]++
	}
	return counts
}

// withRolledUpHours returns an account that uses the roll-up of an hour instead of its batches, if the roll-up
// sums up more batches than the log still has or the log has none. An hour is never counted from both.
func (account account) withRolledUpHours(hours []almondcross.UsageHour) account {
	counts := account.batchCounts()
	account.rolledUpHours = map[time.Time]almondcross.UsageHour{}
	for _, hour := range hours {
		from := hour.From().UTC()
		if count := counts[from]; hour.Batches() > count || count == 0 {
			account.rolledUpHours[from] = hour
		}
		if hour.Batches() > 0 && hour.To().After(account.freshAt) {
			account.freshAt = hour.To()
		}
	}
	return account
}

// isRolledUp reports whether a gap lies in hours that are reported from their roll-ups. These list their own
// gaps; a gap between the batches may only result from trimming of the stream.
func (account account) isRolledUp(gap gap) bool {
	if gap.to.IsZero() || len(account.rolledUpHours) == 0 {
		return false
	}
	for hour := gap.from.UTC().Truncate(almondcross.RollUpPeriod); hour.Before(gap.to); hour = hour.Add(almondcross.RollUpPeriod) {
		if _, ok := account.rolledUpHours[hour]; !ok {
			return false
		}
	}
	return true
}

// intervalUsageOf returns the usage of a rolled-up hour as one interval.
func intervalUsageOf(hour almondcross.UsageHour) intervalUsage {
	result := intervalUsage{lines: map[lineID]almondcross.UsageLineConfig{}, incomplete: hour.Incomplete()}
	for _, line := range hour.Lines() {
		result.lines[lineID{entry: line.Entry(), owner: line.Owner()}] = line.Config()
	}
	return result
}

// uniqueGaps removes duplicates; a gap across the end of an hour is part of two roll-ups.
func uniqueGaps(gaps []almondcross.AccountGap) []almondcross.AccountGap {
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
