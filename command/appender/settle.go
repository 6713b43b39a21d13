package appender

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// readLimit is the number of records that one read of the stream asks for.
const readLimit = 1000

// resultOf returns what an error says about the records. Only an explicit refusal proves that the
// log does not have them.
func resultOf(err error) almondcross.AppendResult {
	if errors.Is(err, almondcross.ErrLogRefused) {
		return almondcross.AppendRefused
	}
	return almondcross.AppendUncertain
}

// settle finds out which requests of an unanswered append took effect: it reads the stream, repeats
// the append once with the same ids, and reads again. A request that is still not found may arrive
// later and is answered as uncertain.
func (appender *Appender) settle(ctx context.Context, batch []request) {
	ctx, cancel := context.WithTimeout(ctx, appender.config.SettleLimit)
	defer cancel()
	floor := appender.floor
	batch = appender.answerFound(ctx, batch, floor)
	if len(batch) == 0 {
		return // The append succeeded and only its answer was lost.
	}
	appender.setDown(true, appender.failure)
	if first, result := appender.append(ctx, flatten(batch)); result == almondcross.AppendTaken {
		appender.counts.settled.Add(len(batch))
		answerTaken(batch, first)
		return
	}
	batch = appender.answerFound(ctx, batch, floor)
	appender.counts.uncertain.Add(len(batch))
	answerAll(batch, almondcross.AppendUncertain)
}

// answerFound answers the requests whose records are all in the stream and returns the other ones.
func (appender *Appender) answerFound(ctx context.Context, batch []request, floor almondcross.Offset) []request {
	wanted := map[string]bool{}
	for _, record := range flatten(batch) {
		wanted[record.ID()] = true
	}
	found := appender.find(ctx, wanted, floor)
	var rest []request
	for _, message := range batch {
		first, complete := almondcross.Offset(-1), true
		for index, record := range message.records {
			offset, ok := found[record.ID()]
			complete = complete && ok
			if index == 0 {
				first = offset
			}
		}
		if !complete {
			rest = append(rest, message)
			continue
		}
		appender.counts.settled.Inc()
		message.answer(first, almondcross.AppendTaken)
	}
	return rest
}

// find returns the offsets of the wanted ids from an offset on; it stops at the end of the stream,
// when all are found, or at an error.
func (appender *Appender) find(
	ctx context.Context, wanted map[string]bool, floor almondcross.Offset,
) map[string]almondcross.Offset {
	found := map[string]almondcross.Offset{}
	from := floor
	for len(found) < len(wanted) {
		if from < 0 {
			oldest, _, err := appender.config.Reader.End(ctx, appender.config.Stream)
			if err != nil {
				return found
			}
			from = oldest
		}
		batch, err := appender.config.Reader.Read(ctx, appender.config.Stream, from, readLimit, 0)
		if errors.Is(err, almondcross.ErrLogTrimmed) && from == floor {
			from = -1
			continue
		}
		if err != nil {
			return found
		}
		for _, record := range batch.Records() {
			if _, known := found[record.ID()]; wanted[record.ID()] && !known {
				found[record.ID()] = record.Offset()
			}
		}
		if batch.Next() <= from || batch.Next() >= batch.End() {
			return found
		}
		from = batch.Next()
	}
	return found
}

// probe waits for the next probe and sends it. Requests that were accepted while the stream went
// down are refused.
func (appender *Appender) probe(ctx context.Context) {
	wait := appender.started.Add(appender.config.ProbeInterval).Sub(appender.config.Clock.Now())
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		select {
		case message := <-appender.ring.Messages():
			message.answer(-1, almondcross.AppendRefused)
		case <-timer.C:
			appender.probes++
			id := "probe/" + appender.config.Member + "/" + strconv.FormatInt(appender.config.Clock.Now().UnixNano(), 36) +
				"/" + strconv.FormatUint(appender.probes, 36)
			record := almondcross.NewRecord(almondcross.RecordConfig{ID: id})
			appender.append(ctx, []almondcross.Record{record})
			return
		case <-ctx.Done():
			return
		}
	}
}
