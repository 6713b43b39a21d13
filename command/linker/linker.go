package linker

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/ring"
)

// Defaults of the configuration.
const (
	// DefaultPath is the path of the HTTP handler.
	DefaultPath = "/v1/link"
	// DefaultQueueCapacity is the maximum number of messages queued for one peer and not yet written.
	DefaultQueueCapacity = 1024
	// DefaultMaxHeartbeatAge is the time after which a queued heartbeat is dropped; by then a newer one
	// is queued.
	DefaultMaxHeartbeatAge = 2 * almondcross.PingInterval
	// DefaultDialTimeout is the time limit for opening a connection and exchanging hellos.
	DefaultDialTimeout = 2 * time.Second
	// DefaultWriteTimeout is the time limit for one write.
	DefaultWriteTimeout = 2 * time.Second
	// DefaultReadTimeout is the time after which a connection that receives nothing is closed.
	DefaultReadTimeout = 15 * time.Second

	// MaxFrameBytes is the size limit of a frame.
	MaxFrameBytes = 1 << 20

	keepAliveInterval = 5 * time.Second // the time between two control pings on an outgoing connection
	minBackoff        = 50 * time.Millisecond
	// maxBackoff is half of the silence limit, so that the heartbeats of a peer that is reachable again
	// arrive before the limit.
	maxBackoff = almondcross.SilenceLimit / 2
	// maxPeers limits the number of links, including those of hosts that are not configured as peers.
	// It is far above the number of hosts in a cell.
	maxPeers         = 64
	newLinksCapacity = 16
	// heartbeatQueueCapacity is more than the pings and pongs that are sent to a peer within the time
	// after which they are dropped.
	heartbeatQueueCapacity = 64
)

// Config holds the dependencies and limits of the linker; zero numbers mean the defaults.
type Config struct {
	Name            string            // Name is the name of this host.
	Peers           map[string]string // Peers holds the addresses of the other hosts by name.
	Path            string
	Codec           almondcross.PeerCodec
	Clock           almondcross.Clock
	Coordinator     almondcross.Sink[almondcross.CoordinatorMessage]
	Placer          almondcross.Sink[almondcross.PlacerMessage]
	Registrar       almondcross.Sink[almondcross.RegistrarMessage]
	Cataloguer      almondcross.Sink[almondcross.CataloguerMessage]
	QueueCapacity   int
	MaxHeartbeatAge time.Duration // MaxHeartbeatAge is the time after which a queued heartbeat is dropped.
	DialTimeout     time.Duration
	WriteTimeout    time.Duration
	ReadTimeout     time.Duration
	Metrics         *metrics.Set
	Logger          logrus.FieldLogger
}

// Linker owns the connections to the peers. Send and ServeHTTP may be called from any goroutine.
type Linker struct {
	config       Config
	runID        uint64                           // a random number that identifies the run of this process
	newLinks     *ring.Ring[*link]                // the links of new peers, whose senders Run starts
	links        atomic.Pointer[map[string]*link] // the map is replaced, never modified
	serveContext context.Context                  // cancelled at the end of Run; incoming connections end with it
	cancelServe  context.CancelFunc
	counters     receiveCounters
}

type receiveCounters struct {
	malformed, wrongMember, refused, duplicate *metrics.Counter
}

// New returns a linker; it sends nothing before Run is called.
func New(config Config) *Linker {
	if config.Path == "" {
		config.Path = DefaultPath
	}
	config.QueueCapacity = orDefault(config.QueueCapacity, DefaultQueueCapacity)
	config.MaxHeartbeatAge = orDefault(config.MaxHeartbeatAge, DefaultMaxHeartbeatAge)
	config.DialTimeout = orDefault(config.DialTimeout, DefaultDialTimeout)
	config.WriteTimeout = orDefault(config.WriteTimeout, DefaultWriteTimeout)
	config.ReadTimeout = orDefault(config.ReadTimeout, DefaultReadTimeout)
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	serveContext, cancelServe := context.WithCancel(context.Background())
	linker := &Linker{
		config:       config,
		runID:        rand.Uint64() | 1, // not 0, which means that the run is not known
		newLinks:     ring.New[*link](ring.Config{Name: "link.learned", Capacity: newLinksCapacity}),
		serveContext: serveContext,
		cancelServe:  cancelServe,
		counters: receiveCounters{
			malformed:   config.Metrics.NewCounter("almondcross_link_malformed_total"),
			wrongMember: config.Metrics.NewCounter("almondcross_link_wrong_member_total"),
			refused:     config.Metrics.NewCounter("almondcross_link_receive_refused_total"),
			duplicate:   config.Metrics.NewCounter("almondcross_link_duplicate_total"),
		},
	}
	links := map[string]*link{}
	for name, address := range config.Peers {
		if name != config.Name {
			links[name] = newLink(config, name, linker.runID)
			links[name].setAddress(address)
			links[name].registerGauges()
		}
	}
	linker.links.Store(&links)
	return linker
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Send queues a message for a member. It returns false if the message is not queued: the member or its
// address is not known, or its ring is full. A queued message of the data channel is delivered once,
// unless this process or that of the peer ends first.
func (linker *Linker) Send(member string, message almondcross.PeerMessage) bool {
	link, ok := (*linker.links.Load())[member]
	return ok && link.enqueue(message, link.peerRuns.latestID())
}

// Undelivered returns the number of messages of the data channels, queued or written, that the peers
// have not acknowledged.
func (linker *Linker) Undelivered() int {
	count := 0
	for _, link := range *linker.links.Load() {
		count += link.dataSender.ring.Depth() + int(link.dataSender.outboxLength.Load())
	}
	return count
}

// Path returns the URL path on which to serve the handler.
func (linker *Linker) Path() string { return linker.config.Path }

// Rings returns the states of the rings of all peers, in no particular order.
func (linker *Linker) Rings() []almondcross.RingState {
	var states []almondcross.RingState
	for _, link := range *linker.links.Load() {
		states = append(states, link.dataSender.ringState(), link.heartbeatSender.ringState())
	}
	return states
}

// Run runs the senders until the context ends; then it stops them and all incoming connections.
func (linker *Linker) Run(ctx context.Context) error {
	defer linker.cancelServe()
	var group sync.WaitGroup
	startSenders := func(link *link) {
		group.Go(func() { link.dataSender.maintainConnection(ctx) })
		group.Go(func() { link.heartbeatSender.maintainConnection(ctx) })
	}
	for name := range linker.config.Peers {
		if link, ok := (*linker.links.Load())[name]; ok {
			startSenders(link)
		}
	}
	for {
		select {
		case link := <-linker.newLinks.Messages():
			startSenders(link)
		case <-ctx.Done():
			group.Wait()
			return nil
		}
	}
}
