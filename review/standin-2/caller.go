package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross/platform/translator"
)

const (
	// callTimeout is how long callers wait for a response.
	callTimeout = 3 * time.Second
	// attempts is the number of times that a caller sends a request.
	attempts = 5
)

// call sends a request of a caller to a host, and returns the status, 0 for no response, and the state in the response.
func (cell *cell) call(ctx context.Context, host, method, path string, body []byte) (status int, state string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = queueHost
	request.Header.Set(translator.DeadlineHeader, fmt.Sprint(callTimeout.Milliseconds()))
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }() // The body was read.
	source, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(source, &answer) // A refusal has no state.
	return response.StatusCode, answer.State
}

// submit hands in the job of a body file of the case's folder, and repeats the request as callers do until it is accepted.
func (cell *cell) submit(ctx context.Context, prefix, file string, behaviour task) (id string, err error) {
	body, err := os.ReadFile(filepath.Join(cell.options.folder, file))
	if err != nil {
		return "", errors.Trace(err)
	}
	id = fmt.Sprintf("%016x", rand.Uint64()) //nolint:gosec // The identity needs no secrecy.
	jobs := maps.Clone(*cell.jobs.Load())
	jobs[id] = behaviour
	cell.jobs.Store(&jobs)
	for attempt := range attempts {
		host := cell.hosts[attempt%len(cell.hosts)]
		status, state := cell.call(ctx, host, http.MethodPost, prefix+id, body)
		cell.record.line("POST %s%s (%s) at %s: %d %s", prefix, id, file, host, status, state)
		if status == http.StatusOK {
			return id, nil
		}
		if !pause(ctx, time.Second) {
			break
		}
	}
	return "", errors.Errorf("job %s of %s was not accepted", id, file)
}

// stateOf asks the hosts in turn for the state of a job until one answers. A job that a host does not know has status 410.
func (cell *cell) stateOf(ctx context.Context, prefix, id string) (status int, state string) {
	for _, host := range cell.hosts {
		status, state = cell.call(ctx, host, http.MethodGet, prefix+id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			break
		}
	}
	cell.record.line("GET %s%s: %d %s", prefix, id, status, state)
	return status, state
}
