package assembler

import (
	"context"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/asker"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/command/executor"
	"github.com/almondcross/almondcross/command/recorder"
	"github.com/almondcross/almondcross/command/replicator"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/query/router"
)

func newHub(
	settings configurator.SchedulerSettings, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder, limits *hostLimits,
	links *counter.Links,
) *connector.Hub {
	return connector.NewHub(connector.HubConfig{
		Host: settings.Name(), Local: localAdviceQueries{rings}, Codec: codec, Pointers: codec, Sink: rings.messages, Clock: Clock{}, Log: log,
		Stored: rings.offerStored, Relay: rings.relayed, Routes: rings.routes, Frames: limits.frames, Meter: links,
	})
}

func newDialer(
	settings configurator.SchedulerSettings, codec encoder.Codec, rings schedulerRings, executor *executor.Executor, log *recorder.Recorder,
	machine *scheduler.Machine, links *counter.Links,
) *connector.Dialer {
	return connector.NewDialer(connector.DialerConfig{
		Host: settings.Name(), DataCentre: settings.DataCentre(), Address: settings.LinkListen(), Format: machine.Format(), StateBytes: planLimits(settings).StateBytes(), Codec: codec, Queries: rings.advice,
		Executor: executor, Sink: rings.messages, Routes: rings.routes, Log: log,
		Stored: rings.offerStored, Clock: Clock{}, Meter: links,
	})
}

func newUplink(hub *connector.Hub, dialer *connector.Dialer) *connector.Uplink {
	return connector.NewUplink(hub, dialer, Clock{})
}

func newViewDialer(codec encoder.Codec, rings schedulerRings, log *recorder.Recorder, links *counter.Links) *connector.ViewDialer {
	return connector.NewViewDialer(connector.ViewDialerConfig{Codec: codec, Sink: rings.messages, Log: log, Meter: links})
}

func newViewLinks(hub *connector.Hub, dialer *connector.Dialer, rings schedulerRings) *connector.ViewLinks {
	return connector.NewViewLinks(hub, dialer, rings.viewRelays)
}

func newReplicator(
	rings schedulerRings, links *connector.RouteLinks, router *router.Router, counter *counter.Counter, log *recorder.Recorder,
) *replicator.Duty {
	return replicator.NewDuty(replicator.DutyConfig{
		Ring: rings.routes, Clock: Clock{},
		Machine: replicator.NewMachine(replicator.Config{
			Decoder: translator.Codec{}, Links: links, Scheduler: rings.messages, Log: log,
			SetRoutes: func(table almondcross.RouteTable) {
				router.Set(table)
				counter.RoutesInForce(table.Version())
			},
		}),
	})
}

// localAdviceQueries passes advice queries of a scheduler to the asker on the same host.
type localAdviceQueries struct{ rings schedulerRings }

// Offer passes a query to the asker without blocking. It returns false if the ring is full.
func (localadvicequeries localAdviceQueries) Offer(query almondcross.AdviceQuery) bool {
	return localadvicequeries.rings.advice.Offer(localadvicequeries.newRequest(query))
}

// Put passes a query to the asker and blocks while the ring is full, until the context ends.
func (localadvicequeries localAdviceQueries) Put(ctx context.Context, query almondcross.AdviceQuery) error {
	return localadvicequeries.rings.advice.Put(ctx, localadvicequeries.newRequest(query))
}

func (localadvicequeries localAdviceQueries) newRequest(query almondcross.AdviceQuery) asker.Request {
	return asker.Request{Query: query, Reply: func(ctx context.Context, answer almondcross.AdviceAnswered) {
		_ = localadvicequeries.rings.messages.Put(ctx, answer) // Put fails only when the context has ended.
	}}
}
