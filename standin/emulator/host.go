package emulator

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/replicator"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/policy/estimator"
	"github.com/almondcross/almondcross/policy/orderer"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/policy/rationer"
	"github.com/almondcross/almondcross/policy/sharer"
	"github.com/almondcross/almondcross/policy/speedometer"
	"github.com/almondcross/almondcross/query/authorizer"
	"github.com/almondcross/almondcross/query/jobfinder"
	"github.com/almondcross/almondcross/query/router"
)

// Timing of the modelled network and store, and the number of intake partitions.
const (
	linkDelay        = 700 * time.Microsecond
	appendTime       = 4 * time.Millisecond
	leaseTimeout     = 400 * time.Millisecond
	orderTimeout     = 250 * time.Millisecond
	storeTimeout     = 1200 * time.Millisecond
	pollInterval     = 5 * time.Millisecond
	intakePartitions = 2
)

var journalPartition = almondcross.Partition{Topic: "journal"}

func intakePartition(number int) almondcross.Partition {
	return almondcross.Partition{Topic: "intake", Number: number}
}

// modelHost is a scheduling host: the real scheduler.Machine with a model of the duties around it.
type modelHost struct {
	simulation       *Simulation
	name             string
	index            int
	incarnation      int
	up               bool
	frozenUntil      time.Duration // frozenUntil is when a paused host resumes.
	machine          *scheduler.Machine
	jobTable         *jobfinder.Table
	access           almondcross.CallAuthorizer // access judges the keys of callers.
	router           *router.Router             // router holds the newest route table that this host has read.
	questions        http.Handler               // questions answers the questions of callers.
	negativeCounts   map[string]bool            // negativeCounts holds the queues for which this process has answered a negative count.
	wakeID           uint64                     // wakeID numbers the scheduled wake-ups; only the latest one takes effect.
	adviceInProgress bool
	queuedQueries    []queuedQuery
	// pointer is the scheduler pointer that this host gives to its peers.
	pointer          almondcross.SchedulerPointer
	linkedTo         *modelHost       // linkedTo is the scheduler's host that this host is linked to.
	readIncarnations map[string]int64 // readIncarnations holds the incarnation of each worker whose report this process read last.
	connections      map[*modelWorker]idleConnections
	// wantedLink is the host to which this host opens a link, linkCount how many links it has opened.
	wantedLink *modelHost
	linkCount  int
	// viewLink is the link to the relay of views, nil for none; viewerLinks holds the links of other hosts to this one for views.
	viewLink    *viewLink
	viewerLinks map[int64]*viewLink
	announced   scheduler.AnnounceScheduler // announced is the last announcement of the scheduler.
	// replicator replicates the configuration. routesWakeID numbers its scheduled wake-ups; only the latest one takes effect.
	replicator   *replicator.Machine
	routesWakeID uint64
}

// queuedQuery is an advice query that waits for the previous advice call.
type queuedQuery struct {
	query almondcross.AdviceQuery
	reply func(almondcross.AdviceAnswered)
}

func (modelhost *modelHost) boot() {
	simulation := modelhost.simulation
	modelhost.incarnation++
	modelhost.up, modelhost.adviceInProgress, modelhost.queuedQueries = true, false, nil
	modelhost.pointer, modelhost.readIncarnations = almondcross.SchedulerPointer{}, map[string]int64{}
	modelhost.connections, modelhost.viewLink, modelhost.viewerLinks = map[*modelWorker]idleConnections{}, nil, map[int64]*viewLink{}
	modelhost.jobTable, modelhost.router = jobfinder.New(), router.New()
	modelhost.access = authorizer.New(authorizer.Config{Router: modelhost.router, Jobs: modelhost.jobTable})
	modelhost.questions, modelhost.negativeCounts = modelhost.newQuestions(), map[string]bool{}
	config := scheduler.Config{
		Host: modelhost.name, Address: modelhost.name, Partitions: intakePartitions, Strength: 100 - 10*(modelhost.index%3), Retention: 150 * time.Second, MaxLease: maxLease,
		SnapshotInterval: 3 * time.Second, RecordBytes: 256 << 10, BatchesPerAppend: 8, Random: rand.New(rand.NewPCG(simulation.random.Uint64(), 1)), //nolint:gosec // A model needs no secrecy.
		FormatAbove: simulation.formatAbove(modelhost.index), IgnoresAttemptLimit: simulation.drawn(modelhost.index, simulation.config.OtherHosts),
		Publisher: modelhost.jobTable, Picker: picker.BestFit{}, Order: orderer.BySlack{}, Log: hostLog{modelhost}, Metrics: noMetrics{},
		NewShares:  func() almondcross.SharePolicy { return sharer.New() },
		StateBytes: simulation.config.StateBytes, Room: rationer.ByFreeRoom{}, ViewRelays: modelhost.viewRelayChooser(), ViewRelayThreshold: simulation.config.ViewRelayThreshold,
	}
	if !simulation.config.Unlearned {
		config.NewRunTimes = func() almondcross.RuntimeEstimator { return estimator.New() }
		config.NewSpeeds = func() almondcross.WorkerSpeeds { return speedometer.New() }
	}
	modelhost.machine = scheduler.NewMachine(config)
	modelhost.replicator = modelhost.newReplicator()
	modelhost.runUnfrozen(modelhost.advance)
	modelhost.readRoutes()
}

// formatAbove returns 1 for a host of a later version and 0 for the others.
func (simulation *Simulation) formatAbove(index int) int {
	if simulation.drawn(index, simulation.config.LaterHosts) {
		return 1
	}
	return 0
}

// drawn reports whether a host is among a number of hosts of another version. Which ones are depends on the seed, since the strength
// of a host depends on its index.
func (simulation *Simulation) drawn(index, count int) bool {
	return (uint64(index)+simulation.config.Seed)%uint64(simulation.config.Hosts) < uint64(count) //nolint:gosec // The numbers are small.
}

// kill ends the process. Its links break.
func (modelhost *modelHost) kill() {
	modelhost.lose()
	modelhost.breakLinks()
	modelhost.breakViewLinks()
}

// lose ends the process with its machine: nothing tells the hosts that are linked to it.
func (modelhost *modelHost) lose() {
	modelhost.up = false
	modelhost.incarnation++
	modelhost.setLink(scheduler.AnnounceScheduler{})
}

func (simulation *Simulation) host(name string) *modelHost {
	for _, host := range simulation.hosts {
		if host.name == name {
			return host
		}
	}
	return nil
}

// deliver applies a message to the machine once the host is not frozen.
func (modelhost *modelHost) deliver(message almondcross.SchedulerMessage) {
	modelhost.runUnfrozen(func() {
		modelhost.machine.Apply(message, modelhost.simulation.wallTime())
		modelhost.advance()
	})
}

// runUnfrozen runs an action once the host is not frozen, unless the host restarts before.
func (modelhost *modelHost) runUnfrozen(action func()) {
	incarnation := modelhost.incarnation
	modelhost.simulation.schedule(modelhost.frozenUntil-modelhost.simulation.now, func() {
		switch {
		case modelhost.incarnation != incarnation || !modelhost.up:
		case modelhost.frozenUntil > modelhost.simulation.now:
			modelhost.runUnfrozen(action)
		default:
			action()
		}
	})
}

func (modelhost *modelHost) advance() {
	simulation := modelhost.simulation
	for effects := modelhost.machine.Advance(simulation.wallTime()); len(effects) > 0; effects = modelhost.machine.Advance(simulation.wallTime()) {
		for _, effect := range effects {
			modelhost.execute(effect)
		}
	}
	modelhost.wakeID++
	wakeID, incarnation := modelhost.wakeID, modelhost.incarnation
	simulation.schedule(modelhost.machine.NextDeadline(simulation.wallTime()).Sub(simulation.wallTime()), func() {
		if modelhost.wakeID == wakeID && modelhost.incarnation == incarnation {
			modelhost.runUnfrozen(modelhost.advance)
		}
	})
}

func (modelhost *modelHost) execute(effect scheduler.Effect) {
	modelhost.simulation.traffic.ordered(modelhost, effect)
	switch effect := effect.(type) {
	case scheduler.SendLease:
		modelhost.schedule(effect.Pause, func() { modelhost.renewLease(effect.Order) })
	case scheduler.SendStart:
		modelhost.startRun(effect.Order)
	case scheduler.SendStop:
		modelhost.stopRun(effect.Order)
	case scheduler.SendAdviceQuery:
		modelhost.queryAdvice(effect)
	case scheduler.PushBatches:
		modelhost.sendToHosts(effect.Hosts, effect.Pushed)
	case scheduler.PushViews:
		modelhost.simulation.views.pushed(modelhost, effect)
		modelhost.sendToHosts(effect.Hosts, effect.Pushed)
	case scheduler.AssignRole:
		modelhost.sendToHosts([]string{effect.Host}, effect.Assigned)
	case scheduler.AnnounceScheduler:
		modelhost.pointer = effect.Pointer
		modelhost.setLink(effect)
	case scheduler.SendPeers:
		modelhost.sendToHosts(effect.Hosts, effect.Peers)
	case scheduler.ConfirmIntake:
		if onAnswer := modelhost.simulation.forwardCallbacks[effect.Stored.Number()]; onAnswer != nil {
			modelhost.simulation.schedule(linkDelay, func() { onAnswer(effect.Stored.RefusedFor() > 0) })
		}
	default:
		modelhost.executeViews(effect)
	}
}

// schedule runs an action after a pause and once the host is not frozen, unless the host restarts before.
func (modelhost *modelHost) schedule(pause time.Duration, action func()) {
	incarnation := modelhost.incarnation
	modelhost.simulation.schedule(pause, func() {
		if modelhost.incarnation == incarnation {
			modelhost.runUnfrozen(action)
		}
	})
}

// call makes a call over the network. The receiver executes it once if the request gets through. The call fails
// after the timeout if the request or the response is lost. request and response return the extra delay of a message
// that is sent now, and whether it gets through.
func (modelhost *modelHost) call(
	timeout time.Duration, request, response func() (delay time.Duration, delivered bool), execute func(reply func(handleResponse func())), onFailure func(),
) {
	simulation, incarnation := modelhost.simulation, modelhost.incarnation
	finished := false
	finish := func(action func()) {
		if finished || modelhost.incarnation != incarnation {
			return
		}
		finished = true
		modelhost.runUnfrozen(action)
	}
	simulation.schedule(timeout, func() { finish(onFailure) })
	transmit := func(message func() (time.Duration, bool), action func()) {
		simulation.schedule(linkDelay, func() {
			switch delay, delivered := message(); {
			case !delivered:
			case delay > 0:
				simulation.schedule(delay, action)
			default:
				action()
			}
		})
	}
	transmit(request, func() {
		execute(func(handleResponse func()) { transmit(response, func() { finish(handleResponse) }) })
	})
}

// hostLog adds the host and the virtual time to the events of its machine.
type hostLog struct{ host *modelHost }

// Record passes an event on to the log of the simulation.
func (hostlog hostLog) Record(event string, fields ...almondcross.LogField) {
	hostlog.host.simulation.meter.observe(hostlog.host, event, fields)
	hostlog.host.simulation.config.Log.Record(event, append(fields, almondcross.Text("host", hostlog.host.name), almondcross.Millis("at_ms", hostlog.host.simulation.now-warmUp))...)
}

// noMetrics discards all counts.
type noMetrics struct{}

func (noMetrics) Elected()                                {}
func (noMetrics) CommitRepeated()                         {}
func (noMetrics) JobRepeated()                            {}
func (noMetrics) Admitted(string)                         {}
func (noMetrics) Finished(string, almondcross.JobState)   {}
func (noMetrics) StopSent(string)                         {}
func (noMetrics) StartAnswered(almondcross.OrderResult)   {}
func (noMetrics) Ended(almondcross.EndKind)               {}
func (noMetrics) Advised(string, int, int)                {}
func (noMetrics) RoomRefused(string)                      {}
func (noMetrics) StateHeld(int64, int64)                  {}
func (noMetrics) StateTooLarge()                          {}
func (noMetrics) Examined(int)                            {}
func (noMetrics) FormatUnknown()                          {}
func (noMetrics) Workspaces([]almondcross.WorkspaceUsage) {}
func (noMetrics) WorkerPaced(bool)                        {}

// Answered discards the status of an answer.
func (noMetrics) Answered(string, string, int, time.Duration) {}
