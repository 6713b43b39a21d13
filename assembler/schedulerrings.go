package assembler

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/asker"
	"github.com/almondcross/almondcross/command/connector"
	"github.com/almondcross/almondcross/command/executor"
	"github.com/almondcross/almondcross/command/submitter"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/ring"
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
	// schedulerChangesRingCapacity bounds the changes of the current scheduler, and of the relay of views, that wait for their link
	// dialers; they are rare.
	schedulerChangesRingCapacity = 64
)

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

// offerStored passes the confirmation of a forwarded intake to the submitter. A confirmation is dropped if the ring
// is full; this host then stores the intake itself.
func (schedulerrings schedulerRings) offerStored(stored almondcross.IntakeStored) {
	schedulerrings.stored.Offer(stored)
}
