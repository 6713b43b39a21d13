package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond // heartbeat is the interval of announcements in the settings.
	maxHold   = 10 * time.Second        // maxHold is max_hold_ms.
	stopTime  = 200 * time.Millisecond  // stopTime is how long a stop takes, less than stop_ms.
	tick      = 5 * time.Millisecond
)

// run is a task at work.
type run struct {
	task    string
	number  int
	started time.Time
	length  time.Duration
	fails   bool
	stopAt  time.Time
}

// worker is one runner. It answers as PROTOCOL.md says and never does more.
type worker struct {
	id, address string
	kind        string // kind is the label of the worker's kind.
	capacity    map[string]int
	store       *store
	record      *record
	server      *http.Server

	lock     sync.Mutex
	born     time.Time
	fence    int64
	leaseEnd int64
	running  map[string]*run
	last     map[string]int // last is the highest run of each task that was stopped or has ended.
	ended    [][]any
	counter  int
	beats    int
	up       bool
	grey     float64 // grey is the share of the calls that are reset without an effect.
}

func newWorker(id, address string, store *store, record *record) *worker {
	return &worker{id: id, address: address, kind: "a", store: store, record: record, capacity: map[string]int{"cpu": 16000, "mem_mb": 32768, "gpus": 0}}
}

// start begins a life: it listens, announces itself and runs until crash.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.lock.Lock()
	w.born, w.fence, w.leaseEnd, w.running, w.last, w.ended, w.counter, w.beats, w.up = time.Now(), 0, 0, map[string]*run{}, map[string]int{}, nil, 0, 0, true
	w.server = &http.Server{Handler: w}
	server, born := w.server, w.born
	w.lock.Unlock()
	go func() { _ = server.Serve(listener) }()
	go w.live(born)
	w.record.line("worker %s is up", w.id)
	return nil
}

// crash ends a life: nothing runs, connections are reset, the port refuses.
func (w *worker) crash() {
	w.lock.Lock()
	var lost []string
	for name, run := range w.running {
		lost = append(lost, fmt.Sprintf("%s run %d", name, run.number))
		w.record.ended(name, run.number, "crash")
	}
	w.up, w.running = false, map[string]*run{}
	server := w.server
	w.lock.Unlock()
	_ = server.Close()
	w.record.line("worker %s crashes under [%s]", w.id, strings.Join(lost, ", "))
}

func (w *worker) live(born time.Time) {
	beatAt := time.Now()
	silentFor := 0
	for {
		w.lock.Lock()
		if !w.born.Equal(born) {
			w.lock.Unlock()
			return // A new life has begun, which announces itself.
		}
		up := w.up
		if up {
			w.advance()
		}
		w.lock.Unlock()
		if !time.Now().Before(beatAt) {
			beatAt = time.Now().Add(heartbeat)
			if up {
				w.announce()
			} else if silentFor++; silentFor == 3 {
				w.store.put("keyed.servers", w.id, nil) // Three intervals of silence.
				return
			}
		}
		time.Sleep(tick)
	}
}

func (w *worker) announce() {
	w.lock.Lock()
	w.beats++
	entry, _ := json.Marshal(map[string]any{
		"service": "register-svc", "addr": w.address, "zone": "kamloops-a", "version": "v1", "slots": 8, "state": "ready", wire["cold"]: 0,
		"capacity": w.capacity, "labels": []string{w.kind, "r1-1"}, "clock_ms": w.clock(), "sequence": w.beats, "born": w.born.UnixMilli(),
	})
	w.lock.Unlock()
	w.store.put("keyed.servers", w.id, entry)
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1000 }

// advance ends what is due.
func (w *worker) advance() {
	now := time.Now()
	for name, run := range w.running {
		switch {
		case w.clock() >= w.leaseEnd:
			w.end(name, run, "lapsed")
		case !run.stopAt.IsZero() && now.After(run.stopAt):
			w.end(name, run, "stopped")
		case now.Sub(run.started) >= run.length && run.fails:
			w.end(name, run, "failed")
		case now.Sub(run.started) >= run.length:
			w.end(name, run, "done")
		}
	}
}

func (w *worker) end(name string, run *run, how string) {
	delete(w.running, name)
	w.last[name] = max(w.last[name], run.number)
	w.counter++
	w.ended = append(w.ended, []any{w.counter, name, run.number, how, ""})
	w.record.ended(name, run.number, how)
	w.record.line("worker %s: %s run %d ends %s", w.id, name, run.number, how)
}

// order holds the fields of all calls.
type order struct {
	Task           string `json:"task"`
	Run            int    `json:"run"`
	Spec           string `json:"spec"`
	WaitMS         int64  `json:"wait_ms"`
	UntilMS, Fence int64  `json:"-"`
	Acked          int    `json:"-"`
}

// UnmarshalJSON decodes a call.
func (o *order) UnmarshalJSON(source []byte) error {
	type plain order
	var values map[string]any
	if err := json.Unmarshal(source, (*plain)(o)); err != nil {
		return err
	}
	if err := json.Unmarshal(source, &values); err != nil {
		return err
	}
	whole := func(name string) int64 {
		value, _ := values[wire[name]].(float64)
		return int64(value)
	}
	o.UntilMS, o.Fence, o.Acked = whole("until"), whole("fence"), int(whole("acknowledged"))
	return nil
}

func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var call order
	if json.NewDecoder(request.Body).Decode(&call) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if expected := request.Header.Get(wire["instance"]); expected != "" && expected != w.id {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline := time.Now().Add(time.Duration(call.WaitMS) * time.Millisecond)
	for first := true; request.Context().Err() == nil; first = false {
		w.lock.Lock()
		if !w.up || first && rand.Float64() < w.grey {
			w.lock.Unlock()
			panic(http.ErrAbortHandler) // Closes the connection without an answer.
		}
		status, body, waits := w.handle(request.URL.Path, call, first)
		w.lock.Unlock()
		if !waits || !time.Now().Before(deadline) {
			answer(writer, status, body)
			return
		}
		time.Sleep(tick)
	}
}

// handle carries out a call and reports whether a hold may go on waiting for an end.
func (w *worker) handle(path string, call order, first bool) (status int, body map[string]any, waits bool) {
	w.advance()
	body = map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	if call.Fence < w.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body, false
	}
	w.fence = call.Fence
	if first && call.UntilMS > 0 {
		w.leaseEnd = max(w.leaseEnd, min(call.UntilMS, w.clock()+maxHold.Milliseconds()))
	}
	switch path {
	case wire["start"]:
		if reason := w.begin(call); reason != "" {
			body["reason"] = reason
			return http.StatusConflict, body, false
		}
	case wire["stop"]:
		if current := w.running[call.Task]; current != nil && current.number == call.Run {
			if current.stopAt.IsZero() {
				current.stopAt = time.Now().Add(stopTime)
			}
		} else {
			w.last[call.Task] = max(w.last[call.Task], call.Run)
		}
	case wire["hold"]:
		for len(w.ended) > 0 && w.ended[0][0].(int) <= call.Acked {
			w.record.noted(w.ended[0][1].(string), w.ended[0][2].(int), w.ended[0][3].(string))
			w.ended = w.ended[1:]
		}
		rows := [][]any{}
		for name, run := range w.running {
			rows = append(rows, []any{name, run.number, "", min(99, int(100*time.Since(run.started)/run.length)), 0})
		}
		body[wire["running"]], body["ended"] = rows, w.ended[:min(len(w.ended), 500)]
		if w.ended == nil {
			body["ended"] = [][]any{}
		}
		return http.StatusOK, body, len(w.ended) == 0
	default:
		return http.StatusNotFound, body, false
	}
	return http.StatusOK, body, false
}

func (w *worker) begin(call order) string {
	if call.UntilMS <= w.clock() {
		return "late"
	}
	current := w.running[call.Task]
	if current != nil && current.number == call.Run {
		return ""
	}
	if current != nil || call.Run <= w.last[call.Task] {
		return "old"
	}
	var spec struct {
		RunMS int  `json:"run_ms"`
		Fails bool `json:"fails"`
	}
	_ = json.Unmarshal([]byte(call.Spec), &spec)
	w.running[call.Task] = &run{task: call.Task, number: call.Run, started: time.Now(), length: time.Duration(spec.RunMS) * time.Millisecond, fails: spec.Fails}
	w.record.started(call.Task, call.Run, w.id)
	w.record.line("worker %s: %s run %d starts", w.id, call.Task, call.Run)
	return ""
}

// setGrey sets the share of the calls that are reset without an effect.
func (w *worker) setGrey(share float64) {
	w.lock.Lock()
	w.grey = share
	w.lock.Unlock()
	w.record.line("worker %s resets %.0f%% of its calls", w.id, 100*share)
}
