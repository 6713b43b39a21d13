package assembler

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/coordinator"
	"github.com/almondcross/almondcross/command/registrar"
	"github.com/almondcross/almondcross/ring"
)

// Capacities of the rings whose packages define none; docs/design.md 2.2 lists them.
const (
	placerCapacity     = 8192
	claimerCapacity    = 4096
	cataloguerCapacity = 1024
	accountantCapacity = 8192
	retrieverCapacity  = 256
)

// Rings are the rings of an entry host.
type Rings struct {
	Coordinator *ring.Ring[almondcross.CoordinatorMessage]
	Placer      *ring.Ring[almondcross.PlacerMessage]
	Registrar   *ring.Ring[almondcross.RegistrarMessage]
	Claimer     *ring.Ring[almondcross.ClaimerMessage]
	Cataloguer  *ring.Ring[almondcross.CataloguerMessage]
	Accountant  *ring.Ring[almondcross.AccountantMessage]
	Retriever   *ring.Ring[almondcross.ReadAnswer]
}

// NewRings returns the rings and registers their gauges.
func NewRings(set *metrics.Set) Rings {
	config := func(name string, capacity int) ring.Config {
		return ring.Config{Name: name, Capacity: capacity, Metrics: set}
	}
	return Rings{
		Coordinator: ring.New[almondcross.CoordinatorMessage](config("coordinator", coordinator.RingCapacity)),
		Placer:      ring.New[almondcross.PlacerMessage](config("placer", placerCapacity)),
		Registrar:   ring.New[almondcross.RegistrarMessage](config("registrar", registrar.RingCapacity)),
		Claimer:     ring.New[almondcross.ClaimerMessage](config("claimer", claimerCapacity)),
		Cataloguer:  ring.New[almondcross.CataloguerMessage](config("cataloguer", cataloguerCapacity)),
		Accountant:  ring.New[almondcross.AccountantMessage](config("accountant", accountantCapacity)),
		Retriever:   ring.New[almondcross.ReadAnswer](config("retriever", retrieverCapacity)),
	}
}

// States returns the state of every ring.
func (rings Rings) States() []almondcross.RingState {
	return []almondcross.RingState{
		ringState(rings.Coordinator), ringState(rings.Placer), ringState(rings.Registrar),
		ringState(rings.Claimer), ringState(rings.Cataloguer), ringState(rings.Accountant),
		ringState(rings.Retriever),
	}
}

func ringState[T any](messages *ring.Ring[T]) almondcross.RingState {
	return almondcross.NewRingState(almondcross.RingStateConfig{
		Name: messages.Name(), Depth: messages.Depth(), Capacity: messages.Capacity(), Refused: messages.Refused(),
	})
}
