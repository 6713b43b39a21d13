package provider

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

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/ring"
	"github.com/almondcross/almondcross/standin/answerer"
)

const (
	ringCapacity = 4096
	// farAway is the time to which the timer of a duty without a deadline is set.
	farAway = time.Hour
)

// Config holds the settings of the stand-in.
type Config struct {
	Listener    net.Listener   // Listener is used when it is not nil.
	Address     string         // Address is listened on when there is no listener.
	KeepRecords int            // KeepRecords is the most records of a stream, 0 for no limit.
	KeepFor     time.Duration  // KeepFor is the age at which records are trimmed, 0 for no limit.
	LiveLag     time.Duration  // LiveLag is the initial lag of the live list.
	Metrics     *metrics.Set   // Metrics receives the counters; nil for none.
	Logger      *logrus.Logger // Logger takes changes of state; nil for the standard logger.
}

// Provider is a running stand-in for the platform.
type Provider struct {
	listener net.Listener
	streams  *streams
	live     *live
}

// New listens and returns a stand-in that serves once Run is called.
func New(config Config) (*Provider, error) {
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	listener, err := answerer.Listen(config.Listener, config.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Provider{listener: listener, streams: newStreams(config), live: newLive(config)}, nil
}

// Address returns the bound IP address and port.
func (provider *Provider) Address() string { return provider.listener.Addr().String() }

// Run serves until the context ends.
func (provider *Provider) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return provider.streams.run(ctx) })
	group.Go(func() error { return provider.live.run(ctx) })
	group.Go(func() error { return answerer.Serve(ctx, provider.listener, provider.routes()) })
	return errors.Trace(group.Wait())
}

func (provider *Provider) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/streams/{stream}/records", provider.append).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/records", provider.read).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{stream}/end", provider.end).Methods(http.MethodGet)
	router.HandleFunc("/v1/appends", provider.appends).Methods(http.MethodGet)
	router.HandleFunc("/v1/live", provider.list).Methods(http.MethodGet)
	router.HandleFunc("/v1/live/{name}", provider.register).Methods(http.MethodPut)
	router.HandleFunc("/v1/live/{name}/state", provider.setState).Methods(http.MethodPut)
	router.HandleFunc("/v1/switches/log", provider.logSwitches).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc("/v1/switches/live", provider.liveSwitches).Methods(http.MethodGet, http.MethodPut)
	return router
}

func (provider *Provider) append(writer http.ResponseWriter, request *http.Request) {
	var body encoder.PlatformAppend
	if !answerer.Decode(writer, request, &body) {
		return
	}
	answers := make(chan answerer.Answer, 1)
	message := appendRecords{stream: mux.Vars(request)["stream"], records: body.Records, answers: answers}
	provider.askStreams(writer, request, message, answers)
}

func (provider *Provider) read(writer http.ResponseWriter, request *http.Request) {
	answers := make(chan answerer.Answer, 1)
	message := readRecords{
		stream: mux.Vars(request)["stream"], from: answerer.Int(request, "from"),
		limit: int(answerer.Int(request, "limit")), wait: answerer.Wait(request), answers: answers,
	}
	provider.askStreams(writer, request, message, answers)
}

func (provider *Provider) end(writer http.ResponseWriter, request *http.Request) {
	answers := make(chan answerer.Answer, 1)
	provider.askStreams(writer, request, findEnd{stream: mux.Vars(request)["stream"], answers: answers}, answers)
}

func (provider *Provider) appends(writer http.ResponseWriter, request *http.Request) {
	answers := make(chan answerer.Answer, 1)
	provider.askStreams(writer, request, listAppends{after: int(answerer.Int(request, "after")), answers: answers}, answers)
}

func (provider *Provider) list(writer http.ResponseWriter, request *http.Request) {
	answers := make(chan answerer.Answer, 1)
	message := listHosts{known: answerer.Uint(request, "known"), wait: answerer.Wait(request), answers: answers}
	provider.askLive(writer, request, message, answers)
}

func (provider *Provider) register(writer http.ResponseWriter, request *http.Request) {
	var body encoder.PlatformHost
	if !answerer.Decode(writer, request, &body) {
		return
	}
	body.Name = mux.Vars(request)["name"]
	answers := make(chan answerer.Answer, 1)
	provider.askLive(writer, request, registerHost{host: body, answers: answers}, answers)
}

func (provider *Provider) setState(writer http.ResponseWriter, request *http.Request) {
	var body encoder.PlatformHostState
	if !answerer.Decode(writer, request, &body) {
		return
	}
	answers := make(chan answerer.Answer, 1)
	message := setHostState{name: mux.Vars(request)["name"], state: body.State, answers: answers}
	provider.askLive(writer, request, message, answers)
}

func (provider *Provider) logSwitches(writer http.ResponseWriter, request *http.Request) {
	change, ok := decodeSwitches(writer, request)
	if !ok {
		return
	}
	answers := make(chan answerer.Answer, 1)
	provider.askStreams(writer, request, switchLog{change: change, answers: answers}, answers)
}

func (provider *Provider) liveSwitches(writer http.ResponseWriter, request *http.Request) {
	change, ok := decodeSwitches(writer, request)
	if !ok {
		return
	}
	answers := make(chan answerer.Answer, 1)
	provider.askLive(writer, request, switchLive{change: change, answers: answers}, answers)
}

// decodeSwitches returns nil for a request that only reads the switches.
func decodeSwitches(writer http.ResponseWriter, request *http.Request) (*encoder.PlatformSwitches, bool) {
	if request.Method == http.MethodGet {
		return nil, true
	}
	var body encoder.PlatformSwitches
	if !answerer.Decode(writer, request, &body) {
		return nil, false
	}
	return &body, true
}

func (provider *Provider) askStreams(
	writer http.ResponseWriter, request *http.Request, message streamsMessage, answers <-chan answerer.Answer,
) {
	answerer.Exchange(writer, request, provider.streams.messages, message, answers)
}

func (provider *Provider) askLive(
	writer http.ResponseWriter, request *http.Request, message liveMessage, answers <-chan answerer.Answer,
) {
	answerer.Exchange(writer, request, provider.live.messages, message, answers)
}

func newRing[M any](config Config, name string) *ring.Ring[M] {
	return ring.New[M](ring.Config{Name: name, Capacity: ringCapacity, Metrics: config.Metrics})
}
