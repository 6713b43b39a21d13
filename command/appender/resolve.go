package appender

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// readLimit is the maximum number of records in one read of the stream.
const readLimit = 1000

// resultOf returns the result that an append error stands for. Only an explicit refusal proves that the
// log did not store the records.
func resultOf(err error) almondcross.AppendResult {
	if errors.Is(err, almondcross.ErrLogRefused) {
		return almondcross.AppendRefused
	}
	return almondcross.AppendUncertain
}

// resolveUncertain determines which requests of an append without a response took effect: it reads the stream,
// retries the append once with the same IDs, and reads again. The records of a request that is still not found
// may be stored later, so the request is answered as uncertain.
func (appender *Appender) resolveUncertain(ctx context.Context, batch []request) {
	ctx, cancel := context.WithTimeout(ctx, appender.config.ResolveTimeout)
	defer cancel()
	scanFrom := appender.scanFrom
	batch = appender.answerFound(ctx, batch, scanFrom)
	if len(batch) == 0 {
		return // The append succeeded and only its response was lost.
	}
	appender.setDown(true, appender.lastErr)
	if first, result := appender.append(ctx, flatten(batch)); result == almondcross.AppendAccepted {
		appender.counters.resolved.Add(len(batch))
		answerAccepted(batch, first)
		return
	}
	batch = appender.answerFound(ctx, batch, scanFrom)
	appender.counters.uncertain.Add(len(batch))
	answerAll(batch, almondcross.AppendUncertain)
}

// answerFound answers the requests whose records are all in the stream and returns the others.
func (appender *Appender) answerFound(ctx context.Context, batch []request, scanFrom almondcross.Offset) []request {
	wanted := map[string]bool{}
	for _, record := range flatten(batch) {
		wanted[record.ID()] = true
	}
	found := appender.find(ctx, wanted, scanFrom)
	var missing []request
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
			missing = append(missing, message)
			continue
		}
		appender.counters.resolved.Inc()
		message.answer(first, almondcross.AppendAccepted)
	}
	return missing
}

// find reads the stream from an offset and returns the offsets of the wanted IDs. It stops at the end of the
// stream, when all IDs are found, or at an error.
func (appender *Appender) find(
	ctx context.Context, wanted map[string]bool, scanFrom almondcross.Offset,
) map[string]almondcross.Offset {
	found := map[string]almondcross.Offset{}
	from := scanFrom
	for len(found) < len(wanted) {
		if from < 0 {
			oldest, _, err := appender.config.Reader.End(ctx, appender.config.Stream)
			if err != nil {
				return found
			}
			from = oldest
		}
		batch, err := appender.config.Reader.Read(ctx, appender.config.Stream, from, readLimit, 0)
		if errors.Is(err, almondcross.ErrLogTrimmed) && from == scanFrom {
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

// probe waits until the next probe is due and sends it. It refuses requests that were queued while the stream
// was being marked as down.
func (appender *Appender) probe(ctx context.Context) {
	wait := appender.lastSent.Add(appender.config.ProbeInterval).Sub(appender.config.Clock.Now())
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		select {
		case message := <-appender.ring.Messages():
			message.answer(-1, almondcross.AppendRefused)
		case <-timer.C:
			appender.probeCount++
			id := "probe/" + appender.config.Member + "/" + strconv.FormatInt(appender.config.Clock.Now().UnixNano(), 36) +
				"/" + strconv.FormatUint(appender.probeCount, 36)
			record := almondcross.NewRecord(almondcross.RecordConfig{ID: id})
			appender.append(ctx, []almondcross.Record{record})
			return
		case <-ctx.Done():
			return
		}
	}
}
