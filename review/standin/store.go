package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	appendTime   = 4 * time.Millisecond // appendTime is append_ms of the settings.
	pollTime     = 2 * time.Millisecond
	maxPageItems = 500
	maxPageBytes = 1 << 20
	rememberedN  = 5 // rememberedN is the number of appends of a producer that are recognised when repeated.
)

// appended is the response to an append.
type appended struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// producer is what a partition knows of one producer.
type producer struct {
	epoch, sequence int64
	started         bool // started is set once the epoch has a sequence number.
	answers         map[int64]appended
}

// partition is one partition of a topic. Nothing expires: keep_s is longer than a run.
type partition struct {
	records   [][]byte
	producers map[string]*producer
}

// store is the platform's log store.
type store struct {
	lock       sync.Mutex
	partitions map[string]*partition
}

func newStore() *store { return &store{partitions: map[string]*partition{}} }

func (s *store) partition(topic, part string) *partition {
	key := topic + "/" + part
	if s.partitions[key] == nil {
		s.partitions[key] = &partition{producers: map[string]*producer{}}
	}
	return s.partitions[key]
}

// put appends a keyed record, as the operator and the workers do.
func (s *store) put(topic, key string, value []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	p := s.partition(topic, "0")
	p.records = append(p.records, append(append([]byte{byte(len(key))}, key...), value...))
}

// door is the store as one machine reaches it.
type door struct {
	store *store
	away  atomic.Bool // away is set while the store turns the machine away with 503.
}

func (d *door) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if d.away.Load() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch request.URL.Path {
	case wire["append"]:
		d.append(writer, request)
	case wire["read"]:
		d.read(writer, request)
	case wire["newest"]:
		d.newest(writer, request)
	default:
		writer.WriteHeader(http.StatusNotFound)
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}

func number(text string) int64 {
	value, _ := strconv.ParseInt(text, 10, 64)
	return value
}

func (d *door) append(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) > 0 {
		size := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	time.Sleep(appendTime)
	query := request.URL.Query()
	d.store.lock.Lock()
	defer d.store.lock.Unlock()
	p := d.store.partition(query.Get("topic"), query.Get("part"))
	end := int64(len(p.records))
	name, epoch, sequence := query.Get("producer"), number(query.Get("epoch")), number(query.Get("sequence"))
	known := p.producers[name]
	if name != "" && known != nil {
		if epoch < known.epoch {
			answer(writer, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if first, found := known.answers[sequence]; found && epoch == known.epoch && len(records) > 0 {
			answer(writer, http.StatusOK, first)
			return
		}
	}
	if query.Has("at") && number(query.Get("at")) != end {
		answer(writer, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	if name != "" {
		if known == nil || epoch > known.epoch {
			known = &producer{epoch: epoch, answers: map[int64]appended{}}
			p.producers[name] = known
		}
		if len(records) > 0 {
			if known.started && sequence != known.sequence+1 {
				answer(writer, http.StatusConflict, map[string]any{"reason": "seq", "sequence": known.sequence + 1})
				return
			}
			known.started, known.sequence = true, sequence
		}
	}
	p.records = append(p.records, records...)
	result := appended{Offset: end, End: int64(len(p.records))}
	if known != nil && name != "" && len(records) > 0 {
		known.answers[sequence] = result
		delete(known.answers, sequence-rememberedN)
	}
	answer(writer, http.StatusOK, result)
}

func (d *door) read(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	deadline := time.Now().Add(time.Duration(number(query.Get("wait_ms"))) * time.Millisecond)
	limit := int64(1024)
	if query.Has("max_kb") {
		limit = number(query.Get("max_kb"))
	}
	from := number(query.Get("from"))
	for request.Context().Err() == nil {
		if d.away.Load() {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.store.lock.Lock()
		records := d.store.partition(query.Get("topic"), query.Get("part")).records
		d.store.lock.Unlock()
		if int64(len(records)) > from || !time.Now().Before(deadline) {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			size := int64(0)
			for index := from; index < int64(len(records)); index++ {
				if size += int64(len(records[index])); size > limit<<10 && index > from {
					break
				}
				data = binary.BigEndian.AppendUint32(data, uint32(len(records[index])))
				data = append(data, records[index]...)
			}
			_, _ = writer.Write(data)
			return
		}
		time.Sleep(pollTime)
	}
}

func (d *door) newest(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	d.store.lock.Lock()
	records := d.store.partition(query.Get("topic"), query.Get("part")).records
	d.store.lock.Unlock()
	items := map[string]item{}
	for offset, record := range records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(items, key)
			continue
		}
		items[key] = item{Key: key, Value: base64.StdEncoding.EncodeToString(value), Offset: int64(offset)}
	}
	keys := make([]string, 0, len(items))
	for key := range items {
		if strings.Compare(key, query.Get("after")) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page, size, truncated := []item{}, 0, false
	for _, key := range keys {
		if size += len(items[key].Value); len(page) == maxPageItems || size > maxPageBytes && len(page) > 0 {
			truncated = true
			break
		}
		page = append(page, items[key])
	}
	answer(writer, http.StatusOK, map[string]any{"items": page, "truncated": truncated, "end": len(records)})
}
