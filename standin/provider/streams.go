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
	// recordOverhead covers the field names, offset and time of an encoded record.
	recordOverhead = 128
	maxBatchBytes  = encoder.MaxPlatformBody - 4096
	defaultLimit   = 1000
	maxHeldAnswers = 4096
	maxAppends     = 1 << 20
)

// streamsMessage is a message for the duty that owns the streams.
type streamsMessage interface {
	apply(streams *streams, now time.Time)
}

type appendRecords struct {
	stream  string
	records []encoder.PlatformRecord
	answers chan<- answerer.Answer
}

type readRecords struct {
	stream  string
	from    int64
	limit   int
	wait    time.Duration
	answers chan<- answerer.Answer
}

type findEnd struct {
	stream  string
	answers chan<- answerer.Answer
}

type listAppends struct {
	after   int
	answers chan<- answerer.Answer
}

type switchLog struct {
	change  *encoder.PlatformSwitches
	answers chan<- answerer.Answer
}

// stream is the kept records of one stream; oldest is the offset of the first of them.
type stream struct {
	oldest  int64
	records []encoder.PlatformRecord
}

func (stream *stream) end() int64 { return stream.oldest + int64(len(stream.records)) }

type readWaiter struct {
	read     readRecords
	deadline time.Time
}

type heldAnswer struct {
	answers chan<- answerer.Answer
	answer  answerer.Answer
}

// streams is the duty that owns the log.
type streams struct {
	config   Config
	messages *ring.Ring[streamsMessage]
	table    map[string]*stream
	waiters  []readWaiter
	switches encoder.PlatformSwitches
	held     []heldAnswer
	appends  []encoder.PlatformAppendEntry
	dropped  int

	appended *metrics.Counter
	refused  *metrics.Counter
	lost     *metrics.Counter
	trimmed  *metrics.Counter
}

func newStreams(config Config) *streams {
	return &streams{
		config:   config,
		messages: newRing[streamsMessage](config, "provider_streams"),
		table:    make(map[string]*stream),
		appended: config.Metrics.GetOrCreateCounter("almondcross_provider_records_appended_total"),
		refused:  config.Metrics.GetOrCreateCounter("almondcross_provider_refused_total"),
		lost:     config.Metrics.GetOrCreateCounter("almondcross_provider_answers_lost_total"),
		trimmed:  config.Metrics.GetOrCreateCounter("almondcross_provider_records_trimmed_total"),
	}
}

func (streams *streams) run(ctx context.Context) error {
	timer := time.NewTimer(farAway)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-streams.messages.Messages():
			now := time.Now()
			streams.trimOld(now)
			message.apply(streams, now)
		case now := <-timer.C:
			streams.trimOld(now)
			streams.expire(now)
		}
		timer.Reset(time.Until(streams.deadline(time.Now())))
	}
}

// deadline returns the time of the first waiter or the first record that ends by age.
func (streams *streams) deadline(now time.Time) time.Time {
	first := now.Add(farAway)
	for _, waiter := range streams.waiters {
		if waiter.deadline.Before(first) {
			first = waiter.deadline
		}
	}
	if streams.config.KeepFor == 0 {
		return first
	}
	for _, stream := range streams.table {
		if len(stream.records) == 0 {
			continue
		}
		if end := time.UnixMicro(stream.records[0].AppendedUs).Add(streams.config.KeepFor); end.Before(first) {
			first = end
		}
	}
	return first
}

func (streams *streams) stream(name string) *stream {
	found, ok := streams.table[name]
	if !ok {
		found = &stream{oldest: encoder.FirstPlatformOffset}
		streams.table[name] = found
	}
	return found
}

func (appendrecords appendRecords) apply(streams *streams, now time.Time) {
	if streams.isDown(appendrecords.answers) || streams.isMalformed(appendrecords) {
		return
	}
	stream := streams.stream(appendrecords.stream)
	first := stream.end()
	ids := make([]string, 0, len(appendrecords.records))
	for position, record := range appendrecords.records {
		record.Offset = first + int64(position)
		record.AppendedUs = now.UnixMicro()
		stream.records = append(stream.records, record)
		ids = append(ids, record.ID)
	}
	streams.appended.Add(len(ids))
	lose := streams.takeLoss()
	streams.record(encoder.PlatformAppendEntry{
		AtUs: now.UnixMicro(), Stream: appendrecords.stream, FirstOffset: first, IDs: ids, AnswerLost: lose,
	})
	streams.trimCount(stream)
	streams.answer(appendrecords.answers, answerer.Answer{Body: encoder.PlatformAppended{FirstOffset: first}, Abort: lose})
	streams.wake(appendrecords.stream)
}

func (streams *streams) isDown(answers chan<- answerer.Answer) bool {
	if !streams.switches.Down {
		return false
	}
	streams.refused.Inc()
	answers <- answerer.Refusal(http.StatusServiceUnavailable, encoder.PlatformDown, "the log takes no requests")
	return true
}

func (streams *streams) isMalformed(message appendRecords) bool {
	if len(message.records) == 0 {
		message.answers <- answerer.Refusal(http.StatusBadRequest, encoder.PlatformInvalid, "an append needs a record")
		return true
	}
	for _, record := range message.records {
		if len(record.ID) > maxRecordID || encodedBytes(record) > maxBatchBytes {
			message.answers <- answerer.Refusal(
				http.StatusRequestEntityTooLarge, encoder.PlatformTooLarge, "a record is too large to be read back")
			return true
		}
	}
	return false
}

// encodedBytes bounds the size of a record in JSON: base64 takes 4 bytes for 3, and a character of
// the id takes up to 6 bytes when it is escaped.
func encodedBytes(record encoder.PlatformRecord) int {
	return (len(record.Body)+2)/3*4 + 6*len(record.ID) + recordOverhead
}

func (streams *streams) takeLoss() bool {
	if streams.switches.LoseAnswers == 0 {
		return false
	}
	if streams.switches.LoseAnswers > 0 {
		streams.switches.LoseAnswers--
	}
	streams.lost.Inc()
	return true
}

func (streams *streams) record(entry encoder.PlatformAppendEntry) {
	if len(streams.appends) == maxAppends {
		streams.dropped++
		return
	}
	entry.Index = len(streams.appends) + 1
	streams.appends = append(streams.appends, entry)
}

func (readrecords readRecords) apply(streams *streams, now time.Time) {
	if streams.isDown(readrecords.answers) {
		return
	}
	if streams.tryRead(readrecords, readrecords.wait == 0) {
		return
	}
	streams.waiters = append(streams.waiters, readWaiter{read: readrecords, deadline: now.Add(readrecords.wait)})
}

// tryRead answers a read when there are records, when the offset is trimmed, or when it must answer.
func (streams *streams) tryRead(read readRecords, must bool) bool {
	stream := streams.stream(read.stream)
	from := max(read.from, encoder.FirstPlatformOffset)
	if from < stream.oldest {
		streams.answer(read.answers, answerer.Answer{Status: http.StatusGone, Body: encoder.PlatformFailure{
			Code: encoder.PlatformTrimmed, Message: "the offset is no longer kept", Oldest: stream.oldest,
		}})
		return true
	}
	if from >= stream.end() && !must {
		return false
	}
	records := stream.take(from, read.limit)
	streams.answer(read.answers, answerer.Answer{Body: encoder.PlatformBatch{
		Records: records, Next: from + int64(len(records)), End: stream.end(),
	}})
	return true
}

// take returns a copy of the records from an offset on, up to a limit and the bound of a body.
func (stream *stream) take(from int64, limit int) []encoder.PlatformRecord {
	taken := []encoder.PlatformRecord{}
	if limit <= 0 || limit > defaultLimit {
		limit = defaultLimit
	}
	bytes := 0
	for offset := from; offset < stream.end() && len(taken) < limit; offset++ {
		record := stream.records[offset-stream.oldest]
		bytes += encodedBytes(record)
		if bytes > maxBatchBytes {
			break
		}
		taken = append(taken, record)
	}
	return taken
}

// wake answers the waiters of a stream that now have something to read.
func (streams *streams) wake(name string) {
	kept := streams.waiters[:0]
	for _, waiter := range streams.waiters {
		if waiter.read.stream != name || !streams.tryRead(waiter.read, false) {
			kept = append(kept, waiter)
		}
	}
	streams.keep(kept)
}

// expire answers the waiters whose time is over.
func (streams *streams) expire(now time.Time) {
	kept := streams.waiters[:0]
	for _, waiter := range streams.waiters {
		if now.Before(waiter.deadline) || !streams.tryRead(waiter.read, true) {
			kept = append(kept, waiter)
		}
	}
	streams.keep(kept)
}

func (streams *streams) keep(kept []readWaiter) {
	clear(streams.waiters[len(kept):])
	streams.waiters = kept
}

func (findend findEnd) apply(streams *streams, _ time.Time) {
	if streams.isDown(findend.answers) {
		return
	}
	stream := streams.stream(findend.stream)
	streams.answer(findend.answers, answerer.Answer{Body: encoder.PlatformEnd{Oldest: stream.oldest, End: stream.end()}})
}

func (listappends listAppends) apply(streams *streams, _ time.Time) {
	from := min(max(listappends.after, 0), len(streams.appends))
	to, bytes := from, 0
	for to < len(streams.appends) {
		for _, id := range streams.appends[to].IDs {
			bytes += 6*len(id) + 3
		}
		bytes += recordOverhead + 6*len(streams.appends[to].Stream)
		if bytes > maxBatchBytes {
			break
		}
		to++
	}
	listappends.answers <- answerer.Answer{Body: encoder.PlatformAppends{
		Appends: append([]encoder.PlatformAppendEntry{}, streams.appends[from:to]...),
		Next:    to, Total: len(streams.appends), Dropped: streams.dropped,
	}}
}

func (switchlog switchLog) apply(streams *streams, _ time.Time) {
	if switchlog.change != nil {
		streams.switches = *switchlog.change
		streams.config.Logger.WithFields(logrus.Fields{"switches": streams.switches}).Info("log switches changed")
		if streams.switches.Down {
			streams.refuseWaiters()
		}
		if !streams.switches.HoldAnswers {
			streams.releaseHeld()
		}
	}
	switchlog.answers <- answerer.Answer{Body: streams.switches}
}

func (streams *streams) refuseWaiters() {
	for _, waiter := range streams.waiters {
		streams.isDown(waiter.read.answers)
	}
	streams.keep(streams.waiters[:0])
}

func (streams *streams) releaseHeld() {
	for _, held := range streams.held {
		held.answers <- held.answer
	}
	streams.held = nil
}

// answer passes on an answer, delayed or held as the switches say. The oldest held answers are
// aborted when too many wait, which the client sees as a broken connection.
func (streams *streams) answer(answers chan<- answerer.Answer, answer answerer.Answer) {
	answer.Delay = time.Duration(streams.switches.DelayMs) * time.Millisecond
	if !streams.switches.HoldAnswers {
		answers <- answer
		return
	}
	if len(streams.held) == maxHeldAnswers {
		streams.held[0].answers <- answerer.Answer{Abort: true}
		streams.held = streams.held[1:]
	}
	streams.held = append(streams.held, heldAnswer{answers: answers, answer: answer})
}

func (streams *streams) trimCount(stream *stream) {
	if keep := streams.config.KeepRecords; keep > 0 && len(stream.records) > keep {
		streams.trim(stream, len(stream.records)-keep)
	}
}

func (streams *streams) trimOld(now time.Time) {
	if streams.config.KeepFor == 0 {
		return
	}
	limit := now.Add(-streams.config.KeepFor).UnixMicro()
	for _, stream := range streams.table {
		count := 0
		for count < len(stream.records) && stream.records[count].AppendedUs <= limit {
			count++
		}
		streams.trim(stream, count)
	}
}

// trim removes the first records. They are cleared so that their bodies can be collected.
func (streams *streams) trim(stream *stream, count int) {
	clear(stream.records[:count])
	stream.records = stream.records[count:]
	stream.oldest += int64(count)
	streams.trimmed.Add(count)
}
