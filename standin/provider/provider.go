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
	// idleInterval is the timer interval of a duty that has no deadline.
	idleInterval = time.Hour
)

// Config holds the settings of the stand-in.
type Config struct {
	Listener   net.Listener   // Listener accepts the connections; nil to listen on Address.
	Address    string         // Address is the TCP address to listen on if Listener is nil.
	MaxRecords int            // MaxRecords is the maximum number of records of a stream, 0 for no limit.
	MaxAge     time.Duration  // MaxAge is the age at which records are trimmed, 0 for no limit.
	LiveLag    time.Duration  // LiveLag is the initial delay between a change of the live list and its publication.
	Metrics    *metrics.Set   // Metrics receives the counters; nil to discard them.
	Logger     *logrus.Logger // Logger logs state changes; nil for the standard logger.
}

// Provider is a running stand-in for the platform.
type Provider struct {
	listener net.Listener
	streams  *streams
	liveList *liveList
}

// New opens the listener and returns a stand-in that serves requests once Run is called.
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
	return &Provider{listener: listener, streams: newStreams(config), liveList: newLiveList(config)}, nil
}

// Address returns the IP address and port of the listener.
func (provider *Provider) Address() string { return provider.listener.Addr().String() }

// Run runs the duties and serves requests until the context ends.
func (provider *Provider) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return provider.streams.run(ctx) })
	group.Go(func() error { return provider.liveList.run(ctx) })
	group.Go(func() error { return answerer.Serve(ctx, provider.listener, provider.routes()) })
	return errors.Trace(group.Wait())
}

func (provider *Provider) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/streams/{stream}/records", provider.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/records", provider.handleRead).Methods(http.MethodGet)
	router.HandleFunc("/v1/streams/{stream}/end", provider.handleEnd).Methods(http.MethodGet)
	router.HandleFunc("/v1/appends", provider.handleAppends).Methods(http.MethodGet)
	router.HandleFunc("/v1/live", provider.handleList).Methods(http.MethodGet)
	router.HandleFunc("/v1/live/{name}", provider.handleRegister).Methods(http.MethodPut)
	router.HandleFunc("/v1/live/{name}/state", provider.handleSetState).Methods(http.MethodPut)
	router.HandleFunc("/v1/switches/log", provider.handleLogFaults).Methods(http.MethodGet, http.MethodPut)
	router.HandleFunc("/v1/switches/live", provider.handleLiveFaults).Methods(http.MethodGet, http.MethodPut)
	return router
}

func (provider *Provider) handleAppend(writer http.ResponseWriter, request *http.Request) {
	var body encoder.PlatformAppend
	if !answerer.DecodeBody(writer, request, &body) {
		return
	}
	responses := make(chan answerer.Response, 1)
	message := appendRecords{stream: mux.Vars(request)["stream"], records: body.Records, responses: responses}
	provider.sendToStreams(writer, request, message, responses)
}

func (provider *Provider) handleRead(writer http.ResponseWriter, request *http.Request) {
	responses := make(chan answerer.Response, 1)
	message := readRecords{
		stream: mux.Vars(request)["stream"], from: answerer.QueryInt(request, "from"),
		limit: int(answerer.QueryInt(request, "limit")), wait: answerer.PollWait(request), responses: responses,
	}
	provider.sendToStreams(writer, request, message, responses)
}

func (provider *Provider) handleEnd(writer http.ResponseWriter, request *http.Request) {
	responses := make(chan answerer.Response, 1)
	provider.sendToStreams(writer, request, findEnd{stream: mux.Vars(request)["stream"], responses: responses}, responses)
}

func (provider *Provider) handleAppends(writer http.ResponseWriter, request *http.Request) {
	responses := make(chan answerer.Response, 1)
	provider.sendToStreams(writer, request, listAppends{after: int(answerer.QueryInt(request, "after")), responses: responses}, responses)
}

func (provider *Provider) handleList(writer http.ResponseWriter, request *http.Request) {
	responses := make(chan answerer.Response, 1)
	message := listHosts{knownVersion: answerer.QueryUint(request, "known"), wait: answerer.PollWait(request), responses: responses}
	provider.sendToLiveList(writer, request, message, responses)
}

func (provider *Provider) handleRegister(writer http.ResponseWriter, request *http.Request) {
	var body encoder.PlatformHost
	if !answerer.DecodeBody(writer, request, &body) {
		return
	}
	body.Name = mux.Vars(request)["name"]
	responses := make(chan answerer.Response, 1)
	provider.sendToLiveList(writer, request, registerHost{host: body, responses: responses}, responses)
}

func (provider *Provider) handleSetState(writer http.ResponseWriter, request *http.Request) {
	var body encoder.PlatformHostState
	if !answerer.DecodeBody(writer, request, &body) {
		return
	}
	responses := make(chan answerer.Response, 1)
	message := setHostState{name: mux.Vars(request)["name"], state: body.State, responses: responses}
	provider.sendToLiveList(writer, request, message, responses)
}

func (provider *Provider) handleLogFaults(writer http.ResponseWriter, request *http.Request) {
	newFaults, ok := decodeFaults(writer, request)
	if !ok {
		return
	}
	responses := make(chan answerer.Response, 1)
	provider.sendToStreams(writer, request, changeLogFaults{newFaults: newFaults, responses: responses}, responses)
}

func (provider *Provider) handleLiveFaults(writer http.ResponseWriter, request *http.Request) {
	newFaults, ok := decodeFaults(writer, request)
	if !ok {
		return
	}
	responses := make(chan answerer.Response, 1)
	provider.sendToLiveList(writer, request, changeLiveFaults{newFaults: newFaults, responses: responses}, responses)
}

// decodeFaults decodes the new faults; it returns nil for a GET request, which only reads them. It
// returns false if it has already written an error response.
func decodeFaults(writer http.ResponseWriter, request *http.Request) (*encoder.PlatformFaults, bool) {
	if request.Method == http.MethodGet {
		return nil, true
	}
	var body encoder.PlatformFaults
	if !answerer.DecodeBody(writer, request, &body) {
		return nil, false
	}
	return &body, true
}

func (provider *Provider) sendToStreams(
	writer http.ResponseWriter, request *http.Request, message streamsMessage, responses <-chan answerer.Response,
) {
	answerer.Exchange(writer, request, provider.streams.messages, message, responses)
}

func (provider *Provider) sendToLiveList(
	writer http.ResponseWriter, request *http.Request, message liveMessage, responses <-chan answerer.Response,
) {
	answerer.Exchange(writer, request, provider.liveList.messages, message, responses)
}

func newRing[M any](config Config, name string) *ring.Ring[M] {
	return ring.New[M](ring.Config{Name: name, Capacity: ringCapacity, Metrics: config.Metrics})
}
