package linker

import (
	"context"
	"fmt"
	"maps"
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
	// DefaultCapacity is the number of messages that wait for one peer.
	DefaultCapacity = 1024
	// DefaultMaxAge is the time after which a waiting message counts as lost. A message that waits
	// longer than a link lease comes too late for the peer to obey it.
	DefaultMaxAge = almondcross.LinkLease
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
	MaxAge       time.Duration
	DialTimeout  time.Duration
	WriteTimeout time.Duration
	ReadTimeout  time.Duration
	Metrics      *metrics.Set
	Logger       logrus.FieldLogger
}

// Linker owns the connections to the peers. Send and ServeHTTP may be called from any goroutine.
type Linker struct {
	config  Config
	learned *ring.Ring[*sender]                // the senders that Run starts
	senders atomic.Pointer[map[string]*sender] // the map is replaced, never modified
	base    context.Context                    // ends with Run; incoming connections end with it
	end     context.CancelFunc
	counts  counts
}

type counts struct {
	received, malformed, impostor, refused *metrics.Counter
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
		learned: ring.New[*sender](ring.Config{Name: "link.learned", Capacity: learnBacklog}),
		base:    base,
		end:     end,
		counts: counts{
			received:  config.Metrics.NewCounter("almondcross_link_received_total"),
			malformed: config.Metrics.NewCounter("almondcross_link_malformed_total"),
			impostor:  config.Metrics.NewCounter("almondcross_link_wrong_member_total"),
			refused:   config.Metrics.NewCounter("almondcross_link_receive_refused_total"),
		},
	}
	senders := map[string]*sender{}
	for name, address := range config.Peers {
		if name != config.Name {
			senders[name] = newSender(config, name, address)
			senders[name].register()
		}
	}
	linker.senders.Store(&senders)
	return linker
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Send queues a message for a member and reports false when it is lost.
func (linker *Linker) Send(member string, message almondcross.PeerMessage) bool {
	sender, ok := (*linker.senders.Load())[member]
	return ok && sender.offer(message)
}

// Path returns the path under which the handler is to be served.
func (linker *Linker) Path() string { return linker.config.Path }

// Rings returns the states of the rings of the peers.
func (linker *Linker) Rings() []almondcross.RingState {
	var states []almondcross.RingState
	for _, sender := range *linker.senders.Load() {
		states = append(states, sender.state())
	}
	return states
}

// Run starts the senders and ends them, and all incoming connections, with the context.
func (linker *Linker) Run(ctx context.Context) error {
	defer linker.end()
	var group sync.WaitGroup
	for _, sender := range *linker.senders.Load() {
		group.Go(func() { sender.run(ctx) })
	}
	for {
		select {
		case sender := <-linker.learned.Messages():
			group.Go(func() { sender.run(ctx) })
		case <-ctx.Done():
			group.Wait()
			return nil
		}
	}
}

// learn notes the address of a member that sent a ping, so that a reply to its next message finds a
// sender. A replaced host comes with a new name or a new address.
func (linker *Linker) learn(ctx context.Context, member almondcross.Member) {
	name, address := member.ID().Name(), member.Address()
	if address == "" || name == linker.config.Name {
		return
	}
	for {
		current := linker.senders.Load()
		if known, ok := (*current)[name]; ok {
			if known.at() != address {
				known.moveTo(address)
			}
			return
		}
		if len(*current) >= maxPeers {
			return
		}
		senders := make(map[string]*sender, len(*current)+1)
		maps.Copy(senders, *current)
		added := newSender(linker.config, name, address)
		senders[name] = added
		// Another connection may have learned a peer in the meantime; then this is tried again.
		if linker.senders.CompareAndSwap(current, &senders) {
			linker.config.Logger.WithFields(logrus.Fields{"peer": name, "address": address}).Info("peer learned")
			added.register()
			linker.put(linker.learned.Put(ctx, added))
			return
		}
	}
}

func peerCounter(config Config, metric, peer string) *metrics.Counter {
	return config.Metrics.GetOrCreateCounter(fmt.Sprintf("%s{peer=%q}", metric, peer))
}
