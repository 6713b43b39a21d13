package assembler

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/accountant"
	"github.com/almondcross/almondcross/command/appender"
	"github.com/almondcross/almondcross/command/cataloguer"
	"github.com/almondcross/almondcross/command/claimer"
	"github.com/almondcross/almondcross/command/coordinator"
	"github.com/almondcross/almondcross/command/dispatcher"
	"github.com/almondcross/almondcross/command/driver"
	"github.com/almondcross/almondcross/command/linker"
	"github.com/almondcross/almondcross/command/placer"
	"github.com/almondcross/almondcross/command/registrar"
	"github.com/almondcross/almondcross/command/roller"
	"github.com/almondcross/almondcross/command/writer"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/query/inspector"
	"github.com/almondcross/almondcross/query/observer"
	"github.com/almondcross/almondcross/query/reader"
	"github.com/almondcross/almondcross/query/reporter"
	"github.com/almondcross/almondcross/query/retriever"
	"github.com/almondcross/almondcross/query/watcher"
)

// Entry returns the fx options of an entry host.
func Entry(settings configurator.EntrySettings, logger *logrus.Logger) fx.Option {
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.StopGrace()+stopMargin),
		fx.Supply(settings, logger),
		fx.Provide(
			func() logrus.FieldLogger { return logger },
			func() almondcross.Clock { return Clock{} },
			metrics.NewSet, NewRings, NewDuties, newSelf, encoder.NewCodec,
			newWriter, newReader, newObserver, newDriver,
			newAppenders, newEvents, newLinker, newRegistrar, newManager, newPlacer, newCoordinator,
			newCataloguer, newLoader, newClaimer, newClaimTail, newAccountant, newReporter, newRetriever, newRoller,
			newWatcher, newInspector, newEntryLimits, newServers,
		),
		fx.Invoke(runEntry),
	)
}

// newSelf returns this host as a member. Its incarnation is the start time in Unix milliseconds, because hosts store
// nothing locally. If the clock was set back, a peer reports the higher incarnation that it knows and this host corrects its own.
func newSelf(settings configurator.EntrySettings) almondcross.Member {
	return almondcross.NewMember(almondcross.MemberConfig{
		ID: almondcross.NewMemberID(almondcross.MemberIDConfig{
			Name: settings.Name(), Incarnation: uint64(time.Now().UnixMilli()),
		}),
		DataCentre: settings.DataCentre(),
		Address:    settings.PeerAdvertise(),
	})
}

func newWriter(settings configurator.EntrySettings, set *metrics.Set) *writer.Writer {
	return writer.New(writer.Config{Address: settings.LogAddress(), Timeout: settings.LogTimeout(), Metrics: set})
}

func newReader(settings configurator.EntrySettings, set *metrics.Set) *reader.Reader {
	return reader.New(reader.Config{Address: settings.LogAddress(), Timeout: settings.LogTimeout(), Metrics: set})
}

func newObserver(settings configurator.EntrySettings, set *metrics.Set) *observer.Observer {
	return observer.New(observer.Config{LiveList: settings.LiveListAddress(), Metrics: set})
}

func newDriver(settings configurator.EntrySettings, set *metrics.Set) *driver.Driver {
	return driver.New(driver.Config{Timeout: settings.WorkerTimeout(), Metrics: set})
}

// Appenders holds the appenders of the streams that a host writes.
type Appenders struct {
	Catalogue, Checkpoints, Claims, Answers, Account *appender.Appender
}

func newAppenders(
	settings configurator.EntrySettings, log *writer.Writer, reader *reader.Reader, set *metrics.Set, logger logrus.FieldLogger,
) Appenders {
	newAppender := func(stream almondcross.Stream) *appender.Appender {
		return appender.New(appender.Config{
			Stream: stream, Log: log, Reader: reader, Clock: Clock{}, Member: settings.Name(),
			Metrics: set, Logger: logger,
		})
	}
	return Appenders{
		Catalogue:   newAppender(almondcross.StreamCatalogue),
		Checkpoints: newAppender(almondcross.StreamCatalogueCheckpoint),
		Claims:      newAppender(almondcross.StreamClaims),
		Answers:     newAppender(almondcross.AnswersStream(settings.DataCentre())),
		Account:     newAppender(almondcross.AccountStream(settings.DataCentre())),
	}
}

func (appenders Appenders) all() []*appender.Appender {
	return []*appender.Appender{
		appenders.Catalogue, appenders.Checkpoints, appenders.Claims, appenders.Answers, appenders.Account,
	}
}

func newLinker(
	settings configurator.EntrySettings, codec encoder.Codec, rings Rings, set *metrics.Set, logger logrus.FieldLogger,
) *linker.Linker {
	peers := map[string]string{}
	for _, peer := range settings.Peers() {
		peers[peer.Name()] = peer.Address()
	}
	return linker.New(linker.Config{
		Name: settings.Name(), Peers: peers, Codec: codec, Clock: Clock{},
		Coordinator: rings.Coordinator, Placer: rings.Placer, Registrar: rings.Registrar, Cataloguer: rings.Cataloguer,
		Metrics: set, Logger: logger,
	})
}

func newRegistrar(
	settings configurator.EntrySettings, self almondcross.Member, links *linker.Linker, rings Rings,
	set *metrics.Set, logger logrus.FieldLogger,
) *registrar.Registrar {
	var peers []registrar.PeerConfig
	for _, peer := range settings.Peers() {
		peers = append(peers, registrar.PeerConfig{Name: peer.Name(), DataCentre: peer.DataCentre(), Address: peer.Address()})
	}
	return registrar.New(registrar.Config{
		Self: self, Peers: peers, Clock: Clock{}, Sender: links, Ring: rings.Registrar,
		// A view that a full ring refuses is published again with the next tick.
		Subscribers: []func(almondcross.ViewChanged){
			func(message almondcross.ViewChanged) { rings.Coordinator.Offer(message) },
			func(message almondcross.ViewChanged) { rings.Placer.Offer(message) },
			func(message almondcross.ViewChanged) { rings.Claimer.Offer(message) },
		},
		Metrics: set, Logger: logger,
	})
}

func newEvents(rings Rings) accountant.EventQueue { return accountant.NewEventQueue(rings.Accountant) }

func newManager(
	duties *Duties, members *registrar.Registrar, commander *driver.Driver, observer *observer.Observer,
	rings Rings, set *metrics.Set, logger logrus.FieldLogger,
) *dispatcher.Manager {
	return dispatcher.NewManager(dispatcher.Config{
		Context: duties.Context(), Members: members, Commander: commander, Observer: observer,
		Placer: rings.Placer, Clock: Clock{}, Metrics: set, Logger: logger,
	})
}

func newPlacer(
	settings configurator.EntrySettings, self almondcross.Member, manager *dispatcher.Manager, links *linker.Linker,
	account accountant.EventQueue, rings Rings, set *metrics.Set,
) (*placer.Placer, error) {
	policies, err := newPolicies(settings)
	if err != nil {
		return nil, errors.Annotate(err, "choosing the policies")
	}
	return placer.New(placer.Config{
		Ring: rings.Placer, Policies: policies, Seed: self.ID().Incarnation(), Dispatchers: manager, Peers: links,
		Coordinator: rings.Coordinator, Registrar: rings.Registrar, Accounter: account, Decisions: account,
		Clock: Clock{}, Metrics: set,
	}), nil
}

func newCoordinator(
	members *registrar.Registrar, links *linker.Linker, account accountant.EventQueue, rings Rings,
	set *metrics.Set, logger logrus.FieldLogger,
) *coordinator.Coordinator {
	return coordinator.New(coordinator.Config{
		Ring: rings.Coordinator, Placer: rings.Placer, Claimer: rings.Claimer, Answers: rings.Retriever, Sender: links,
		Accounter: account, Recorder: account, Clock: Clock{}, View: members.View(), Metrics: set, Logger: logger,
	})
}

func newCataloguer(
	settings configurator.EntrySettings, self almondcross.Member, codec encoder.Codec, appenders Appenders,
	members *registrar.Registrar, links *linker.Linker, rings Rings, set *metrics.Set, logger logrus.FieldLogger,
) *cataloguer.Duty {
	return cataloguer.New(cataloguer.Config{
		Ring: rings.Cataloguer, Member: self.ID(), Codec: codec,
		Machine: cataloguer.MachineConfig{ChangeTimeout: settings.ChangeTimeout()},
		Changes: appenders.Catalogue, Checkpoints: appenders.Checkpoints, Members: members, Peers: links, Clock: Clock{},
		Coordinator: rings.Coordinator, Placer: rings.Placer, Accountant: rings.Accountant, Registrar: rings.Registrar,
		Metrics: set, Logger: logger,
	})
}

func newLoader(
	reader *reader.Reader, codec encoder.Codec, catalogue *cataloguer.Duty, members *registrar.Registrar,
	links *linker.Linker, rings Rings, logger logrus.FieldLogger,
) *cataloguer.Loader {
	return cataloguer.NewLoader(cataloguer.LoaderConfig{
		Reader: reader, Codec: codec, Sink: rings.Cataloguer, Catalogue: catalogue,
		Members: members, Peers: links, Logger: logger,
	})
}

func newClaimer(
	settings configurator.EntrySettings, self almondcross.Member, codec encoder.Codec, appenders Appenders,
	members *registrar.Registrar, rings Rings, set *metrics.Set, logger logrus.FieldLogger,
) *claimer.Duty {
	return claimer.New(claimer.Config{
		Ring: rings.Claimer, Member: self.ID(), DataCentre: settings.DataCentre(), Codec: codec,
		Machine: claimer.MachineConfig{Horizon: settings.ClaimHorizon()},
		Claims:  appenders.Claims, Answers: appenders.Answers, Members: members, Clock: Clock{},
		Coordinator: rings.Coordinator, Metrics: set, Logger: logger,
	})
}

func newClaimTail(reader *reader.Reader, codec encoder.Codec, rings Rings, logger logrus.FieldLogger) *claimer.Tail {
	return claimer.NewTail(claimer.TailConfig{Reader: reader, Codec: codec, Sink: rings.Claimer, Logger: logger})
}

func newAccountant(
	settings configurator.EntrySettings, self almondcross.Member, codec encoder.Codec, appenders Appenders,
	members *registrar.Registrar, holdings *placer.Placer, rings Rings, set *metrics.Set, logger logrus.FieldLogger,
) *accountant.Duty {
	return accountant.New(accountant.Config{
		Ring: rings.Accountant, Member: self.ID(), DataCentre: settings.DataCentre(), Codec: codec,
		Machine: accountant.MachineConfig{Interval: settings.AccountInterval()},
		Log:     appenders.Account, Members: members, Holdings: holdings, Clock: Clock{}, Metrics: set, Logger: logger,
	})
}

func newReporter(
	settings configurator.EntrySettings, reader *reader.Reader, codec encoder.Codec, catalogue *cataloguer.Duty, rings Rings,
) reporter.Reporter {
	return reporter.New(reporter.Config{
		DataCentres: settings.DataCentres(), Reader: reader, Codec: codec, Audit: catalogue, Accountant: rings.Accountant,
		Clock: Clock{}, Timeout: settings.QueryTimeout(),
	})
}

func newRetriever(
	reader *reader.Reader, codec encoder.Codec, rings Rings, set *metrics.Set, logger logrus.FieldLogger,
) *retriever.Retriever {
	return retriever.New(retriever.Config{
		Ring: rings.Retriever, Reader: reader, Codec: codec, Coordinator: rings.Coordinator, Metrics: set, Logger: logger,
	})
}

func newRoller(
	settings configurator.EntrySettings, log *writer.Writer, reader *reader.Reader, codec encoder.Codec,
	reports reporter.Reporter, members *registrar.Registrar, logger logrus.FieldLogger,
) *roller.Roller {
	return roller.New(roller.Config{
		DataCentres: settings.DataCentres(), Member: settings.Name(), Log: log, Reader: reader, Codec: codec,
		Hours: reports, Members: members, Clock: Clock{}, Logger: logger,
	})
}

func newWatcher(list *observer.Observer, rings Rings, logger logrus.FieldLogger) *watcher.Watcher {
	return watcher.New(watcher.Config{List: list, Sink: rings.Placer, Logger: logger})
}

func newInspector(
	members *registrar.Registrar, catalogue *cataloguer.Duty, holdings *placer.Placer, links *linker.Linker,
	appenders Appenders, rings Rings,
) *inspector.Inspector {
	return inspector.New(inspector.Config{
		Members: members, Catalogue: catalogue, Holdings: holdings, Clock: Clock{},
		Rings:   []func() []almondcross.RingState{rings.States, links.Rings, appenders.states},
		LogDown: appenders.Claims.Down,
		LogEnd:  func() almondcross.Offset { return catalogue.Catalogue().Offset() },
	})
}

func (appenders Appenders) states() []almondcross.RingState {
	var states []almondcross.RingState
	for _, appender := range appenders.all() {
		states = append(states, appender.State())
	}
	return states
}
