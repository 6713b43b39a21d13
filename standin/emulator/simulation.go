package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Config holds the settings of a simulation.
type Config struct {
	Seed       uint64
	Hosts      int // Hosts is the number of scheduling hosts.
	LaterHosts int // LaterHosts is the number of hosts of a later version among them, whose journal the others cannot read in full.
	OtherHosts int // OtherHosts is the number of hosts of a version that judges failed runs by another rule, where the journal has no verdict.
	// ViewRelayThreshold is the number of linked hosts above which relays pass views on, 0 for hosts that know no relays.
	ViewRelayThreshold int
	StateBytes         int64         // StateBytes is the memory in bytes that accepted jobs may take, 0 for no limit.
	RelaylessHosts     int           // RelaylessHosts is the number of hosts of the version before, which knows no relays of views.
	Workers            int           // Workers is the number of workers.
	SubmitTime         time.Duration // SubmitTime is the time during which callers submit jobs.
	DrainTime          time.Duration // DrainTime is the time after that within which accepted jobs must end.
	JobsPerSec         float64       // JobsPerSec is the rate of submissions.
	AdviceShare        float64       // AdviceShare is the fraction of workers that the advice allows, 0 for queues without advice.
	FailShare          float64       // FailShare is the fraction of runs that fail.
	PoisonShare        float64       // PoisonShare is the fraction of jobs whose runs always fail.
	CancelShare        float64       // CancelShare is the fraction of short jobs that are cancelled; see longCancelFactor.
	Workspaces         int           // Workspaces is the number of workspaces, whose keys callers need, 0 for a configuration without.
	LongShare          float64       // LongShare is the fraction of batch jobs that take many seconds.
	// Saturated replaces the drawn jobs by those of a cell with many wide gangs, see SaturatedJobCPU.
	Saturated   bool
	EvenWorkers bool    // EvenWorkers makes all workers equally fast.
	DrawnSpeeds bool    // DrawnSpeeds draws how much longer or shorter than usual each worker takes.
	SlowShare   float64 // SlowShare is the fraction of the workers that become several times slower for some seconds, again and again.
	// SlowTime is how long such a worker is slow.
	SlowTime      time.Duration
	TailShare     float64 // TailShare is the fraction of the tasks that take several times as long as those of their step.
	EstimateError float64 // EstimateError is the maximum error of an estimate, as a fraction of the run time; 0 for today's estimates.
	// Unlearned makes the schedulers use the callers' estimates and treat workers as equally fast.
	Unlearned bool
	// UnboundStarts lets start orders reach any incarnation of a worker, as those that hosts of earlier versions send do.
	UnboundStarts bool
	MeasureLinks  bool          // MeasureLinks counts what passes over the links of the scheduler's hosts.
	Faults        []Fault       // Faults holds the faults to inject.
	Retention     time.Duration // Retention is how long the store keeps records.
	Log           almondcross.EventLog
}

// Simulation is one run of the model. It is not safe for concurrent use.
type Simulation struct {
	config        Config
	random        *rand.Rand
	codec         encoder.Codec
	startTime     time.Time
	now           time.Duration
	events        eventHeap
	sequence      uint64
	store         *Store
	snapshotTable keyedTable
	hosts         []*modelHost
	workers       []*modelWorker
	advice        adviceModel
	jobs          map[almondcross.JobID]*modelJob
	gangs         map[string]*modelGang
	checker       *checker
	faults        activeFaults
	waitingFaults []Fault // waitingFaults holds the faults that wait for their moment.
	disturbances  disturbances
	meter         *takeoverMeter
	traffic       *trafficMeter
	views         *viewChecker
	viewLinkCount int64 // viewLinkCount numbers the links for views.
	announcements announcements
	// unreadBytes is the memory of the jobs that hosts have stored since a scheduler has last confirmed one.
	unreadBytes int64
	// forwardCallbacks holds the functions to call when forwarded intakes are stored or refused, by intake number.
	forwardCallbacks map[int64]func(refused bool)
	pointer          almondcross.SchedulerPointer
	storedUsage      map[almondcross.UsageKey]almondcross.QueueUsage // storedUsage is the stored account.
	routes           almondcross.RouteTable                          // routes is the newest published route table.
	published        []almondcross.RouteTable                        // published holds all published route tables.
	everyQueue       map[string]almondcross.Queue                    // everyQueue holds the queues of all published route tables by name.
	jobCount         int                                             // jobCount numbers the drawn jobs.
	keyCount         int                                             // keyCount numbers the keys of workspaces.
	keysSince        map[string]time.Duration                        // keysSince holds when each key was published.
	keysUntil        map[string]time.Duration                        // keysUntil holds when keys were revoked.
	acceptedJobs     []*modelJob                                     // acceptedJobs holds the jobs that were accepted lately, the oldest one first.
	end              time.Duration                                   // end is when the simulation ends.
}

// event is a function to run at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// eventHeap orders events by time and then by the order in which they were scheduled.
type eventHeap []event

// Len returns the number of events.
func (eventheap eventHeap) Len() int { return len(eventheap) }

// Less reports whether event a comes before event b.
func (eventheap eventHeap) Less(a, b int) bool {
	if eventheap[a].at != eventheap[b].at {
		return eventheap[a].at < eventheap[b].at
	}
	return eventheap[a].sequence < eventheap[b].sequence
}

// Swap exchanges two events.
func (eventheap eventHeap) Swap(a, b int) { eventheap[a], eventheap[b] = eventheap[b], eventheap[a] }

// Push adds an event.
func (eventheap *eventHeap) Push(added any) { *eventheap = append(*eventheap, added.(event)) } //nolint:forcetypeassert // The heap holds events only.

// Pop removes the last event.
func (eventheap *eventHeap) Pop() any {
	last := (*eventheap)[len(*eventheap)-1]
	*eventheap = (*eventheap)[:len(*eventheap)-1]
	return last
}

// schedule runs an action after a delay in virtual time; a negative delay counts as 0.
func (simulation *Simulation) schedule(delay time.Duration, action func()) {
	simulation.sequence++
	heap.Push(&simulation.events, event{at: simulation.now + max(delay, 0), sequence: simulation.sequence, run: action})
}

// randomFor returns random numbers that depend only on the seed and some values. Draws of what happens to one order
// use it, since orders of the same moment come in any order.
func (simulation *Simulation) randomFor(values ...any) *rand.Rand {
	return randomFor(simulation.config.Seed, fmt.Sprint(values...))
}

func randomFor(seed uint64, key string) *rand.Rand {
	hash := seed
	for _, character := range key {
		hash = (hash ^ uint64(character)) * 1099511628211 // The prime of the FNV hash.
	}
	return rand.New(rand.NewPCG(hash, 1)) //nolint:gosec // A model needs no secrecy.
}

// wallTime returns the wall-clock time that corresponds to the current virtual time.
func (simulation *Simulation) wallTime() time.Time { return simulation.startTime.Add(simulation.now) }

// Names of the queues (urgent short jobs, gangs and batch jobs) and of the worker pool.
const (
	queueUrgent = "urgent"
	queueGang   = "gang"
	queueBatch  = "batch"
	poolName    = "pool"
)

// New returns a simulation that is ready to run. It fails only if the codec can't be created.
func New(config Config) (*Simulation, error) {
	codec, err := encoder.NewCodec()
	if err != nil {
		return nil, err
	}
	if config.Log == nil {
		config.Log = noLog{}
	}
	simulation := &Simulation{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)), codec: codec, //nolint:gosec // A model needs no secrecy.
		startTime: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), store: NewStore(config.Retention),
		faults: newActiveFaults(), jobs: map[almondcross.JobID]*modelJob{}, gangs: map[string]*modelGang{}, forwardCallbacks: map[int64]func(bool){},
		storedUsage: map[almondcross.UsageKey]almondcross.QueueUsage{}, everyQueue: map[string]almondcross.Queue{},
		keysSince: map[string]time.Duration{}, keysUntil: map[string]time.Duration{},
		end:    warmUp + config.SubmitTime + config.DrainTime,
		advice: adviceModel{allowedShare: config.AdviceShare, validity: 2500 * time.Millisecond, seed: config.Seed, issuedTickets: map[string]issuedTicket{}},
	}
	simulation.checker, simulation.meter, simulation.traffic = newChecker(simulation), newTakeoverMeter(simulation), newTrafficMeter(simulation)
	simulation.views = &viewChecker{simulation: simulation}
	simulation.routes = almondcross.NewRouteTable(almondcross.RouteTableConfig{Workspaces: simulation.newWorkspaces()})
	simulation.publishRoutes(
		simulation.newQueue(queueUrgent, 0, 4, 8*time.Millisecond, 120*time.Microsecond),
		simulation.newQueue(queueGang, 1, 3, 440*time.Millisecond, 6300*time.Microsecond),
		simulation.newQueue(queueBatch, 2, 4, 46*time.Millisecond, 660*time.Microsecond),
	)
	for index := range config.Workers {
		simulation.addWorker(index)
	}
	for index := range config.Hosts {
		host := &modelHost{simulation: simulation, name: fmt.Sprintf("host-%d", index), index: index}
		simulation.hosts = append(simulation.hosts, host)
		simulation.schedule(time.Duration(simulation.random.Int64N(int64(300*time.Millisecond))), host.boot)
	}
	simulation.scheduleJobs(warmUp, config.SubmitTime, config.JobsPerSec, "")
	simulation.schedule(warmUp, simulation.checker.checkPendingCounts)
	if config.ViewRelayThreshold > 0 {
		simulation.schedule(warmUp, simulation.views.check)
	}
	for _, fault := range config.Faults {
		simulation.schedule(warmUp+fault.StartsAt, func() { simulation.injectFault(fault) })
	}
	return simulation, nil
}

// warmUp is the time between the start of the hosts and the first submissions.
const warmUp = 4 * time.Second

// Run runs the simulation to its end and returns its report. Call it once.
func (simulation *Simulation) Run() Report {
	for len(simulation.events) > 0 {
		next := heap.Pop(&simulation.events).(event) //nolint:forcetypeassert // The heap holds events only.
		if next.at > simulation.end {
			break
		}
		simulation.now = next.at
		next.run()
	}
	simulation.now = simulation.end
	report := simulation.checker.report()
	report.Takeovers, report.Traffic = simulation.meter.report(), simulation.traffic.report()
	report.OldestViews, report.RelayedChecks = simulation.views.oldest, simulation.views.relayed
	report.All, report.Urgent = simulation.classTimes(""), simulation.classTimes(queueUrgent)
	report.Gangs, report.Batch = simulation.classTimes(queueGang), simulation.classTimes(queueBatch)
	return report
}

func (simulation *Simulation) addWorker(index int) {
	name := fmt.Sprintf("w-%03d", index)
	worker := &modelWorker{
		simulation: simulation, address: name, id: name,
		fullCapacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000, MemoryMB: 32_768}),
	}
	simulation.drawSpeed(worker, index)
	worker.announcement = almondcross.NewWorker(almondcross.WorkerConfig{
		ID: worker.id, Pool: poolName, Address: worker.address, Rack: fmt.Sprintf("r1-%d", index/8),
	})
	worker.setKind(0, kinds[index%2], worker.announcement.Rack())
	worker.setCapacity(0, worker.fullCapacity)
	worker.boot(0)
	simulation.announce(worker)
	simulation.workers = append(simulation.workers, worker)
	simulation.schedule(time.Duration(index)*announceInterval/time.Duration(simulation.config.Workers), func() { simulation.announcePeriodically(worker) })
	simulation.advancePeriodically(worker)
}

// advanceInterval is the time between two advances of a worker.
const advanceInterval = 10 * time.Millisecond

// advancePeriodically advances a worker, so that its runs end close to their due time.
func (simulation *Simulation) advancePeriodically(worker *modelWorker) {
	worker.advance(simulation.now)
	simulation.checker.checkCancelledRuns(simulation.now, worker)
	simulation.schedule(advanceInterval, func() { simulation.advancePeriodically(worker) })
}

// workerAt returns the worker at an address.
func (simulation *Simulation) workerAt(address string) *modelWorker {
	for _, worker := range simulation.workers {
		if worker.address == address {
			return worker
		}
	}
	return nil
}

func (simulation *Simulation) worker(id string) *modelWorker {
	for _, worker := range simulation.workers {
		if worker.id == id {
			return worker
		}
	}
	return nil
}

// gang returns the model of one run of a gang; the first start order creates it.
func (simulation *Simulation) gang(order almondcross.StartOrder, size int, now time.Duration) *modelGang {
	key := fmt.Sprintf("%s/%d", order.Task().Stage, order.Run())
	if simulation.gangs[key] == nil {
		simulation.gangs[key] = &modelGang{members: map[almondcross.JobTask]*modelWorker{}, size: size, createdAt: now}
	}
	return simulation.gangs[key]
}

// recordStart logs that a worker began a run.
func (simulation *Simulation) recordStart(worker *modelWorker, run *modelRun, delivered delivery) {
	simulation.meter.runBegun(run, delivered)
	late := "no"
	if delivered.late {
		late = "yes"
	}
	simulation.config.Log.Record("run_begun", almondcross.Text("task", run.task.String()), almondcross.Number("run", run.number),
		almondcross.Text("worker", worker.id), almondcross.Text("host", delivered.sender.name), almondcross.Text("late", late),
		almondcross.Millis("at_ms", simulation.now-warmUp))
}

// noLog discards all events.
type noLog struct{}

// Record discards an event.
func (noLog) Record(string, ...almondcross.LogField) {}

var _ almondcross.EventLog = noLog{}
