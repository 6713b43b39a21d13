package emulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
)

// Config describes a day.
type Config struct {
	Seed        uint64
	Hosts       int           // Hosts is the number of entry hosts.
	Workers     int           // Workers is the number of workers.
	Length      time.Duration // Length is the time in which callers send jobs.
	Settle      time.Duration // Settle is the time after it in which accepted jobs must end.
	JobsPerSec  float64       // JobsPerSec is the rate of submissions.
	AdviceShare float64       // AdviceShare is the part of workers that advice allows, 0 for queues without advice.
	FailShare   float64       // FailShare is the part of runs that fail.
	PoisonShare float64       // PoisonShare is the part of jobs that can never be done.
	CancelShare float64       // CancelShare is the part of jobs that are cancelled.
	Troubles    []Trouble     // Troubles holds what goes wrong.
	Retention   time.Duration // Retention is how long the store keeps records.
	Log         almondcross.EventLog
}

// Day is one run of the model.
type Day struct {
	config  Config
	random  *rand.Rand
	codec   encoder.Codec
	start   time.Time
	now     time.Duration
	events  eventHeap
	order   uint64
	store   *Store
	keyed   keyedTable
	hosts   []*modelHost
	workers []*modelWorker
	advice  adviceModel
	jobs    map[almondcross.JobID]*modelJob
	gangs   map[string]*modelGang
	judge   *judge
	faults  faults
	// forwarded holds what follows the answers to forwarded intakes.
	forwarded map[int64]func()
	pointer   almondcross.SchedulerPointer
	usage     map[almondcross.UsageKey]almondcross.QueueUsage // usage is the stored account.
	routes    almondcross.RouteTable
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

// eventHeap orders events by time and then by when they were planned.
type eventHeap []event

// Len returns the number of events.
func (eventheap eventHeap) Len() int { return len(eventheap) }

// Less reports whether an event comes before another one.
func (eventheap eventHeap) Less(a, b int) bool {
	if eventheap[a].at != eventheap[b].at {
		return eventheap[a].at < eventheap[b].at
	}
	return eventheap[a].order < eventheap[b].order
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

// after plans something.
func (day *Day) after(wait time.Duration, do func()) {
	day.order++
	heap.Push(&day.events, event{at: day.now + max(wait, 0), order: day.order, do: do})
}

// time returns the wall-clock time of the present.
func (day *Day) time() time.Time { return day.start.Add(day.now) }

// Queue names of the model: urgent short work, gangs and batch work.
const (
	queueUrgent = "urgent"
	queueGang   = "gang"
	queueBatch  = "batch"
	poolName    = "pool"
)

// New prepares a day.
func New(config Config) (*Day, error) {
	codec, err := encoder.NewCodec()
	if err != nil {
		return nil, err
	}
	if config.Log == nil {
		config.Log = noLog{}
	}
	day := &Day{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed^0x9e3779b97f4a7c15)), codec: codec, //nolint:gosec // A model needs no secrecy.
		start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), store: NewStore(config.Retention),
		jobs: map[almondcross.JobID]*modelJob{}, gangs: map[string]*modelGang{}, forwarded: map[int64]func(){},
		usage:  map[almondcross.UsageKey]almondcross.QueueUsage{},
		advice: adviceModel{share: config.AdviceShare, validity: 2500 * time.Millisecond, seed: config.Seed, issued: map[string]issuedTicket{}},
	}
	day.judge = newJudge(day)
	day.routes = day.table()
	for index := range config.Workers {
		day.addWorker(index)
	}
	for index := range config.Hosts {
		host := &modelHost{day: day, name: fmt.Sprintf("host-%d", index), index: index}
		day.hosts = append(day.hosts, host)
		day.after(time.Duration(day.random.Int64N(int64(300*time.Millisecond))), host.boot)
	}
	day.planJobs()
	for _, trouble := range config.Troubles {
		day.after(warmUp+trouble.At, func() { day.strike(trouble) })
	}
	return day, nil
}

// warmUp is the time between the start of the hosts and that of the traffic.
const warmUp = 4 * time.Second

// Play runs the day and returns its report.
func (day *Day) Play() Report {
	end := warmUp + day.config.Length + day.config.Settle
	for len(day.events) > 0 {
		next := heap.Pop(&day.events).(event) //nolint:forcetypeassert // The heap holds events only.
		if next.at > end {
			break
		}
		day.now = next.at
		next.do()
	}
	day.now = end
	return day.judge.report()
}

func (day *Day) table() almondcross.RouteTable {
	queue := func(name string, priority, attempts int, base, each time.Duration) almondcross.Queue {
		return almondcross.NewQueue(almondcross.QueueConfig{
			Name: name, Host: "queue.example", Prefix: "/" + name + "/", Service: poolName, Priority: priority, MaxAttempts: attempts,
			Stretch: 2, LatencyTarget: time.Second,
			Advice: almondcross.NewAdvice(almondcross.AdviceConfig{
				Wanted: day.config.AdviceShare > 0, Base: base, PerWorker: each, Validity: day.advice.validity,
			}),
		})
	}
	return almondcross.NewRouteTable(almondcross.RouteTableConfig{
		Version: 1,
		Queues: []almondcross.Queue{
			queue(queueUrgent, 0, 4, 8*time.Millisecond, 120*time.Microsecond),
			queue(queueGang, 1, 3, 440*time.Millisecond, 6300*time.Microsecond),
			queue(queueBatch, 2, 4, 46*time.Millisecond, 660*time.Microsecond),
		},
		Pools: []almondcross.Pool{almondcross.NewPool(almondcross.PoolConfig{Name: poolName})},
	})
}

func (day *Day) addWorker(index int) {
	worker := &modelWorker{day: day, id: fmt.Sprintf("w-%03d", index), speed: []float64{0.8, 1, 1.25}[index%3]}
	worker.announce = almondcross.NewWorker(almondcross.WorkerConfig{
		ID: worker.id, Pool: poolName, Address: worker.id, Rack: fmt.Sprintf("r1-%d", index/8),
		Labels:   []string{[]string{"a", "b"}[index%2], fmt.Sprintf("r1-%d", index/8)},
		Capacity: almondcross.NewResources(almondcross.ResourcesConfig{MilliCPU: 16_000, MemoryMB: 32_768}),
	})
	worker.boot(0)
	day.workers = append(day.workers, worker)
	day.keepTime(worker)
}

// keepTime advances a worker often enough for ends to come at their time.
func (day *Day) keepTime(worker *modelWorker) {
	worker.advance(day.now)
	day.after(10*time.Millisecond, func() { day.keepTime(worker) })
}

func (day *Day) worker(id string) *modelWorker {
	for _, worker := range day.workers {
		if worker.id == id {
			return worker
		}
	}
	return nil
}

// gang returns the model of one run of a gang.
func (day *Day) gang(order almondcross.StartOrder, count int, now time.Duration) *modelGang {
	key := fmt.Sprintf("%s/%d", order.Task().Stage, order.Run())
	if day.gangs[key] == nil {
		day.gangs[key] = &modelGang{members: map[almondcross.JobTask]*modelWorker{}, count: count, first: now}
	}
	return day.gangs[key]
}

// noLog drops all lines.
type noLog struct{}

// Record drops a line.
func (noLog) Record(string, ...almondcross.LogField) {}
