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
	Listener   net.Listener          // Listener is used when it is not nil.
	Address    string                // Address is listened on when there is no listener.
	Name       string                // Name is the name of the worker in the live list.
	DataCentre string                // DataCentre is the data centre of the worker.
	Rack       string                // Rack is the rack of the worker.
	Capacity   almondcross.Resources // Capacity is what the worker has.
	Boot       uint64                // Boot is the number of the boot, 0 to derive a rising one from the time.
	UsageLag   time.Duration         // UsageLag is the lag of the reported usage.
	DefaultRun time.Duration         // DefaultRun is the run time of a payload without one, 0 for 5 ms.
	LiveList   string                // LiveList is the address of the live list, empty to send no heartbeats.
	Metrics    *metrics.Set          // Metrics receives the counters; nil for none.
	Logger     *logrus.Logger        // Logger takes changes of state; nil for the standard logger.
}

// Worker is a running stand-in for one worker.
type Worker struct {
	config   Config
	listener net.Listener
	state    *state
}

// New listens and returns a stand-in that serves once Run is called.
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

// Address returns the bound IP address and port.
func (worker *Worker) Address() string { return worker.listener.Addr().String() }

// Target returns the worker as the live list shows it.
func (worker *Worker) Target() almondcross.Target {
	return almondcross.NewTarget(almondcross.TargetConfig{
		Name: worker.config.Name, DataCentre: worker.config.DataCentre, Rack: worker.config.Rack,
		Address: worker.Address(), State: almondcross.HostLive,
	})
}

// Run serves until the context ends.
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
	router.HandleFunc("/v1/lease/acquire", handle(worker, func(body encoder.WorkerAcquire, answers answers) message {
		return acquire{body: body, answers: answers}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/lease/renew", handle(worker, func(body encoder.WorkerRenew, answers answers) message {
		return renew{body: body, answers: answers}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/lease/release", handle(worker, func(body encoder.WorkerRelease, answers answers) message {
		return release{body: body, answers: answers}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/tasks/start", handle(worker, func(body encoder.WorkerStart, answers answers) message {
		return start{body: body, answers: answers}
	})).Methods(http.MethodPost)
	for _, kind := range []orderKind{orderStop, orderCheckpoint, orderThrottle} {
		router.HandleFunc("/v1/tasks/"+string(kind), handle(worker, func(body encoder.WorkerOrder, answers answers) message {
			return order{kind: kind, body: body, answers: answers}
		})).Methods(http.MethodPost)
	}
	router.HandleFunc("/v1/restart", handle(worker, func(body encoder.WorkerRestart, answers answers) message {
		return restart{body: body, answers: answers}
	})).Methods(http.MethodPost)
	router.HandleFunc("/v1/switches", handle(worker, func(body encoder.WorkerSwitches, answers answers) message {
		return changeSwitches{body: &body, answers: answers}
	})).Methods(http.MethodPut)
	router.HandleFunc("/v1/switches", worker.look(func(_ *http.Request, answers answers) message {
		return changeSwitches{answers: answers}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/events", worker.look(readEventsOf)).Methods(http.MethodGet)
	router.HandleFunc("/v1/state", worker.look(func(_ *http.Request, answers answers) message {
		return readState{answers: answers}
	})).Methods(http.MethodGet)
	router.HandleFunc("/v1/history", worker.look(func(request *http.Request, answers answers) message {
		return readHistory{after: int(answerer.QueryInt(request, "after")), answers: answers}
	})).Methods(http.MethodGet)
	return router
}

func readEventsOf(request *http.Request, answers answers) message {
	return readEvents{
		term:  encoder.WorkerTerm{Boot: answerer.QueryUint(request, "boot"), Counter: answerer.QueryUint(request, "counter")},
		after: answerer.QueryUint(request, "after"), wait: answerer.PollWait(request), answers: answers,
	}
}

// handle returns a handler that decodes a body and puts the message that is made of it.
func handle[B any](worker *Worker, build func(body B, answers answers) message) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var body B
		if answerer.DecodeBody(writer, request, &body) {
			worker.exchange(writer, request, func(answers answers) message { return build(body, answers) })
		}
	}
}

// look returns a handler that puts a message made of the query string.
func (worker *Worker) look(build func(request *http.Request, answers answers) message) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		worker.exchange(writer, request, func(answers answers) message { return build(request, answers) })
	}
}

func (worker *Worker) exchange(
	writer http.ResponseWriter, request *http.Request, build func(answers answers) message,
) {
	replies := make(chan answerer.Response, 1)
	answerer.Exchange(writer, request, worker.state.messages, build(replies), replies)
}

func newRing(config Config) *ring.Ring[message] {
	return ring.New[message](ring.Config{
		Name: "worker_" + config.Name, Capacity: ringCapacity, Metrics: config.Metrics,
	})
}
