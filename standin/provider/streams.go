package provider

import (
	"context"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/answerer"
)

const (
	maxRecordID = 256
	// recordOverhead bounds the size of an encoded record without its id and body, in bytes.
	recordOverhead     = 128
	maxBatchBytes      = encoder.MaxPlatformBody - 4096
	defaultLimit       = 1000
	maxHeldResponses   = 4096
	maxRecordedAppends = 1 << 20
)

// streamsMessage is a message for the duty that owns the streams.
type streamsMessage interface {
	apply(streams *streams, now time.Time)
}

type appendRecords struct {
	stream    string
	records   []encoder.PlatformRecord
	responses chan<- answerer.Response
}

type readRecords struct {
	stream    string
	from      int64
	limit     int
	wait      time.Duration
	responses chan<- answerer.Response
}

type findEnd struct {
	stream    string
	responses chan<- answerer.Response
}

type listAppends struct {
	after     int
	responses chan<- answerer.Response
}

type changeLogFaults struct {
	newFaults *encoder.PlatformFaults
	responses chan<- answerer.Response
}

// stream holds the untrimmed records of one stream; oldest is the offset of the first one.
type stream struct {
	oldest  int64
	records []encoder.PlatformRecord
}

func (stream *stream) end() int64 { return stream.oldest + int64(len(stream.records)) }

type readWaiter struct {
	request  readRecords
	deadline time.Time
}

type heldResponse struct {
	responses chan<- answerer.Response
	response  answerer.Response
}

// streams is the duty that owns the log.
type streams struct {
	config          Config
	messages        *ring.Ring[streamsMessage]
	byName          map[string]*stream
	waiters         []readWaiter
	faults          encoder.PlatformFaults
	heldResponses   []heldResponse
	recordedAppends []encoder.PlatformAppendEntry
	droppedAppends  int

	appendedRecords  *metrics.Counter
	rejectedRequests *metrics.Counter
	lostResponses    *metrics.Counter
	trimmedRecords   *metrics.Counter
}

func newStreams(config Config) *streams {
	return &streams{
		config:           config,
		messages:         newRing[streamsMessage](config, "provider_streams"),
		byName:           make(map[string]*stream),
		appendedRecords:  config.Metrics.GetOrCreateCounter("almondcross_provider_records_appended_total"),
		rejectedRequests: config.Metrics.GetOrCreateCounter("almondcross_provider_refused_total"),
		lostResponses:    config.Metrics.GetOrCreateCounter("almondcross_provider_answers_lost_total"),
		trimmedRecords:   config.Metrics.GetOrCreateCounter("almondcross_provider_records_trimmed_total"),
	}
}

func (streams *streams) run(ctx context.Context) error {
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-streams.messages.Messages():
			now := time.Now()
			streams.trimByAge(now)
			message.apply(streams, now)
		case now := <-timer.C:
			streams.trimByAge(now)
			streams.expireWaiters(now)
		}
		timer.Reset(time.Until(streams.deadline(time.Now())))
	}
}

// deadline returns the earliest time at which a waiter times out or a record reaches its maximum age.
func (streams *streams) deadline(now time.Time) time.Time {
	earliest := now.Add(idleInterval)
	for _, waiter := range streams.waiters {
		if waiter.deadline.Before(earliest) {
			earliest = waiter.deadline
		}
	}
	if streams.config.MaxAge == 0 {
		return earliest
	}
	for _, stream := range streams.byName {
		if len(stream.records) == 0 {
			continue
		}
		if expiresAt := time.UnixMicro(stream.records[0].AppendedUs).Add(streams.config.MaxAge); expiresAt.Before(earliest) {
			earliest = expiresAt
		}
	}
	return earliest
}

func (streams *streams) getOrCreateStream(name string) *stream {
	existing, ok := streams.byName[name]
	if !ok {
		existing = &stream{oldest: encoder.FirstPlatformOffset}
		streams.byName[name] = existing
	}
	return existing
}

func (appendrecords appendRecords) apply(streams *streams, now time.Time) {
	if streams.rejectIfDown(appendrecords.responses) || streams.rejectIfMalformed(appendrecords) {
		return
	}
	stream := streams.getOrCreateStream(appendrecords.stream)
	firstOffset := stream.end()
	ids := make([]string, 0, len(appendrecords.records))
	for position, record := range appendrecords.records {
		record.Offset = firstOffset + int64(position)
		record.AppendedUs = now.UnixMicro()
		stream.records = append(stream.records, record)
		ids = append(ids, record.ID)
	}
	streams.appendedRecords.Add(len(ids))
	responseLost := streams.takeResponseLoss()
	streams.recordAppend(encoder.PlatformAppendEntry{
		AtUs: now.UnixMicro(), Stream: appendrecords.stream, FirstOffset: firstOffset, IDs: ids, ResponseLost: responseLost,
	})
	streams.trimToMaxRecords(stream)
	streams.respond(appendrecords.responses, answerer.Response{Body: encoder.PlatformAppendResponse{FirstOffset: firstOffset}, Abort: responseLost})
	streams.respondToReaders(appendrecords.stream)
}

func (streams *streams) rejectIfDown(responses chan<- answerer.Response) bool {
	if !streams.faults.Down {
		return false
	}
	streams.rejectedRequests.Inc()
	responses <- answerer.ErrorResponse(http.StatusServiceUnavailable, encoder.PlatformDown, "the log takes no requests")
	return true
}

func (streams *streams) rejectIfMalformed(message appendRecords) bool {
	if len(message.records) == 0 {
		message.responses <- answerer.ErrorResponse(http.StatusBadRequest, encoder.PlatformInvalid, "an append needs a record")
		return true
	}
	for _, record := range message.records {
		if len(record.ID) > maxRecordID || encodedBytes(record) > maxBatchBytes {
			message.responses <- answerer.ErrorResponse(
				http.StatusRequestEntityTooLarge, encoder.PlatformTooLarge, "a record is too large to be read back")
			return true
		}
	}
	return false
}

// encodedBytes returns an upper bound of the size of a record in JSON: base64 encodes 3 bytes as 4, and
// an escaped character of the id takes up to 6 bytes.
func encodedBytes(record encoder.PlatformRecord) int {
	return (len(record.Body)+2)/3*4 + 6*len(record.ID) + recordOverhead
}

func (streams *streams) takeResponseLoss() bool {
	if streams.faults.DropResponses == 0 {
		return false
	}
	if streams.faults.DropResponses > 0 {
		streams.faults.DropResponses--
	}
	streams.lostResponses.Inc()
	return true
}

func (streams *streams) recordAppend(entry encoder.PlatformAppendEntry) {
	if len(streams.recordedAppends) == maxRecordedAppends {
		streams.droppedAppends++
		return
	}
	entry.Index = len(streams.recordedAppends) + 1
	streams.recordedAppends = append(streams.recordedAppends, entry)
}

func (readrecords readRecords) apply(streams *streams, now time.Time) {
	if streams.rejectIfDown(readrecords.responses) {
		return
	}
	if streams.tryRead(readrecords, readrecords.wait == 0) {
		return
	}
	streams.waiters = append(streams.waiters, readWaiter{request: readrecords, deadline: now.Add(readrecords.wait)})
}

// tryRead responds to a read if there are records, if the offset is trimmed, or if immediate is set.
// It reports whether it responded.
func (streams *streams) tryRead(read readRecords, immediate bool) bool {
	stream := streams.getOrCreateStream(read.stream)
	from := max(read.from, encoder.FirstPlatformOffset)
	if from < stream.oldest {
		streams.respond(read.responses, answerer.Response{Status: http.StatusGone, Body: encoder.PlatformError{
			Code: encoder.PlatformTrimmed, Message: "the offset is no longer kept", Oldest: stream.oldest,
		}})
		return true
	}
	if from >= stream.end() && !immediate {
		return false
	}
	records := stream.copyRecords(from, read.limit)
	streams.respond(read.responses, answerer.Response{Body: encoder.PlatformBatch{
		Records: records, Next: from + int64(len(records)), End: stream.end(),
	}})
	return true
}

// copyRecords returns a copy of the records starting at an offset, at most limit of them and at most
// maxBatchBytes encoded.
func (stream *stream) copyRecords(from int64, limit int) []encoder.PlatformRecord {
	copied := []encoder.PlatformRecord{}
	if limit <= 0 || limit > defaultLimit {
		limit = defaultLimit
	}
	bytes := 0
	for offset := from; offset < stream.end() && len(copied) < limit; offset++ {
		record := stream.records[offset-stream.oldest]
		bytes += encodedBytes(record)
		if bytes > maxBatchBytes {
			break
		}
		copied = append(copied, record)
	}
	return copied
}

// respondToReaders responds to the waiters of a stream that can now read records.
func (streams *streams) respondToReaders(name string) {
	remaining := streams.waiters[:0]
	for _, waiter := range streams.waiters {
		if waiter.request.stream != name || !streams.tryRead(waiter.request, false) {
			remaining = append(remaining, waiter)
		}
	}
	streams.setWaiters(remaining)
}

// expireWaiters responds to the waiters whose deadline has passed.
func (streams *streams) expireWaiters(now time.Time) {
	remaining := streams.waiters[:0]
	for _, waiter := range streams.waiters {
		if now.Before(waiter.deadline) || !streams.tryRead(waiter.request, true) {
			remaining = append(remaining, waiter)
		}
	}
	streams.setWaiters(remaining)
}

func (streams *streams) setWaiters(remaining []readWaiter) {
	clear(streams.waiters[len(remaining):])
	streams.waiters = remaining
}

func (findend findEnd) apply(streams *streams, _ time.Time) {
	if streams.rejectIfDown(findend.responses) {
		return
	}
	stream := streams.getOrCreateStream(findend.stream)
	streams.respond(findend.responses, answerer.Response{Body: encoder.PlatformStreamOffsets{Oldest: stream.oldest, End: stream.end()}})
}

func (listappends listAppends) apply(streams *streams, _ time.Time) {
	from := min(max(listappends.after, 0), len(streams.recordedAppends))
	to, bytes := from, 0
	for to < len(streams.recordedAppends) {
		for _, id := range streams.recordedAppends[to].IDs {
			bytes += 6*len(id) + 3
		}
		bytes += recordOverhead + 6*len(streams.recordedAppends[to].Stream)
		if bytes > maxBatchBytes {
			break
		}
		to++
	}
	listappends.responses <- answerer.Response{Body: encoder.PlatformAppends{
		Appends: append([]encoder.PlatformAppendEntry{}, streams.recordedAppends[from:to]...),
		Next:    to, Total: len(streams.recordedAppends), Dropped: streams.droppedAppends,
	}}
}

func (changelogfaults changeLogFaults) apply(streams *streams, _ time.Time) {
	if changelogfaults.newFaults != nil {
		streams.faults = *changelogfaults.newFaults
		streams.config.Logger.WithFields(logrus.Fields{"switches": streams.faults}).Info("log faults changed")
		if streams.faults.Down {
			streams.rejectWaiters()
		}
		if !streams.faults.WithholdResponses {
			streams.releaseHeldResponses()
		}
	}
	changelogfaults.responses <- answerer.Response{Body: streams.faults}
}

func (streams *streams) rejectWaiters() {
	for _, waiter := range streams.waiters {
		streams.rejectIfDown(waiter.request.responses)
	}
	streams.setWaiters(streams.waiters[:0])
}

func (streams *streams) releaseHeldResponses() {
	for _, held := range streams.heldResponses {
		held.responses <- held.response
	}
	streams.heldResponses = nil
}

// respond sends a response, delayed or withheld as the faults require. When maxHeldResponses are already
// held, the oldest one is aborted, which the client sees as a broken connection.
func (streams *streams) respond(responses chan<- answerer.Response, response answerer.Response) {
	response.Delay = time.Duration(streams.faults.DelayMs) * time.Millisecond
	if !streams.faults.WithholdResponses {
		responses <- response
		return
	}
	if len(streams.heldResponses) == maxHeldResponses {
		streams.heldResponses[0].responses <- answerer.Response{Abort: true}
		streams.heldResponses = streams.heldResponses[1:]
	}
	streams.heldResponses = append(streams.heldResponses, heldResponse{responses: responses, response: response})
}

func (streams *streams) trimToMaxRecords(stream *stream) {
	if maxRecords := streams.config.MaxRecords; maxRecords > 0 && len(stream.records) > maxRecords {
		streams.trim(stream, len(stream.records)-maxRecords)
	}
}

func (streams *streams) trimByAge(now time.Time) {
	if streams.config.MaxAge == 0 {
		return
	}
	cutoff := now.Add(-streams.config.MaxAge).UnixMicro()
	for _, stream := range streams.byName {
		expired := 0
		for expired < len(stream.records) && stream.records[expired].AppendedUs <= cutoff {
			expired++
		}
		streams.trim(stream, expired)
	}
}

// trim removes the first count records. It clears them so that their bodies can be garbage collected.
func (streams *streams) trim(stream *stream, count int) {
	clear(stream.records[:count])
	stream.records = stream.records[count:]
	stream.oldest += int64(count)
	streams.trimmedRecords.Add(count)
}
