package connector

import (
	"maps"
	"net/http"
	"slices"
	"sync/atomic"

	"github.com/gorilla/websocket"

	"github.com/almondcross/almondcross"
)

// Path is the URL path on which a hub accepts links.
const Path = "/v1/advice"

// HubConfig holds the dependencies and settings of a hub.
type HubConfig struct {
	Host  string                                    // Host is the name of this host.
	Local almondcross.Sink[almondcross.AdviceQuery] // Local receives the queries that are addressed to this host.
	// Stored is called with each answer to an intake that this host forwarded to its own scheduler.
	Stored func(stored almondcross.IntakeStored)
	Codec  almondcross.LinkCodec
	// Pointers encodes the pointer that ServePointer returns.
	Pointers almondcross.JournalCodec
	Sink     almondcross.Sink[almondcross.SchedulerMessage]
	// Relay receives the answers to relayed orders and the changes of links.
	Relay almondcross.Sink[almondcross.RelayMessage]
	// Routes receives what replicates the configuration, and the links for it.
	Routes almondcross.Sink[almondcross.RoutesMessage]
	// Frames limits the bytes of the large messages that all links are reading, nil for no limit.
	Frames almondcross.Limiter
	Clock  almondcross.Clock
	Log    almondcross.EventLog
	Meter  almondcross.LinkMeter // Meter counts the messages on links, nil for no counting.
}

// Hub holds the links of other hosts to this one and sends messages over them. Its methods may be called from any
// goroutine.
type Hub struct {
	config   HubConfig
	upgrader websocket.Upgrader
	sessions atomic.Pointer[map[string]*session]
	viewers  atomic.Pointer[map[int64]*session] // viewers holds the links of other hosts to this one for views, by number.
	lastLink atomic.Int64                       // lastLink is the number of the last of these links.
	lastPush timestamp                          // lastPush is when this host last pushed committed batches as scheduler.
	pointer  atomic.Pointer[almondcross.SchedulerPointer]
}

// NewHub returns a hub without links.
func NewHub(config HubConfig) *Hub {
	hub := &Hub{config: config, upgrader: websocket.Upgrader{ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}}
	hub.sessions.Store(&map[string]*session{})
	hub.viewers.Store(&map[int64]*session{})
	return hub
}

// SendAdviceQuery sends a query to a host. It reports false when the host cannot be reached.
func (hub *Hub) SendAdviceQuery(host string, query almondcross.AdviceQuery) bool {
	if host == hub.config.Host {
		return hub.config.Local.Offer(query)
	}
	session := (*hub.sessions.Load())[host]
	return session != nil && session.offer(query)
}

// SendOrders passes orders to a host. It reports false when the host isn't linked or its send queue is full.
func (hub *Hub) SendOrders(host string, relayed almondcross.OrdersRelayed) bool {
	session := (*hub.sessions.Load())[host]
	return session != nil && session.offer(relayed)
}

// PushBatches passes committed batches to linked hosts.
func (hub *Hub) PushBatches(hosts []string, pushed almondcross.JournalPushed) {
	hub.lastPush.set(hub.config.Clock.Now())
	hub.broadcast(hosts, pushed) // A host that misses a push reads the batches from the store.
}

// PushViews passes changed views to linked hosts.
func (hub *Hub) PushViews(hosts []string, pushed almondcross.ViewsPushed) {
	for _, missed := range hub.broadcast(hosts, pushed) {
		// A host that missed a push would keep outdated views; a new link starts with the complete views.
		if session := (*hub.sessions.Load())[missed]; session != nil {
			_ = session.connection.Close() // The reader ends the session.
		}
	}
}

// CloseAll closes all links, in the order of the host names, so that the other hosts look for a
// new scheduler immediately instead of after a timeout.
func (hub *Hub) CloseAll() {
	sessions := *hub.sessions.Load()
	for _, host := range slices.Sorted(maps.Keys(sessions)) {
		_ = sessions[host].connection.Close() // The reader ends the session.
	}
}

// Assign sends a linked host its role: whether it is a standby.
func (hub *Hub) Assign(host string, assigned almondcross.RoleAssigned) {
	if session := (*hub.sessions.Load())[host]; session != nil && !session.offer(assigned) {
		_ = session.connection.Close() // The host reconnects.
	}
}

// broadcast encodes a message once, queues it for several hosts, and returns the hosts whose send queues were full.
// If encoding fails, it returns all hosts.
func (hub *Hub) broadcast(hosts []string, message almondcross.LinkMessage) []string {
	if len(hosts) == 0 {
		return nil
	}
	frame, err := hub.config.Codec.EncodeLink(message)
	if err != nil {
		hub.config.Log.Record("push_failed", almondcross.Text("reason", err.Error()))
		return hosts
	}
	sessions, kind := *hub.sessions.Load(), message.LinkKind()
	var missed []string
	for _, host := range hosts {
		if session := sessions[host]; session != nil && !session.sendQueue.Offer(outgoing{frame: frame, kind: kind}) {
			missed = append(missed, host)
		}
	}
	return missed
}

// SendPeers sends linked hosts the addresses on which other hosts accept links.
func (hub *Hub) SendPeers(hosts []string, peers almondcross.PeersKnown) {
	hub.broadcast(hosts, peers) // A host that misses this message gets the next one.
}

// SetPointer sets the pointer that ServePointer returns; an empty one stands for no known scheduler.
func (hub *Hub) SetPointer(pointer almondcross.SchedulerPointer) { hub.pointer.Store(&pointer) }

// ServePointer handles HTTP requests of other hosts for the pointer to the scheduler. It answers 404 when no
// scheduler is known.
func (hub *Hub) ServePointer(writer http.ResponseWriter, _ *http.Request) {
	pointer := hub.pointer.Load()
	if pointer == nil || pointer.Host() == "" {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := hub.config.Pointers.EncodePointer(*pointer)
	if err != nil {
		hub.config.Log.Record("pointer_not_told", almondcross.Text("reason", err.Error()))
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = writer.Write(body) // The other host retries when this fails.
}

// ConfirmIntake notifies a host that its intake is stored.
func (hub *Hub) ConfirmIntake(host string, stored almondcross.IntakeStored) {
	if host == hub.config.Host {
		hub.config.Stored(stored)
		return
	}
	if session := (*hub.sessions.Load())[host]; session != nil {
		session.offer(stored) // Without this answer the host stores the intake itself or reports an unknown outcome.
	}
}

// ServeHTTP upgrades a request to a link and serves it until the connection ends.
func (hub *Hub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	connection, err := hub.upgrader.Upgrade(writer, request, nil)
	if err != nil {
		hub.config.Log.Record("link_refused", almondcross.Text("from", request.RemoteAddr), almondcross.Text("reason", err.Error()))
		return
	}
	link := &acceptedLink{hub: hub, request: request, session: newSession(connection, hub.config.Codec, hub.config.Frames, hub.config.Meter)}
	err = link.session.run(request.Context(), link.handle)
	link.close()
	hub.config.Log.Record("link_closed", almondcross.Text("adviser", link.host), almondcross.Text("reason", err.Error()))
}

// notifyLinkChanged tells both the relayer and the scheduler of a link, the relayer first.
func (hub *Hub) notifyLinkChanged(request *http.Request, change almondcross.HostLinkChanged) {
	_ = hub.config.Relay.Put(request.Context(), change) // Put fails only when the context of the request has ended.
	hub.notifyScheduler(request, change)
}

func (hub *Hub) notifyScheduler(request *http.Request, message almondcross.SchedulerMessage) {
	_ = hub.config.Sink.Put(request.Context(), message) // Put fails only when the context of the request has ended.
}

// replaceSession sets the session of a host if the current one is the expected one, and reports whether it did. A nil
// expected matches any session; a nil next removes the entry.
func (hub *Hub) replaceSession(host string, expected, next *session) bool {
	return replaceIn(&hub.sessions, host, expected, next)
}

// replaceIn is replaceSession for a table of sessions.
func replaceIn[K comparable](table *atomic.Pointer[map[K]*session], key K, expected, next *session) bool {
	for {
		before := table.Load()
		if expected != nil && (*before)[key] != expected {
			return false
		}
		changed := maps.Clone(*before)
		if next == nil {
			delete(changed, key)
		} else {
			changed[key] = next
		}
		if table.CompareAndSwap(before, &changed) {
			return true
		}
	}
}
