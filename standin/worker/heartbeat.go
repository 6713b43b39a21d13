package worker

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/exchanger"
	"github.com/almondcross/almondcross/standin/answerer"
)

// sendHeartbeats registers the worker in the live list and repeats the registration as a heartbeat
// until the context ends. A failed heartbeat is counted and retried after heartbeatInterval.
func (worker *Worker) sendHeartbeats(ctx context.Context) error {
	exchange := exchanger.New(exchanger.Config{Connections: 1, Timeout: heartbeatInterval})
	defer exchange.Close()
	failures := worker.config.Metrics.GetOrCreateCounter("almondcross_worker_heartbeat_failures_total")
	address := "http://" + worker.config.LiveList + "/v1/live/" + url.PathEscape(worker.config.Name)
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		host := encoder.PlatformHost{
			DataCentre: worker.config.DataCentre, Rack: worker.config.Rack, Address: worker.Address(),
			State: string(worker.hostState(ctx)), TTLMs: heartbeatTTL.Milliseconds(),
		}
		var done encoder.WorkerEmptyResponse
		if exchange.Do(ctx, 0, http.MethodPut, address, host, &done) != nil {
			failures.Inc()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// hostState returns the state to register: HostLeaving if the duty reports that the worker is
// leaving, else HostLive.
func (worker *Worker) hostState(ctx context.Context) almondcross.HostState {
	responses := make(chan answerer.Response, 1)
	if worker.state.messages.Put(ctx, readState{responses: responses, internal: true}) != nil {
		return almondcross.HostLive
	}
	select {
	case response := <-responses:
		if workerstate, ok := response.Body.(encoder.WorkerState); ok && workerstate.Leaving {
			return almondcross.HostLeaving
		}
	case <-ctx.Done():
	}
	return almondcross.HostLive
}
