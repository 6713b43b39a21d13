package assembler

import (
	"context"
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
	"github.com/almondcross/almondcross/query/router"
	"github.com/almondcross/almondcross/query/versioner"
)

const (
	// directWorkersPerProcessor is the number of workers for each processor core up to which the scheduler's host sends
	// all orders itself. Calls to this many workers take about a fifth of a core.
	directWorkersPerProcessor = 200
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

func newRecorder(settings configurator.SchedulerSettings, set *metrics.Set) *recorder.Recorder {
	log := recorder.New(recorder.Config{Output: os.Stdout, Host: settings.Name(), Lines: settings.LogLines(), Clock: Clock{}})
	set.NewGauge("almondcross_log_lines_left_out_total", func() float64 { return float64(log.Dropped()) })
	set.NewGauge("almondcross_log_lines_written_total", func() float64 { return float64(log.Written()) })
	return log
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
	Router     *router.Router
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
		NamedDuty{"routes reader", schedulerhost.Follower.Routes(schedulerhost.putRoutes)},
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

// putRoutes puts a version from the store in force for callers and passes it to the replicator. After a pause of the process, calls
// and the version wait together, and each step in between lets more calls be answered by the old version.
func (schedulerhost schedulerHost) putRoutes(ctx context.Context, record almondcross.RoutesRecord) {
	schedulerhost.Router.Set(record.Table())
	_ = schedulerhost.Rings.routes.Put(ctx, almondcross.NewRoutesStored(almondcross.RoutesStoredConfig{Record: record})) // Put fails only when the context has ended.
}
