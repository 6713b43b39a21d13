package assembler

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"runtime/debug"
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
	"github.com/almondcross/almondcross/command/recorder"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/command/submitter"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/platform/caller"
	"github.com/almondcross/almondcross/platform/commander"
	"github.com/almondcross/almondcross/platform/querier"
	"github.com/almondcross/almondcross/platform/translator"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/query/follower"
	"github.com/almondcross/almondcross/query/jobfinder"
	"github.com/almondcross/almondcross/query/locator"
	"github.com/almondcross/almondcross/query/router"
	"github.com/almondcross/almondcross/ring"
)

// The topics that the hosts keep in the store.
const (
	journalTopic  = "journal"
	intakeTopic   = "intake"
	snapshotTopic = "keyed.snapshots"
	pointerTopic  = "keyed.scheduler"
	usageTopic    = "keyed.account"
	// journalWriter is the name under which every scheduler writes, so that the store compares their epochs.
	journalWriter = "scheduler"
)

const (
	// schedulerRing holds the answers of all duties; each has a bounded number under way.
	schedulerRing = 8192
	// submissionRing holds the callers that wait for the store on one host.
	submissionRing = 1024
	// requestRing holds one request under way and one of an earlier epoch.
	requestRing = 4
	// schedulersRing holds changes of the scheduler, which are seldom.
	schedulersRing = 64
	// snapshotPart is the part of the store's retention after which a snapshot is due, so that several
	// may fail before records that no snapshot covers are deleted.
	snapshotPart = 6
	// longestSnapshot and shortestSnapshot bound the time between two snapshots.
	longestSnapshot  = 10 * time.Second
	shortestSnapshot = time.Second
	// retainFactor keeps the state of a final job somewhat longer than promised.
	retainFactor = 1.25
	// enoughProcessors and enoughLink are what a scheduler of the present deployments needs, in cores and in
	// megabits a second.
	enoughProcessors = 0.4
	enoughLink       = 100
	// memoryPart is the part of the memory limit at which the collector works harder.
	memoryPart = 0.6
	// collectAt is the growth of the heap in percent at which the collector runs. Memory costs more here than the
	// processor time of the collector.
	collectAt = 35
)

// SchedulerHost returns the options of a host that serves jobs on the users' platform.
func SchedulerHost(settings configurator.SchedulerSettings, path string) fx.Option {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB()) * memoryPart * (1 << 20)))
	return fx.Options(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(settings.StopGrace()),
		fx.Supply(settings, settingsPath(path)),
		fx.Provide(
			func() almondcross.Clock { return Clock{} },
			func() logrus.FieldLogger { return newLogger(configurator.LogJSON) },
			metrics.NewSet, NewDuties, encoder.NewCodec, caller.New, jobfinder.New, router.New, counter.New,
			newRecorder, newSchedulerRings, newFollower, newCommitter, newController, newAsker, newHub, newDialer, newUplink, newSubmitter,
			newSchedulerMachine, newScheduler, newSchedulerServers,
		),
		fx.Invoke(runScheduler),
	)
}

// settingsPath is the path of the settings file.
type settingsPath string

// schedulerRings are the rings of a scheduling host.
type schedulerRings struct {
	messages    *ring.Ring[almondcross.SchedulerMessage]
	journal     *ring.Ring[almondcross.JournalQuery]
	pointer     *ring.Ring[almondcross.PointerQuery]
	pointers    *ring.Ring[almondcross.SchedulerPointer]
	usage       *ring.Ring[almondcross.UsageStore]
	snapshot    *ring.Ring[almondcross.SnapshotQuery]
	workers     *ring.Ring[almondcross.WorkersQuery]
	intakes     []*ring.Ring[almondcross.IntakeQuery]
	commits     *ring.Ring[almondcross.JournalCommit]
	snapshots   *ring.Ring[almondcross.SnapshotStore]
	advice      *ring.Ring[asker.Request]
	schedulers  *ring.Ring[connector.Scheduler]
	submissions *ring.Ring[submitter.Submission]
	stored      *ring.Ring[almondcross.IntakeStored]
}

func newSchedulerRings(settings configurator.SchedulerSettings, set *metrics.Set) schedulerRings {
	rings := schedulerRings{
		messages:    ring.New[almondcross.SchedulerMessage](ring.Config{Name: "scheduler", Capacity: schedulerRing, Metrics: set}),
		journal:     ring.New[almondcross.JournalQuery](ring.Config{Name: "journal", Capacity: requestRing, Metrics: set}),
		pointer:     ring.New[almondcross.PointerQuery](ring.Config{Name: "pointer", Capacity: requestRing, Metrics: set}),
		pointers:    ring.New[almondcross.SchedulerPointer](ring.Config{Name: "pointers", Capacity: requestRing, Metrics: set}),
		usage:       ring.New[almondcross.UsageStore](ring.Config{Name: "usage", Capacity: requestRing, Metrics: set}),
		snapshot:    ring.New[almondcross.SnapshotQuery](ring.Config{Name: "snapshot", Capacity: requestRing, Metrics: set}),
		workers:     ring.New[almondcross.WorkersQuery](ring.Config{Name: "workers", Capacity: requestRing, Metrics: set}),
		commits:     ring.New[almondcross.JournalCommit](ring.Config{Name: "commits", Capacity: requestRing, Metrics: set}),
		snapshots:   ring.New[almondcross.SnapshotStore](ring.Config{Name: "snapshots", Capacity: requestRing, Metrics: set}),
		advice:      ring.New[asker.Request](ring.Config{Name: "advice", Capacity: requestRing, Metrics: set}),
		schedulers:  ring.New[connector.Scheduler](ring.Config{Name: "schedulers", Capacity: schedulersRing, Metrics: set}),
		submissions: ring.New[submitter.Submission](ring.Config{Name: "submissions", Capacity: submissionRing, Metrics: set}),
		stored:      ring.New[almondcross.IntakeStored](ring.Config{Name: "stored", Capacity: submissionRing, Metrics: set}),
	}
	for range settings.StorePartitions() {
		rings.intakes = append(rings.intakes, ring.New[almondcross.IntakeQuery](ring.Config{Name: "intake", Capacity: requestRing}))
	}
	return rings
}

func newRecorder(settings configurator.SchedulerSettings, set *metrics.Set) *recorder.Recorder {
	log := recorder.New(recorder.Config{Output: os.Stdout, Host: settings.Name(), Lines: settings.LogLines(), Clock: Clock{}})
	set.NewGauge("almondcross_log_lines_left_out_total", func() float64 { return float64(log.LeftOut()) })
	set.NewGauge("almondcross_log_lines_written_total", func() float64 { return float64(log.Written()) })
	return log
}

func newFollower(
	settings configurator.SchedulerSettings, caller *caller.Caller, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder,
) *follower.Follower {
	return follower.New(follower.Config{
		Reader: querier.NewStore(settings.StoreAddress(), caller), Codec: codec, Workers: translator.Codec{}, Sink: rings.messages, Log: log,
		Journal: almondcross.Partition{Topic: journalTopic}, Host: settings.Name(), Locator: locator.New(locator.Config{Codec: codec, Log: log}),
		Snapshots: almondcross.Partition{Topic: snapshotTopic}, Intake: intakeTopic,
		Pointers: almondcross.Partition{Topic: pointerTopic}, Clock: Clock{},
		Announcements:    almondcross.Partition{Topic: translator.WorkersTopic},
		Configuration:    almondcross.Partition{Topic: translator.OperatorsTopic},
		ConfigurationKey: translator.ConfigurationKey,
	})
}

func newCommitter(
	settings configurator.SchedulerSettings, caller *caller.Caller, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder,
) *committer.Committer {
	return committer.New(committer.Config{
		Writer: commander.NewStore(settings.StoreAddress(), caller), Codec: codec, Keyed: translator.Codec{}, Sink: rings.messages, Clock: Clock{}, Log: log,
		Journal: almondcross.Partition{Topic: journalTopic}, Snapshots: almondcross.Partition{Topic: snapshotTopic},
		Pointers: almondcross.Partition{Topic: pointerTopic}, Usage: almondcross.Partition{Topic: usageTopic}, Name: journalWriter, RecordBytes: settings.StoreRecord(),
	})
}

func newController(
	duties *Duties, caller *caller.Caller, rings schedulerRings, log *recorder.Recorder, meters *counter.Counter,
) *controller.Controller {
	return controller.New(duties.Context(), controller.Config{
		Orderer: commander.NewWorkers(caller), Sink: rings.messages, Clock: Clock{}, Log: log, Meters: meters,
	})
}

func newAsker(settings configurator.SchedulerSettings, caller *caller.Caller) *asker.Asker {
	return asker.New(asker.Config{
		Host: settings.Name(), Adviser: commander.NewAdviser(settings.AdviceAddress(), caller), Clock: Clock{},
	})
}

func newHub(settings configurator.SchedulerSettings, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder) *connector.Hub {
	return connector.NewHub(connector.HubConfig{
		Host: settings.Name(), Local: localQueries{rings}, Codec: codec, Pointers: codec, Sink: rings.messages, Clock: Clock{}, Log: log,
		Stored: rings.takeStored,
	})
}

func newDialer(settings configurator.SchedulerSettings, codec encoder.Codec, rings schedulerRings, log *recorder.Recorder) *connector.Dialer {
	return connector.NewDialer(connector.DialerConfig{
		Host: settings.Name(), Address: settings.LinkListen(), Codec: codec, Queries: rings.advice, Sink: rings.messages, Log: log,
		Stored: rings.takeStored, Clock: Clock{},
	})
}

func newUplink(hub *connector.Hub, dialer *connector.Dialer) *connector.Uplink {
	return connector.NewUplink(hub, dialer, Clock{})
}

// takeStored passes the answer to a forwarded intake on. One that finds the ring full is as good as lost; the
// intake is then stored by the host itself.
func (schedulerrings schedulerRings) takeStored(stored almondcross.IntakeStored) {
	schedulerrings.stored.Offer(stored)
}

// localQueries takes the queries that the scheduler's own host asks.
type localQueries struct{ rings schedulerRings }

// Offer passes a query to the asker of this host.
func (localqueries localQueries) Offer(query almondcross.AdviceQuery) bool {
	return localqueries.rings.advice.Offer(localqueries.request(query))
}

// Put passes a query to the asker of this host and waits for room.
func (localqueries localQueries) Put(ctx context.Context, query almondcross.AdviceQuery) error {
	return localqueries.rings.advice.Put(ctx, localqueries.request(query))
}

func (localqueries localQueries) request(query almondcross.AdviceQuery) asker.Request {
	return asker.Request{Query: query, Reply: func(ctx context.Context, answer almondcross.AdviceAnswered) {
		_ = localqueries.rings.messages.Put(ctx, answer) // Put fails only when the context has ended.
	}}
}

func newSubmitter(
	settings configurator.SchedulerSettings, caller *caller.Caller, codec encoder.Codec, log *recorder.Recorder,
	rings schedulerRings, uplink *connector.Uplink,
) *submitter.Submitter {
	// Hosts begin at different partitions, so that their appends do not wait for one another.
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(settings.Name()))
	return submitter.New(submitter.Config{
		Writer: commander.NewStore(settings.StoreAddress(), caller), Codec: codec, Clock: Clock{}, Log: log, Topic: intakeTopic,
		Partition: int(hash.Sum32()), Partitions: settings.StorePartitions(), Forward: uplink.Forward, Stored: rings.stored,
	})
}

func newSchedulerMachine(
	settings configurator.SchedulerSettings, table *jobfinder.Table, log *recorder.Recorder, meters *counter.Counter,
) *scheduler.Machine {
	interval := min(max(settings.StoreRetention()/snapshotPart, shortestSnapshot), longestSnapshot)
	return scheduler.NewMachine(scheduler.Config{
		Host: settings.Name(), Address: settings.LinkListen(), Partitions: settings.StorePartitions(), Strength: strength(settings),
		Retain: time.Duration(float64(settings.StateRetention()) * retainFactor), MaxLease: settings.MaxLease(),
		Snapshots: interval, Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), //nolint:gosec // Jitter needs no secrecy.
		Publisher: table, Picker: picker.Tight{}, Log: log, Meters: meters,
	})
}

// strength returns how well a host could schedule, up to 100, by its processor and its link.
func strength(settings configurator.SchedulerSettings) int {
	return int(100 * min(1, settings.Processors()/enoughProcessors, settings.LinkMbps()/enoughLink))
}

func newScheduler(machine *scheduler.Machine, rings schedulerRings, workers *controller.Controller, hub *connector.Hub) *scheduler.Duty {
	var intakes []almondcross.Sink[almondcross.IntakeQuery]
	for _, intake := range rings.intakes {
		intakes = append(intakes, intake)
	}
	return scheduler.NewDuty(scheduler.DutyConfig{
		Machine: machine, Ring: rings.messages, Clock: Clock{}, Workers: workers,
		Desk: hub,
		Rings: scheduler.Rings{
			ReadSnapshot: rings.snapshot, ReadJournal: rings.journal, ReadIntakes: intakes, ReadWorkers: rings.workers,
			Commit: rings.commits, StoreSnapshot: rings.snapshots, ReadPointer: rings.pointer, StorePointer: rings.pointers, StoreUsage: rings.usage,
		},
		Leaders: func(lead scheduler.Lead) {
			if !lead.Own {
				hub.CloseAll()
			}
			// A change that finds the ring full is followed by the next one; the ring holds many.
			rings.schedulers.Offer(connector.Scheduler{Host: lead.Pointer.Host(), Address: lead.Pointer.Address(), Strength: lead.Strength})
			hub.Lead(lead.Pointer)
		},
	})
}

// schedulerParts are the parts of a scheduling host that run.
type schedulerParts struct {
	fx.In

	Settings  configurator.SchedulerSettings
	Path      settingsPath
	Duties    *Duties
	Rings     schedulerRings
	Log       *recorder.Recorder
	Follower  *follower.Follower
	Committer *committer.Committer
	Asker     *asker.Asker
	Dialer    *connector.Dialer
	Submitter *submitter.Submitter
	Scheduler *scheduler.Duty
	Servers   *schedulerServers
	Router    *router.Router
}

// dutyFunc is a duty made of a function.
type dutyFunc func(ctx context.Context) error

// Run works until the context ends.
func (dutyfunc dutyFunc) Run(ctx context.Context) error { return dutyfunc(ctx) }

func runScheduler(lifecycle fx.Lifecycle, parts schedulerParts) {
	lifecycle.Append(fx.Hook{OnStart: parts.start, OnStop: parts.stop})
}

func (schedulerparts schedulerParts) start(ctx context.Context) error {
	rings := schedulerparts.Rings
	schedulerparts.Duties.Start(NamedDuty{"log", schedulerparts.Log})
	servers, err := schedulerparts.Servers.Listen(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	schedulerparts.Duties.Start(
		NamedDuty{"scheduler", schedulerparts.Scheduler},
		NamedDuty{"journal reader", schedulerparts.Follower.Journal(rings.journal)},
		NamedDuty{"pointer reader", schedulerparts.Follower.Pointer(rings.pointer)},
		NamedDuty{"pointer writer", dutyFunc(func(ctx context.Context) error { return schedulerparts.Committer.RunPointers(ctx, rings.pointers) })},
		NamedDuty{"account writer", dutyFunc(func(ctx context.Context) error { return schedulerparts.Committer.RunUsage(ctx, rings.usage) })},
		NamedDuty{"snapshot reader", schedulerparts.Follower.Snapshot(rings.snapshot)},
		NamedDuty{"workers reader", schedulerparts.Follower.Workers(rings.workers)},
		NamedDuty{"routes reader", schedulerparts.Follower.Routes(schedulerparts.takeRoutes)},
		NamedDuty{"committer", dutyFunc(func(ctx context.Context) error { return schedulerparts.Committer.RunJournal(ctx, rings.commits) })},
		NamedDuty{"snapshot writer", dutyFunc(func(ctx context.Context) error { return schedulerparts.Committer.RunSnapshots(ctx, rings.snapshots) })},
		NamedDuty{"asker", dutyFunc(func(ctx context.Context) error { return schedulerparts.Asker.Run(ctx, rings.advice) })},
		NamedDuty{"link dialer", dutyFunc(func(ctx context.Context) error { return schedulerparts.Dialer.Run(ctx, rings.schedulers) })},
		NamedDuty{"submitter", dutyFunc(func(ctx context.Context) error { return schedulerparts.Submitter.Run(ctx, rings.submissions) })},
		NamedDuty{"settings watcher", dutyFunc(schedulerparts.watchSettings)},
	)
	for _, intake := range rings.intakes {
		schedulerparts.Duties.Start(NamedDuty{"intake reader", schedulerparts.Follower.Intake(intake)})
	}
	schedulerparts.Duties.Start(servers...)
	schedulerparts.Log.Record("started", almondcross.Text("data_centre", schedulerparts.Settings.DataCentre()),
		almondcross.Text("listen", schedulerparts.Settings.CallersListen()), almondcross.Text("store", schedulerparts.Settings.StoreAddress()))
	return nil
}

func (schedulerparts schedulerParts) takeRoutes(ctx context.Context, table almondcross.RouteTable) {
	schedulerparts.Router.Set(table)
	_ = schedulerparts.Rings.messages.Put(ctx, almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: table})) // Put fails only when the context has ended.
}
