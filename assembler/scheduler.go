package assembler

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/asker"
	"github.com/almondcross/almondcross/command/committer"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/command/controller"
	"github.com/almondcross/almondcross/command/counter"
	"github.com/almondcross/almondcross/command/executor"
	"github.com/almondcross/almondcross/command/recorder"
	"github.com/almondcross/almondcross/command/relayer"
	"github.com/almondcross/almondcross/command/replicator"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/command/submitter"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/client"
	"github.com/almondcross/almondcross/platform/commander"
	"github.com/almondcross/almondcross/platform/querier"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/policy/delegator"
	"github.com/almondcross/almondcross/policy/distributor"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/orderer"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/policy/rationer"
	"github.com/almondcross/almondcross/policy/sharer"
	"github.com/almondcross/almondcross/policy/speedometer"
	"github.com/almondcross/almondcross/query/follower"
	"github.com/almondcross/almondcross/query/jobfinder"
	"github.com/almondcross/almondcross/query/locator"
	"github.com/almondcross/almondcross/query/router"
	"github.com/almondcross/almondcross/query/versioner"
	"github.com/almondcross/almondcross/ring"
)

// The topics in the store.
const (
	journalTopic  = "journal"
	intakeTopic   = "intake"
	snapshotTopic = "keyed.snapshots"
	pointerTopic  = "keyed.scheduler"
	usageTopic    = "keyed.account"
	// journalWriter is the writer name of every scheduler. With a common name, the store compares their epochs.
	journalWriter = "scheduler"
)

const (
	// schedulerRingCapacity is enough for the replies of all duties, each of which has a bounded number of requests in flight.
	schedulerRingCapacity = 8192
	// submissionRingCapacity bounds the submissions of one host that wait for the store, and the answers to
	// forwarded intakes that wait for the submitter.
	submissionRingCapacity = 1024
	// requestRingCapacity is enough for the request in flight and one of an earlier epoch.
	requestRingCapacity = 4
	// adviceRingCapacity is enough for the calls of the scheduler and those of an earlier one.
	adviceRingCapacity = 2 * almondcross.AdviceCallsPerHost
	// routesRingCapacity bounds the messages about the configuration that wait, some of which have a whole configuration.
	routesRingCapacity = 64
	// executorRingCapacity bounds the messages with orders of the scheduler, and the answers to them, that wait on the
	// host that relays them.
	executorRingCapacity = 1024
	// directWorkersPerProcessor is the number of workers for each processor core up to which the scheduler's host sends
	// all orders itself. Calls to this many workers take about a fifth of a core.
	directWorkersPerProcessor = 200
	// schedulerChangesRingCapacity bounds the changes of the current scheduler, and of the relay of views, that wait for their link
	// dialers; they are rare.
	schedulerChangesRingCapacity = 64
	// snapshotsPerRetention is the number of snapshots in the store's retention time, so that several may fail
	// before the store deletes records that no snapshot covers.
	snapshotsPerRetention = 6
	// maxSnapshotInterval and minSnapshotInterval bound the time between two snapshots.
	maxSnapshotInterval = 10 * time.Second
	minSnapshotInterval = time.Second
	// retentionFactor multiplies the promised retention of the state of finished jobs, as a safety margin.
	retentionFactor = 1.25
	// sufficientProcessors, in cores, and sufficientLinkMbps, in Mbit/s, are what a scheduler needs in current
	// deployments.
	sufficientProcessors = 0.4
	sufficientLinkMbps   = 100
	// newestPageTimeout bounds the read of a page of the newest records, a megabyte at most. A slow store takes 250 ms.
	newestPageTimeout = 1500 * time.Millisecond
	// memoryLimitFraction is the fraction of the configured memory that is set as the soft memory limit of the Go runtime.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth in percent that starts a garbage collection. It is below the default of 100,
	// because memory is scarcer here than processor time. On the scheduler's host, it is the other way round.
	gcPercent          = 35
	schedulerGCPercent = 150
)

// SchedulerHost returns the fx options of a scheduling host. It also sets the garbage
// collection target and the memory limit of the process.
func SchedulerHost(settings configurator.SchedulerSettings, path string) fx.Option {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB()) * memoryLimitFraction * (1 << 20)))
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.StopGrace()),
		fx.Supply(settings, settingsPath(path)),
		fx.Provide(
			func() almondcross.Clock { return Clock{} },
			func() logrus.FieldLogger { return newLogger(configurator.LogJSON) },
			func() *largeCell { return new(largeCell) },
			metrics.NewSet, NewDuties, encoder.NewCodec, client.New, jobfinder.New, router.New, counter.New, counter.NewLinks,
			newRecorder, newSchedulerRings, newFollower, newCommitter, newRelayer, newExecutor, newAsker, newHub, newDialer, newUplink, newViewDialer, newViewLinks, connector.NewRouteLinks, newReplicator, newSubmitter,
			newSchedulerMachine, newVersioner, newScheduler, newSchedulerLimits, newSchedulerServers,
		),
		fx.Invoke(runScheduler),
	)
}

// largeCell is set while the cell uses relays of views. The scheduler duty sets it, and the readers of the store read it.
type largeCell struct{ atomic.Bool }

// settingsPath is the path of the settings file.
type settingsPath string

// schedulerRings are the rings of a scheduling host.
type schedulerRings struct {
	messages         *ring.Ring[almondcross.SchedulerMessage]
	journalReads     *ring.Ring[almondcross.JournalQuery]
	pointerReads     *ring.Ring[almondcross.PointerQuery]
	pointerWrites    *ring.Ring[almondcross.SchedulerPointer]
	usageWrites      *ring.Ring[almondcross.UsageStore]
	snapshotReads    *ring.Ring[almondcross.SnapshotQuery]
	workerReads      *ring.Ring[almondcross.WorkersQuery]
	intakeReads      []*ring.Ring[almondcross.IntakeQuery]
	journalCommits   *ring.Ring[almondcross.JournalCommit]
	newSnapshots     *ring.Ring[almondcross.SnapshotStore]
	advice           *ring.Ring[asker.Request]
	schedulerChanges *ring.Ring[connector.Scheduler]
	viewRelays       *ring.Ring[almondcross.ViewRelayLink]
	submissions      *ring.Ring[submitter.Submission]
	stored           *ring.Ring[almondcross.IntakeStored]
	relayed          *ring.Ring[almondcross.RelayMessage]
	orders           *ring.Ring[executor.Request]
	routes           *ring.Ring[almondcross.RoutesMessage]
	orderAnswers     *ring.Ring[almondcross.SchedulerMessage]
}

func newSchedulerRings(settings configurator.SchedulerSettings, set *metrics.Set) schedulerRings {
	rings := schedulerRings{
		messages:         ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: schedulerRingCapacity, Metrics: set}),
		journalReads:     ring.New[almondcross.JournalQuery](ring.Config{Name: "journal", Capacity: requestRingCapacity, Metrics: set}),
		pointerReads:     ring.New[almondcross.PointerQuery](ring.Config{Name: "pointer", Capacity: requestRingCapacity, Metrics: set}),
		pointerWrites:    ring.New[almondcross.SchedulerPointer](ring.Config{Name: "pointers", Capacity: requestRingCapacity, Metrics: set}),
		usageWrites:      ring.New[almondcross.UsageStore](ring.Config{Name: "usage", Capacity: requestRingCapacity, Metrics: set}),
		snapshotReads:    ring.New[almondcross.SnapshotQuery](ring.Config{Name: "snapshot", Capacity: requestRingCapacity, Metrics: set}),
		workerReads:      ring.New[almondcross.WorkersQuery](ring.Config{Name: "workers", Capacity: requestRingCapacity, Metrics: set}),
		journalCommits:   ring.New[almondcross.JournalCommit](ring.Config{Name: "commits", Capacity: requestRingCapacity, Metrics: set}),
		newSnapshots:     ring.New[almondcross.SnapshotStore](ring.Config{Name: "snapshots", Capacity: requestRingCapacity, Metrics: set}),
		advice:           ring.New[asker.Request](ring.Config{Name: "advice", Capacity: adviceRingCapacity, Metrics: set}),
		schedulerChanges: ring.New[connector.Scheduler](ring.Config{Name: "schedulers", Capacity: schedulerChangesRingCapacity, Metrics: set}),
		submissions:      ring.New[submitter.Submission](ring.Config{Name: "submissions", Capacity: submissionRingCapacity, Metrics: set}),
		stored:           ring.New[almondcross.IntakeStored](ring.Config{Name: "stored", Capacity: submissionRingCapacity, Metrics: set}),
	}
	rings.viewRelays = ring.New[almondcross.ViewRelayLink](ring.Config{Name: "view_relays", Capacity: schedulerChangesRingCapacity, Metrics: set})
	rings.relayed = ring.New[almondcross.RelayMessage](ring.Config{Name: "relayed", Capacity: schedulerRingCapacity, Metrics: set})
	rings.routes = ring.New[almondcross.RoutesMessage](ring.Config{Name: "routes", Capacity: routesRingCapacity, Metrics: set})
	rings.orders = ring.New[executor.Request](ring.Config{Name: "orders", Capacity: executorRingCapacity, Metrics: set})
	rings.orderAnswers = ring.New[almondcross.SchedulerMessage](ring.Config{Name: "order_answers", Capacity: executorRingCapacity, Metrics: set})
	for range settings.StorePartitions() {
		rings.intakeReads = append(rings.intakeReads, ring.New[almondcross.IntakeQuery](ring.Config{Name: "intake", Capacity: requestRingCapacity}))
	}
	return rings
}

func newRecorder(settings configurator.SchedulerSettings, set *metrics.Set) *recorder.Recorder {
	log := recorder.New(recorder.Config{Output: os.Stdout, Host: settings.Name(), Lines: settings.LogLines(), Clock: Clock{}})
	set.NewGauge("almondcross_log_lines_left_out_total", func() float64 { return float64(log.Dropped()) })
	set.NewGauge("almondcross_log_lines_written_total", func() float64 { return float64(log.Written()) })
	return log
}

func newFollower(
	settings configurator.SchedulerSettings, client *client.Client, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder,
	counter *counter.Counter, large *largeCell,
) *follower.Follower {
	// Encoded jobs take less than half of the memory that they are counted with, and the store may have two snapshots of them.
	loadBytes := scheduler.MaxStateBytes(planLimits(settings).StateBytes())
	return follower.New(follower.Config{
		Reader: querier.NewStore(querier.StoreConfig{Address: settings.StoreAddress(), Client: client, PageTimeout: newestPageTimeout, NewestBytes: loadBytes / 4 * 3}),
		Codec:  codec.WithStateLimit(loadBytes), WorkerCodec: translator.Codec{}, Sink: rings.messages, Log: log,
		Journal: almondcross.Partition{Topic: journalTopic}, Host: settings.Name(), Locator: locator.New(locator.Config{Codec: codec, Log: log}),
		Snapshots: almondcross.Partition{Topic: snapshotTopic}, Intake: intakeTopic,
		Pointers: almondcross.Partition{Topic: pointerTopic}, Clock: Clock{},
		Announcements:    almondcross.Partition{Topic: translator.WorkersTopic},
		Configuration:    almondcross.Partition{Topic: translator.OperatorsTopic},
		ConfigurationKey: translator.ConfigurationKey, Rejected: counter.RoutesRejected, Confirmed: counter.RoutesConfirmed, Large: large.Load,
	})
}

func newCommitter(
	settings configurator.SchedulerSettings, client *client.Client, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder,
) *committer.Committer {
	return committer.New(committer.Config{
		Writer: commander.NewStore(settings.StoreAddress(), client), Codec: codec, KeyedCodec: translator.Codec{}, Sink: rings.messages, Clock: Clock{}, Log: log,
		Journal: almondcross.Partition{Topic: journalTopic}, Snapshots: almondcross.Partition{Topic: snapshotTopic},
		Pointers: almondcross.Partition{Topic: pointerTopic}, Usage: almondcross.Partition{Topic: usageTopic}, Name: journalWriter, RecordBytes: settings.StoreRecord(), CallBytes: settings.StoreCall(),
	})
}

func newRelayer(
	settings configurator.SchedulerSettings, duties *Duties, client *client.Client, rings schedulerRings, hub *connector.Hub, log *recorder.Recorder,
	counter *counter.Counter,
) *relayer.Relayer {
	maxDirectWorkers := settings.DirectWorkers()
	if maxDirectWorkers < 0 {
		maxDirectWorkers = int(directWorkersPerProcessor * settings.Processors())
	}
	direct := controller.New(duties.Context(), controller.Config{
		Orderer: commander.NewWorkers(client), Sink: rings.messages, Clock: Clock{}, Log: log, Metrics: counter,
	})
	return relayer.New(relayer.Config{
		Ring: rings.relayed, Direct: direct, Links: hub, Chooser: delegator.ByDataCentre{}, Sink: rings.messages, Clock: Clock{}, Log: log,
		Metrics: counter, MaxDirectWorkers: maxDirectWorkers,
	})
}

func newExecutor(client *client.Client, rings schedulerRings, log *recorder.Recorder, counter *counter.Counter) *executor.Executor {
	return executor.New(executor.Config{
		Requests: rings.orders, Answers: rings.orderAnswers,
		NewManager: func(ctx context.Context) almondcross.WorkerManager {
			return controller.New(ctx, controller.Config{
				Orderer: commander.NewWorkers(client), Sink: rings.orderAnswers, Clock: Clock{}, Log: log, Metrics: counter,
			})
		},
	})
}

func newAsker(settings configurator.SchedulerSettings, client *client.Client) *asker.Asker {
	return asker.New(asker.Config{
		Host: settings.Name(), Adviser: commander.NewAdviser(settings.AdviceAddress(), client), Clock: Clock{},
	})
}

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

// putRoutes passes a version of the configuration from the store to the replicator.
func (schedulerrings schedulerRings) putRoutes(ctx context.Context, record almondcross.RoutesRecord) {
	_ = schedulerrings.routes.Put(ctx, almondcross.NewRoutesStored(almondcross.RoutesStoredConfig{Record: record})) // Put fails only when the context has ended.
}

// offerStored passes the confirmation of a forwarded intake to the submitter. A confirmation is dropped if the ring
// is full; this host then stores the intake itself.
func (schedulerrings schedulerRings) offerStored(stored almondcross.IntakeStored) {
	schedulerrings.stored.Offer(stored)
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

func newSubmitter(
	settings configurator.SchedulerSettings, client *client.Client, codec encoder.Codec, log *recorder.Recorder,
	rings schedulerRings, uplink *connector.Uplink,
) *submitter.Submitter {
	// Hosts start with different partitions, so that their appends do not wait for each other.
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(settings.Name()))
	return submitter.New(submitter.Config{
		Writer: commander.NewStore(settings.StoreAddress(), client), Codec: codec, Clock: Clock{}, Log: log, Topic: intakeTopic,
		Partition: int(hash.Sum32()), Partitions: settings.StorePartitions(), Forward: uplink.Forward, Stored: rings.stored,
		RecordBytes: settings.StoreRecord(), CallBytes: settings.StoreCall(), IntakeBytes: planLimits(settings).IntakeBytes(), Hosts: uplink.Hosts,
	})
}

func newSchedulerMachine(
	settings configurator.SchedulerSettings, table *jobfinder.Table, log *recorder.Recorder, counter *counter.Counter,
) *scheduler.Machine {
	interval := min(max(settings.StoreRetention()/snapshotsPerRetention, minSnapshotInterval), maxSnapshotInterval)
	return scheduler.NewMachine(scheduler.Config{
		Host: settings.Name(), Address: settings.LinkListen(), Partitions: settings.StorePartitions(), Strength: schedulerStrength(settings), StateBytes: planLimits(settings).StateBytes(), Room: rationer.ByFreeRoom{},
		Retention: time.Duration(float64(settings.StateRetention()) * retentionFactor), MaxLease: settings.MaxLease(),
		SnapshotInterval: interval, RecordBytes: settings.StoreRecord(), BatchesPerAppend: max(1, settings.StoreCall()/settings.StoreRecord()), Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // Jitter needs no secrecy.
		Publisher: table, Picker: picker.BestFit{}, Order: orderer.BySlack{}, Log: log, Metrics: counter,
		NewShares:   func() almondcross.SharePolicy { return sharer.New() },
		NewRunTimes: func() almondcross.RuntimeEstimator { return estimator.New() },
		NewSpeeds:   func() almondcross.WorkerSpeeds { return speedometer.New() },
		ViewRelays:  distributor.ByDataCentre{}, ViewRelayThreshold: settings.ViewRelayHosts(),
	})
}

// schedulerStrength rates the suitability of a host as scheduler, from 0 to 100, by its processor cores and its link bandwidth.
func schedulerStrength(settings configurator.SchedulerSettings) int {
	return int(100 * min(1, settings.Processors()/sufficientProcessors, settings.LinkMbps()/sufficientLinkMbps))
}

func newVersioner(settings configurator.SchedulerSettings, machine *scheduler.Machine) *versioner.Versioner {
	return versioner.New(versioner.Config{Host: settings.Name(), Format: machine.Format(), Build: readBuild})
}

func newScheduler(
	machine *scheduler.Machine, rings schedulerRings, workers *relayer.Relayer, hub *connector.Hub, versions *versioner.Versioner,
	views *connector.ViewLinks, links *counter.Links, log *recorder.Recorder, large *largeCell,
) *scheduler.Duty {
	var intakes []almondcross.Sink[almondcross.IntakeQuery]
	for _, intake := range rings.intakeReads {
		intakes = append(intakes, intake)
	}
	traffic := &epochTraffic{links: links, log: log, clock: Clock{}}
	return scheduler.NewDuty(scheduler.DutyConfig{
		Machine: machine, Ring: rings.messages, Clock: Clock{}, Workers: workers,
		Links: hub, Views: views,
		Rings: scheduler.Rings{
			ReadSnapshot: rings.snapshotReads, ReadJournal: rings.journalReads, ReadIntakes: intakes, ReadWorkers: rings.workerReads,
			Commit: rings.journalCommits, StoreSnapshot: rings.newSnapshots, ReadPointer: rings.pointerReads, StorePointer: rings.pointerWrites, StoreUsage: rings.usageWrites,
		},
		OnSchedulerChange: func(announcement scheduler.AnnounceScheduler) {
			traffic.schedulerChanged(announcement)
			if announcement.Own {
				debug.SetGCPercent(schedulerGCPercent)
			} else {
				debug.SetGCPercent(gcPercent)
				hub.CloseAll()
			}
			// A change is dropped if the ring is full. The ring has capacity for many, and the next change replaces it.
			rings.schedulerChanges.Offer(connector.Scheduler{
				Host: announcement.Pointer.Host(), Address: announcement.Pointer.Address(), Epoch: announcement.Pointer.Epoch(),
				Strength: announcement.Strength, Ends: announcement.Ends,
			})
			hub.SetPointer(announcement.Pointer)
			versions.SetScheduler(announcement.Pointer)
		},
		OnJournalFormat: versions.SetJournalFormat, OnLargeCell: large.Store,
	})
}

// schedulerHost holds the components of a scheduling host that are started and stopped.
type schedulerHost struct {
	fx.In

	Settings   configurator.SchedulerSettings
	Path       settingsPath
	Duties     *Duties
	Rings      schedulerRings
	Log        *recorder.Recorder
	Follower   *follower.Follower
	Committer  *committer.Committer
	Asker      *asker.Asker
	Dialer     *connector.Dialer
	Views      *connector.ViewDialer
	Relayer    *relayer.Relayer
	Executor   *executor.Executor
	Submitter  *submitter.Submitter
	Scheduler  *scheduler.Duty
	Servers    *schedulerServers
	Replicator *replicator.Duty
}

// dutyFunc is a function that implements Duty.
type dutyFunc func(ctx context.Context) error

// Run calls the function.
func (dutyfunc dutyFunc) Run(ctx context.Context) error { return dutyfunc(ctx) }

func runScheduler(lifecycle fx.Lifecycle, host schedulerHost) {
	lifecycle.Append(fx.Hook{OnStart: host.start, OnStop: host.stop})
}

func (schedulerhost schedulerHost) start(ctx context.Context) error {
	rings := schedulerhost.Rings
	schedulerhost.Duties.Start(NamedDuty{"log", schedulerhost.Log})
	serverDuties, err := schedulerhost.Servers.Listen(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	schedulerhost.Duties.Start(
		NamedDuty{"scheduler", schedulerhost.Scheduler},
		NamedDuty{"journal reader", schedulerhost.Follower.Journal(rings.journalReads)},
		NamedDuty{"pointer reader", schedulerhost.Follower.Pointer(rings.pointerReads)},
		NamedDuty{"pointer writer", dutyFunc(func(ctx context.Context) error { return schedulerhost.Committer.RunPointers(ctx, rings.pointerWrites) })},
		NamedDuty{"account writer", dutyFunc(func(ctx context.Context) error { return schedulerhost.Committer.RunUsage(ctx, rings.usageWrites) })},
		NamedDuty{"snapshot reader", schedulerhost.Follower.Snapshot(rings.snapshotReads)},
		NamedDuty{"workers reader", schedulerhost.Follower.Workers(rings.workerReads)},
		NamedDuty{"routes reader", schedulerhost.Follower.Routes(rings.putRoutes)},
		NamedDuty{"routes replicator", schedulerhost.Replicator},
		NamedDuty{"committer", dutyFunc(func(ctx context.Context) error { return schedulerhost.Committer.RunJournal(ctx, rings.journalCommits) })},
		NamedDuty{"snapshot writer", dutyFunc(func(ctx context.Context) error { return schedulerhost.Committer.RunSnapshots(ctx, rings.newSnapshots) })},
		NamedDuty{"relayer", schedulerhost.Relayer},
		NamedDuty{"executor", schedulerhost.Executor},
		NamedDuty{"link dialer", dutyFunc(func(ctx context.Context) error { return schedulerhost.Dialer.Run(ctx, rings.schedulerChanges) })},
		NamedDuty{"view dialer", dutyFunc(func(ctx context.Context) error { return schedulerhost.Views.Run(ctx, rings.viewRelays) })},
		NamedDuty{"submitter", dutyFunc(func(ctx context.Context) error { return schedulerhost.Submitter.Run(ctx, rings.submissions) })},
		NamedDuty{"settings watcher", dutyFunc(schedulerhost.watchSettings)},
	)
	for range almondcross.AdviceCallsPerHost {
		schedulerhost.Duties.Start(NamedDuty{"asker", dutyFunc(func(ctx context.Context) error { return schedulerhost.Asker.Run(ctx, rings.advice) })})
	}
	for _, intake := range rings.intakeReads {
		schedulerhost.Duties.Start(NamedDuty{"intake reader", schedulerhost.Follower.Intake(intake)})
	}
	schedulerhost.Duties.Start(serverDuties...)
	schedulerhost.Log.Record("started", almondcross.Text("data_centre", schedulerhost.Settings.DataCentre()),
		almondcross.Text("listen", schedulerhost.Settings.CallersListen()), almondcross.Text("store", schedulerhost.Settings.StoreAddress()))
	return nil
}
