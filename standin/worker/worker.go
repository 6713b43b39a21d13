package worker

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/answerer"
)

const (
	ringCapacity      = 1024
	defaultRun        = 5 * time.Millisecond
	heartbeatInterval = time.Second
	heartbeatTTL      = 3 * heartbeatInterval
)

// Config holds the settings of the stand-in.
type Config struct {
	Listener   net.Listener          // Listener accepts the connections; nil to listen on Address.
	Address    string                // Address is the TCP address to listen on if Listener is nil.
	Name       string                // Name is the name of the worker in the live list.
	DataCentre string                // DataCentre is the data centre of the worker.
	Rack       string                // Rack is the rack of the worker.
	Capacity   almondcross.Resources // Capacity is the resources of the worker.
	Boot       uint64                // Boot is the boot number; 0 to use the current time in µs, which increases with each restart.
	UsageLag   time.Duration         // UsageLag is the age of the reported usage.
	DefaultRun time.Duration         // DefaultRun is the run time of a task whose payload sets none, 0 for 5 ms.
	LiveList   string                // LiveList is the address of the live list, empty to send no heartbeats.
	Metrics    *metrics.Set          // Metrics receives the counters; nil to discard them.
	Logger     *logrus.Logger        // Logger logs state changes; nil for the standard logger.
}

// Worker is a running stand-in for one worker.
type Worker struct {
	config   Config
	listener net.Listener
	state    *state
}

// New opens the listener and returns a worker that serves requests once Run is called. It returns an
// error if the name is empty or the address can't be listened on.
func New(config Config) (*Worker, error) {
	if config.Name == "" {
		return nil, errors.New("a worker needs a name")
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	if config.Boot == 0 {
		config.Boot = uint64(time.Now().UnixMicro())
	}
	if config.DefaultRun == 0 {
		config.DefaultRun = defaultRun
	}
	listener, err := answerer.Listen(config.Listener, config.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Worker{config: config, listener: listener, state: newState(config)}, nil
}

// Address returns the IP address and port of the listener.
func (worker *Worker) Address() string { return worker.listener.Addr().String() }

// Target returns the worker as the live list shows it.
func (worker *Worker) Target() almondcross.Target {
	return almondcross.NewTarget(almondcross.TargetConfig{
		Name: worker.config.Name, DataCentre: worker.config.DataCentre, Rack: worker.config.Rack,
		Address: worker.Address(), State: almondcross.HostLive,
	})
}

// Run runs the duty, serves requests and sends heartbeats until the context ends.
func (worker *Worker) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return worker.state.run(ctx) })
	group.Go(func() error { return answerer.Serve(ctx, worker.listener, worker.routes()) })
	if worker.config.LiveList != "" {
		group.Go(func() error { return worker.sendHeartbeats(ctx) })
	}
	return errors.Trace(group.Wait())
}

func (worker *Worker) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/lease/acquire", handleBody(worker, func(body encoder.WorkerAcquire, responses responses) message {
		return acquire{body: body, responses: responses}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/lease/renew", handleBody(worker, func(body encoder.WorkerRenew, responses responses) message {
		return renew{body: body, responses: responses}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/lease/release", handleBody(worker, func(body encoder.WorkerRelease, responses responses) message {
		return release{body: body, responses: responses}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/tasks/start", handleBody(worker, func(body encoder.WorkerStart, responses responses) message {
		return start{body: body, responses: responses}
	})).Methods(http.MethodPost)
	for _, kind := range []orderKind{orderStop, orderCheckpoint, orderThrottle} {
		router.HandleFunc("/v1/tasks/"+string(kind), handleBody(worker, func(body encoder.WorkerTaskCommand, responses responses) message {
			return order{kind: kind, body: body, responses: responses}
		})).Methods(http.MethodPost)
	}
	router.HandleFunc("/v1/restart", handleBody(worker, func(body encoder.WorkerRestart, responses responses) message {
		return restart{body: body, responses: responses}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/switches", handleBody(worker, func(body encoder.WorkerFaults, responses responses) message {
		return changeFaults{body: &body, responses: responses}
	})).Methods(http.MethodPut)
	router.HandleFunc("/v1/switches", worker.handleQuery(func(_ *http.Request, responses responses) message {
		return changeFaults{responses: responses}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/events", worker.handleQuery(newReadEvents)).Methods(http.MethodGet)
	router.HandleFunc("/v1/state", worker.handleQuery(func(_ *http.Request, responses responses) message {
		return readState{responses: responses}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/history", worker.handleQuery(func(request *http.Request, responses responses) message {
		return readHistory{after: int(answerer.QueryInt(request, "after")), responses: responses}
	})).Methods(http.MethodGet)
	return router
}

func newReadEvents(request *http.Request, responses responses) message {
	return readEvents{
		term:  encoder.WorkerTerm{Boot: answerer.QueryUint(request, "boot"), Counter: answerer.QueryUint(request, "counter")},
		after: answerer.QueryUint(request, "after"), wait: answerer.PollWait(request), responses: responses,
	}
}

// handleBody returns a handler that decodes the JSON body and sends the message built from it to the duty.
func handleBody[B any](worker *Worker, build func(body B, responses responses) message) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body B
		if answerer.DecodeBody(writer, request, &body) {
			worker.exchange(writer, request, func(responses responses) message { return build(body, responses) })
		}
	}
}

// handleQuery returns a handler that sends the message built from the query string to the duty.
func (worker *Worker) handleQuery(build func(request *http.Request, responses responses) message) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		worker.exchange(writer, request, func(responses responses) message { return build(request, responses) })
	}
}

func (worker *Worker) exchange(
	writer http.ResponseWriter, request *http.Request, build func(responses responses) message,
) {
	responses := make(chan answerer.Response, 1)
	answerer.Exchange(writer, request, worker.state.messages, build(responses), responses)
}

func newRing(config Config) *ring.Ring[message] {
	return ring.New[message](ring.Config{
		Name: "worker_" + config.Name, Capacity: ringCapacity, Metrics: config.Metrics,
	})
}
