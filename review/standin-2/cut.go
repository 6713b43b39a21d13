package main

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// cuttable serves calls unless it is cut off: a call that arrives meanwhile is not carried out, and neither it nor one whose answer is
// due meanwhile gets a response.
type cuttable struct {
	handler http.Handler
	cut     atomic.Bool
}

// ServeHTTP serves a call.
func (cuttable *cuttable) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	answer := &heldAnswer{header: http.Header{}, status: http.StatusOK}
	if !cuttable.cut.Load() {
		cuttable.handler.ServeHTTP(answer, request)
	}
	if cuttable.cut.Load() {
		<-request.Context().Done() // The caller gives up.
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(answer.status)
	_, _ = writer.Write(answer.body) // The caller may have left.
}

// heldAnswer is an answer that has not been sent.
type heldAnswer struct {
	header http.Header
	status int
	body   []byte
}

// Header returns the header.
func (heldanswer *heldAnswer) Header() http.Header { return heldanswer.header }

// WriteHeader sets the status.
func (heldanswer *heldAnswer) WriteHeader(status int) { heldanswer.status = status }

// Write adds to the body.
func (heldanswer *heldAnswer) Write(part []byte) (int, error) {
	heldanswer.body = append(heldanswer.body, part...)
	return len(part), nil
}

// cutOffTwice cuts a worker off from hosts and store twice, the second time while the first cut
// lasts. The first one begins shortly before an announcement of the worker.
func (cell *cell) cutOffTwice(ctx context.Context, worker *worker) {
	pause(ctx, time.Until(*worker.nextBeat.Load())-100*time.Millisecond)
	cell.record.line("worker %s is cut off for %s", worker.ID, cutTime)
	worker.gate.cut.Store(true)
	pause(ctx, secondCut)
	cell.record.line("worker %s is cut off for %s, while the first cut lasts", worker.ID, cutTime)
	pause(ctx, cutTime)
	worker.gate.cut.Store(false)
	cell.record.line("worker %s is reachable again", worker.ID)
}
