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
	// DefaultCapacity is the number of messages that wait for one peer and were not written yet.
	DefaultCapacity = 1024
	// DefaultMaxAge is the time after which a waiting heartbeat is dropped; by then a newer one waits.
	DefaultMaxAge = 2 * almondcross.PingInterval
	// DefaultDialTimeout bounds the opening of a connection.
	DefaultDialTimeout = 2 * time.Second
	// DefaultWriteTimeout bounds one write.
	DefaultWriteTimeout = 2 * time.Second
	// DefaultReadTimeout is the time after which a silent connection is closed.
	DefaultReadTimeout = 15 * time.Second

	// MaxFrame is the largest frame, in bytes.
	MaxFrame = 1 << 20

	keepAlive    = 5 * time.Second // the time between two control pings on an outgoing connection
	firstBackoff = 50 * time.Millisecond
	// lastBackoff is half of the silence limit, so that a host that comes back is heard in time.
	lastBackoff = almondcross.SilenceLimit / 2
	// maxPeers bounds the peers that are learned from pings, far above the hosts of a cell.
	maxPeers     = 64
	learnBacklog = 16
	// heartbeatCapacity holds more than the pings and pongs of the time after which they are dropped.
	heartbeatCapacity = 64
)

// Config holds the parts of the linker; zero numbers stand for the defaults.
type Config struct {
	Name         string            // Name is the name of this host.
	Peers        map[string]string // Peers holds the addresses of the other hosts by name.
	Path         string
	Codec        almondcross.PeerCodec
	Clock        almondcross.Clock
	Coordinator  almondcross.Sink[almondcross.CoordinatorMessage]
	Placer       almondcross.Sink[almondcross.PlacerMessage]
	Registrar    almondcross.Sink[almondcross.RegistrarMessage]
	Cataloguer   almondcross.Sink[almondcross.CataloguerMessage]
	Capacity     int
	MaxAge       time.Duration // MaxAge is the time after which a waiting heartbeat is dropped.
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	ReadTimeout  time.Duration
	Metrics      *metrics.Set
	Logger       logrus.FieldLogger
}

// Linker owns the connections to the peers. Send and ServeHTTP may be called from any goroutine.
type Linker struct {
	config  Config
	run     uint64                           // the number of the run of this process
	learned *ring.Ring[*link]                // the links whose senders Run starts
	links   atomic.Pointer[map[string]*link] // the map is replaced, never modified
	base    context.Context                  // ends with Run; incoming connections end with it
	end     context.CancelFunc
	counts  counts
}

type counts struct {
	malformed, impostor, refused, duplicate *metrics.Counter
}

// New returns a linker; nothing is sent before Run.
func New(config Config) *Linker {
	if config.Path == "" {
		config.Path = DefaultPath
	}
	config.Capacity = orDefault(config.Capacity, DefaultCapacity)
	config.MaxAge = orDefault(config.MaxAge, DefaultMaxAge)
	config.DialTimeout = orDefault(config.DialTimeout, DefaultDialTimeout)
	config.WriteTimeout = orDefault(config.WriteTimeout, DefaultWriteTimeout)
	config.ReadTimeout = orDefault(config.ReadTimeout, DefaultReadTimeout)
	if config.Metrics == nil {
		config.Metrics = metrics.NewSet()
	}
	if config.Logger == nil {
		config.Logger = logrus.StandardLogger()
	}
	base, end := context.WithCancel(context.Background())
	linker := &Linker{
		config:  config,
		run:     rand.Uint64() | 1, // 0 stands for a run that is not known
		learned: ring.New[*link](ring.Config{Name: "link.learned", Capacity: learnBacklog}),
		base:    base,
		end:     end,
		counts: counts{
			malformed: config.Metrics.NewCounter("almondcross_link_malformed_total"),
			impostor:  config.Metrics.NewCounter("almondcross_link_wrong_member_total"),
			refused:   config.Metrics.NewCounter("almondcross_link_receive_refused_total"),
			duplicate: config.Metrics.NewCounter("almondcross_link_duplicate_total"),
		},
	}
	links := map[string]*link{}
	for name, address := range config.Peers {
		if name != config.Name {
			links[name] = newLink(config, name, linker.run)
			links[name].moveTo(address)
			links[name].register()
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

// Send queues a message for a member and reports false when it is lost. A queued message of the data
// channel arrives once, unless this process or the peer's ends before.
func (linker *Linker) Send(member string, message almondcross.PeerMessage) bool {
	link, ok := (*linker.links.Load())[member]
	return ok && link.send(message, link.runs.latest())
}

// Undelivered returns the number of messages of the data channels that no peer has acknowledged.
func (linker *Linker) Undelivered() int {
	count := 0
	for _, link := range *linker.links.Load() {
		count += link.data.ring.Depth() + int(link.data.written.Load())
	}
	return count
}

// Path returns the path under which the handler is to be served.
func (linker *Linker) Path() string { return linker.config.Path }

// Rings returns the states of the rings of the peers.
func (linker *Linker) Rings() []almondcross.RingState {
	var states []almondcross.RingState
	for _, link := range *linker.links.Load() {
		states = append(states, link.data.state(), link.heartbeats.state())
	}
	return states
}

// Run starts the senders and ends them, and all incoming connections, with the context.
func (linker *Linker) Run(ctx context.Context) error {
	defer linker.end()
	var group sync.WaitGroup
	start := func(link *link) {
		group.Go(func() { link.data.serveLink(ctx) })
		group.Go(func() { link.heartbeats.serveLink(ctx) })
	}
	for name := range linker.config.Peers {
		if link, ok := (*linker.links.Load())[name]; ok {
			start(link)
		}
	}
	for {
		select {
		case link := <-linker.learned.Messages():
			start(link)
		case <-ctx.Done():
			group.Wait()
			return nil
		}
	}
}
