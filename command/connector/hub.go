package connector

import (
	"maps"
	"net/http"
	"sync/atomic"

	"github.com/gorilla/websocket"

	"github.com/almondcross/almondcross"
)

// Path is the path of the links.
const Path = "/v1/advice"

// HubConfig holds what a hub needs.
type HubConfig struct {
	Host  string                                    // Host is the name of this host.
	Local almondcross.Sink[almondcross.AdviceQuery] // Local takes the queries that this host asks itself.
	// Stored takes the answers to intakes that this host forwarded to itself.
	Stored func(stored almondcross.IntakeStored)
	Codec  almondcross.LinkCodec
	// Pointers encodes the pointer to the scheduler for other hosts.
	Pointers almondcross.JournalCodec
	Sink     almondcross.Sink[almondcross.SchedulerMessage]
	Clock    almondcross.Clock
	Log      almondcross.EventLog
}

// Hub passes queries to the hosts that are linked to this one.
type Hub struct {
	config   HubConfig
	upgrader websocket.Upgrader
	sessions atomic.Pointer[map[string]*session]
	pushed   moment // pushed is when this host last stored something as scheduler.
	pointer  atomic.Pointer[almondcross.SchedulerPointer]
}

// NewHub returns a hub without links.
func NewHub(config HubConfig) *Hub {
	hub := &Hub{config: config, upgrader: websocket.Upgrader{ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}}
	hub.sessions.Store(&map[string]*session{})
	return hub
}

// Ask sends a query to a host. It reports false when the host cannot be reached.
func (hub *Hub) Ask(adviser string, query almondcross.AdviceQuery) bool {
	if adviser == hub.config.Host {
		return hub.config.Local.Offer(query)
	}
	session := (*hub.sessions.Load())[adviser]
	return session != nil && session.offer(query)
}

// Push passes committed batches to linked hosts.
func (hub *Hub) Push(hosts []string, pushed almondcross.JournalPushed) {
	hub.pushed.set(hub.config.Clock.Now())
	hub.share(hosts, pushed) // A host that misses a push reads the store.
}

// PushViews passes changed views to linked hosts.
func (hub *Hub) PushViews(hosts []string, pushed almondcross.ViewsPushed) {
	for _, missed := range hub.share(hosts, pushed) {
		// Without the push its views would be wrong for good; a new link begins with all of them.
		if session := (*hub.sessions.Load())[missed]; session != nil {
			_ = session.connection.Close() // The reader ends the session.
		}
	}
}

// CloseAll ends all links. The other side looks for the scheduler at once instead of waiting for silence.
func (hub *Hub) CloseAll() {
	for _, session := range *hub.sessions.Load() {
		_ = session.connection.Close() // The reader ends the session.
	}
}

// Assign tells a linked host what it keeps.
func (hub *Hub) Assign(host string, assigned almondcross.Assigned) {
	if session := (*hub.sessions.Load())[host]; session != nil && !session.offer(assigned) {
		_ = session.connection.Close() // The host links again.
	}
}

// share encodes a message once for several hosts and returns those that could not take it.
func (hub *Hub) share(hosts []string, message almondcross.LinkMessage) []string {
	if len(hosts) == 0 {
		return nil
	}
	frame, err := hub.config.Codec.EncodeLink(message)
	if err != nil {
		hub.config.Log.Record("push_failed", almondcross.Text("reason", err.Error()))
		return hosts
	}
	sessions := *hub.sessions.Load()
	var missed []string
	for _, host := range hosts {
		if session := sessions[host]; session != nil && !session.outbox.Offer(outgoing{frame: frame}) {
			missed = append(missed, host)
		}
	}
	return missed
}

// TellPeers tells linked hosts where other hosts accept links.
func (hub *Hub) TellPeers(hosts []string, peers almondcross.PeersKnown) {
	hub.share(hosts, peers) // A host that misses it gets the next one.
}

// Lead sets the scheduler that other hosts are told of, an empty pointer for none.
func (hub *Hub) Lead(pointer almondcross.SchedulerPointer) { hub.pointer.Store(&pointer) }

// ServePointer tells another host which host schedules.
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
	_, _ = writer.Write(body) // The other host asks again when this fails.
}

// Stored tells a host that its intake is stored.
func (hub *Hub) Stored(host string, stored almondcross.IntakeStored) {
	if host == hub.config.Host {
		hub.config.Stored(stored)
		return
	}
	if session := (*hub.sessions.Load())[host]; session != nil {
		session.offer(stored) // Without the answer the host asks again.
	}
}

// ServeHTTP serves one link until it fails.
func (hub *Hub) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	connection, err := hub.upgrader.Upgrade(writer, request, nil)
	if err != nil {
		hub.config.Log.Record("link_refused", almondcross.Text("from", request.RemoteAddr), almondcross.Text("reason", err.Error()))
		return
	}
	opened := newSession(connection, hub.config.Codec)
	host := ""
	err = opened.run(request.Context(), func(message almondcross.LinkMessage) {
		switch message := message.(type) {
		case almondcross.AdviserHello:
			host = message.Host()
			hub.replace(host, nil, opened)
			hub.tell(request, almondcross.NewAdviserChanged(almondcross.AdviserChangedConfig{
				Adviser: host, Present: true, Strength: message.Strength(), Address: message.Address(),
			}))
		case almondcross.AdviceAnswered:
			hub.tell(request, message.WithAdviser(host).WithReceived(hub.config.Clock.Now()))
		case almondcross.IntakeForwarded:
			hub.tell(request, message.WithHost(host))
		}
	})
	if host != "" && hub.replace(host, opened, nil) {
		hub.tell(request, almondcross.NewAdviserChanged(almondcross.AdviserChangedConfig{Adviser: host}))
	}
	hub.config.Log.Record("link_closed", almondcross.Text("adviser", host), almondcross.Text("reason", err.Error()))
}

func (hub *Hub) tell(request *http.Request, message almondcross.SchedulerMessage) {
	_ = hub.config.Sink.Put(request.Context(), message) // Put fails only when the server has ended.
}

// replace sets the session of a host, if it still is the expected one; nil expects any.
func (hub *Hub) replace(host string, expected, next *session) bool {
	for {
		before := hub.sessions.Load()
		if expected != nil && (*before)[host] != expected {
			return false
		}
		changed := maps.Clone(*before)
		if next == nil {
			delete(changed, host)
		} else {
			changed[host] = next
		}
		if hub.sessions.CompareAndSwap(before, &changed) {
			return true
		}
	}
}
