package inspector

import (
	"sync/atomic"

	"github.com/almondcross/almondcross"
)

// Config holds the sources of the state.
type Config struct {
	Members   almondcross.MemberViewer
	Catalogue almondcross.CatalogueViewer
	Holdings  almondcross.HoldingViewer
	Clock     almondcross.Clock
	Rings     []func() []almondcross.RingState // Rings holds functions that return the states of rings.
	LogDown   func() bool                      // LogDown returns whether the log stream of the claims is marked as down.
	LogEnd    func() almondcross.Offset        // LogEnd returns the end of the catalogue stream as of the last read.
}

// Inspector implements almondcross.StatusViewer. It is safe for concurrent use.
type Inspector struct {
	config   Config
	stopping atomic.Bool
}

// New returns an inspector; the host is not stopping until SetStopping is called.
func New(config Config) *Inspector { return &Inspector{config: config} }

// SetStopping makes the host report that it is not ready. It is the first step of a graceful shutdown.
func (inspector *Inspector) SetStopping() { inspector.stopping.Store(true) }

// Status returns the state of this host.
func (inspector *Inspector) Status() almondcross.HostStatus {
	view := inspector.config.Members.View()
	now := inspector.config.Clock.Now()
	hasLinkLeases := view.HasLinkLeases(now)
	// Once the hold-back is over, requests that callers issue from now on are not held back.
	holdBackOver := now.After(view.ReadyAt().Add(almondcross.CallerClockSkew))
	catalogue := inspector.config.Catalogue.Catalogue()
	var rings []almondcross.RingState
	for _, states := range inspector.config.Rings {
		rings = append(rings, states()...)
	}
	return almondcross.NewHostStatus(almondcross.HostStatusConfig{
		View:            view,
		HasLinkLeases:   hasLinkLeases,
		Ready:           hasLinkLeases && holdBackOver && catalogue.Offset() >= 0 && !inspector.stopping.Load(),
		CatalogueOffset: catalogue.Offset(),
		LogEnd:          inspector.config.LogEnd(),
		LogDown:         inspector.config.LogDown(),
		Targets:         inspector.config.Holdings.HeldTargets(),
		Rings:           rings,
	})
}
