package scheduler

import "time"

// Timing of the journal and of elections.
const (
	leaderTick = 20 * time.Millisecond
	// sweepInterval is the time between two checks of all workers and advice calls for timeouts, which are far longer.
	sweepInterval = 100 * time.Millisecond
	followerTick  = 50 * time.Millisecond
	// heartbeatInterval is the maximum time between two batches of a scheduler.
	heartbeatInterval = 200 * time.Millisecond
	// electionTimeout is how long a follower sees no batch before it stands for election. It tolerates two
	// lost heartbeats.
	electionTimeout = 600 * time.Millisecond
	// electionJitter spreads the candidates that have no rank over time, so that usually only one stands.
	electionJitter = 200 * time.Millisecond
	// candidacyInterval is the time between the candidacies of two ranked standbys. An election takes less unless the store is
	// slow.
	candidacyInterval = 100 * time.Millisecond
	// maxEndedCandidacies is how often a standby stands at once after the end of a scheduler. Its last append may have been on its way
	// at the first one.
	maxEndedCandidacies = 3
	// fullStrength is the strength of a host that can schedule for a whole cluster.
	fullStrength = 100
	// electionDelayPerPoint delays the candidacy of a host without a rank for each point below full strength.
	electionDelayPerPoint = 8 * time.Millisecond
	// maxLatencyPenalty limits how much the latency to the store reduces a host's strength: one point per
	// millisecond.
	maxLatencyPenalty = 50 * time.Millisecond
	// minStandbyStrength is the strength from which a newly linked host may become a standby.
	minStandbyStrength = 40
	// maxStandbys is the number of hosts that follow the journal in addition to the scheduler. With three, two
	// hosts may be lost at the same time.
	maxStandbys = 3
	// handoverDelay is how long a scheduler leads before it may hand over, and handoverStrengthGain is by how
	// much a standby must be stronger. The delay is short because a weak scheduler on a slow link may take longer
	// to push all views to many hosts than callers wait.
	handoverDelay        = 1500 * time.Millisecond
	handoverStrengthGain = 25
	// pointerReadInterval is the pause between reads of the pointer during discovery.
	pointerReadInterval = 200 * time.Millisecond
	// pointerStoreInterval is how often the scheduler rewrites the pointer.
	pointerStoreInterval = 4 * time.Second
	// discoveryTimeout is how long a host looks for the scheduler before it loads the state itself. An
	// election among the standbys plus a new link take less.
	discoveryTimeout = 1200 * time.Millisecond
	// discoveryTimeoutStoreDown replaces discoveryTimeout while the store does not answer, since there is no
	// state to load.
	discoveryTimeoutStoreDown = 4 * time.Second
	// loadTimeout is how long a host tries to load the state before it returns to discovery.
	loadTimeout = time.Second
	// standbyQueryInterval is the pause between queries for the scheduler by a standby that cannot reach the
	// store.
	standbyQueryInterval = 400 * time.Millisecond
	// viaPeerReadInterval is the pause between reads of the pointer by a linked host that could not reach the
	// store.
	viaPeerReadInterval = 2 * time.Second
	// maxQueriedPeers is the maximum number of hosts that one query for the scheduler asks.
	maxQueriedPeers = 6
	// maxPeers is the maximum number of stored host addresses. Addresses of hosts that have left count as
	// well.
	maxPeers = 64
	// loadDelayPerPoint lengthens the discovery for each point below full strength. After an outage of all
	// hosts, many hosts that load the state at once would saturate the link between the regions.
	loadDelayPerPoint = 40 * time.Millisecond
	// maxViewMessagesPerSecond bounds the messages with views that the scheduler sends to all viewers together.
	maxViewMessagesPerSecond = 1000
	// maxViewInterval limits the pause between two messages with views to one viewer, so that an idle scheduler sends them
	// with each batch. linkTimeout tolerates two late ones.
	maxViewInterval = 150 * time.Millisecond
	// snapshotDelay is how long a scheduler leads before it stores a snapshot. In a takeover, the other hosts need its link
	// to the store and to them more.
	snapshotDelay = 300 * time.Millisecond
	// snapshotRetryDelay is the minimum time between two snapshots, also if the first one was not stored.
	snapshotRetryDelay = time.Second
	// maxEarlierEpochs is the number of epochs whose snapshots a scheduler removes unseen. There are more only if as many
	// schedulers follow each other without storing one.
	maxEarlierEpochs = 8
	// maxTrimmedReads is the number of loads of the state after which a gap between the newest snapshot and the journal counts
	// as one: a snapshot may have been stored between the two reads of a load.
	maxTrimmedReads = 3
	// gapRetryDelay is the pause before a host that has met a gap loads the state again.
	gapRetryDelay = time.Second
	// stateLossTimeout is how long a host that has met a gap waits for any scheduler before it continues without the deleted
	// batches. A host that has the state and reaches the store is elected within 2 s of the loss of the scheduler, and
	// restarts and outages of the store take less than half of this time.
	stateLossTimeout = 30 * time.Second
	// standbyLoadTime is how long a new standby gets views as well as batches. It reads the snapshot and the journal
	// meanwhile, which takes under a second unless the store is slow.
	standbyLoadTime = 8 * time.Second
	// linkTimeout is how long the link to the scheduler may be silent. The scheduler pushes after every batch.
	linkTimeout = 700 * time.Millisecond
	// electionBackoff is the delay after a lost election.
	electionBackoff = 400 * time.Millisecond
	// lastTermRetryDelay is how often a host without a further term logs that it cannot stand for election.
	lastTermRetryDelay = 10 * time.Second
	// freshBatchAge is the maximum age of a batch that shows its scheduler to be alive.
	freshBatchAge = 1500 * time.Millisecond
	// freshReadAge is the maximum age of the last successful read for an election. If it is older, the store
	// may be the one that is silent.
	freshReadAge = time.Second
	// journalReadInterval limits how often a follower reads, since each read is billed.
	journalReadInterval = 90 * time.Millisecond
	// endedReadInterval replaces journalReadInterval once the scheduler's process has ended, until another one is elected.
	endedReadInterval = 20 * time.Millisecond
	// freshPushAge is the maximum age of the last pushed batch for the store to be read less often. It tolerates one late
	// heartbeat.
	freshPushAge = 300 * time.Millisecond
	// pushedReadInterval is the pause between reads while batches arrive over the link.
	pushedReadInterval = 600 * time.Millisecond
	// journalReadWait is how long a read waits for a batch.
	journalReadWait = 400 * time.Millisecond
	// storeRetryDelay is the delay before a failed call to the store is retried.
	storeRetryDelay = 100 * time.Millisecond
	// intakeReadWait is how long a read of an intake partition waits for the first record.
	intakeReadWait = 2 * time.Second
	// intakeReadInterval limits how often the intake partitions are read.
	intakeReadInterval = 15 * time.Millisecond
	// freshIntakeAge is the maximum age of the last successful read of an intake partition for it to count as
	// current. A read waits up to two seconds.
	freshIntakeAge = 2500 * time.Millisecond
	// workersReadInterval limits how often the changes of announced workers are read.
	workersReadInterval = 250 * time.Millisecond
	// minAppendInterval is the minimum time between two appends, since each append is billed.
	minAppendInterval = 15 * time.Millisecond
	// minPlacementInterval is the minimum time between two passes over the waiting stages.
	minPlacementInterval = 4 * time.Millisecond
	// stagePlacementInterval is the time between two passes for each waiting stage, if it is longer in all. A pass looks at each of
	// them, and with tens of thousands it must leave time for the other work of the scheduler.
	stagePlacementInterval = 4 * time.Microsecond
	// maxBatchChanges is the maximum number of changes in one journal record.
	maxBatchChanges = 40
)

// Timing of workers.
const (
	// leaseDuration is how long runs on a worker may continue without a renewal by the scheduler.
	leaseDuration = 4500 * time.Millisecond
	// leaseAnswerWait is how long a worker may delay its answer to wait for the end of a run.
	leaseAnswerWait = 600 * time.Millisecond
	// maxLeaseAnswerWait limits that time in a cell of many workers. A worker is renewed well before its last answer is
	// older than maxExtensionAge.
	maxLeaseAnswerWait = 1200 * time.Millisecond
	// maxLooksPerSecond is the number of lease orders a second to idle workers above which the scheduler lets them wait
	// longer for an end.
	maxLooksPerSecond = 1000
	// minLeaseInterval is the pause before the next lease order to a worker that has reported new ends. It
	// limits how often a worker with many ends is queried.
	minLeaseInterval = 25 * time.Millisecond
	// leaseRetryDelay is the delay before the next lease order to a worker that did not answer.
	leaseRetryDelay = 250 * time.Millisecond
	// longLeaseRetryDelay is the delay once a worker has not answered for longLeaseRetryAfter. Retries to many
	// workers behind a saturated link must not keep it saturated.
	longLeaseRetryDelay = 800 * time.Millisecond
	longLeaseRetryAfter = 2 * time.Second
	// maxContactAge is the maximum age of the last answer for a worker to get new work.
	maxContactAge = 2500 * time.Millisecond
	// maxExtensionAge is the maximum age of the last answer for a lease to be extended. A worker that receives
	// orders but whose answers are lost thus stops its work.
	maxExtensionAge = 1800 * time.Millisecond
	// leadershipTimeout is how long a scheduler extends leases after its last commit, unless it resigns. A successor waits for
	// this time plus a lease before it presumes the runs of an unreachable worker lost, see the type leadership.
	leadershipTimeout = 5 * time.Second
	// resignationLag is how long after the record of its resignation a scheduler may extend leases. It extends none, but zero
	// would stand for a scheduler of an earlier version, which does not record this time.
	resignationLag = time.Millisecond
	// firstContactTimeout is how long a new scheduler tries to reach a worker before it presumes its runs lost, although the
	// lease has expired: the ends of runs may still be reported. Announcements are back within 2 s of an outage of the store.
	firstContactTimeout = 3 * time.Second
	// maxClockDrift is the maximum fraction by which a worker's clock may run slow.
	maxClockDrift = 0.02
	// maxAnnouncementAge is the maximum age of an announcement for its worker to count as alive: three times
	// the interval at which workers renew it.
	maxAnnouncementAge = 4500 * time.Millisecond
	// unreachableWorkerGrace is how long the scheduler waits, after the lease has expired, for a worker that
	// is alive but unreachable.
	unreachableWorkerGrace = 6 * time.Second
	// lastOrderMargin covers the delivery of the last order to a worker.
	lastOrderMargin = 500 * time.Millisecond
	// unboundStartInterval is the minimum time between two records that a run may have the longest lease of a worker.
	unboundStartInterval = time.Second
	// maxStartAnswerAge is how long the answer to a start order takes at most, also if a silent relaying host is given up.
	maxStartAnswerAge = 2 * time.Second
	// stopRetryDelay is the delay before a stop order is repeated.
	stopRetryDelay = 400 * time.Millisecond
	// stopTimeout is how long a stop order may stay unanswered. Its answer is lost when the worker's address
	// changes.
	stopTimeout = 2 * time.Second
	// workerRetention is how long an unreachable worker without an announcement is kept.
	workerRetention = 6 * time.Second
	// failureBackoff is how long a worker that appears to be faulty is avoided for each of its last failed runs.
	failureBackoff = time.Second
	// stallTimeout is how long a run may make no progress. The members of a gang wait for each other for less.
	stallTimeout = 3500 * time.Millisecond
	// fullProgress is the progress in percent that a run reports when it takes longer than expected.
	fullProgress = 100
	// overdueTimeout replaces stallTimeout for a run at fullProgress, or overdueFactor times the expected run time if that is
	// longer. Both grow with the number of the run, up to maxOverdueRuns and maxOverdueLimit. Some tasks take seven times as
	// long as others of their kind, longer on a slow worker.
	overdueTimeout  = 20 * time.Second
	overdueFactor   = 10
	maxOverdueRuns  = 8
	maxOverdueLimit = 24 * time.Hour
	// stallBackoff is how long a worker with a stalled run is avoided.
	stallBackoff = 5 * time.Second
	// maxUnknownStops is the maximum number of runs that are stopped and logged for one report because they are not among
	// the worker's assignments. The next report names the others again.
	maxUnknownStops = 50
	// maxReportedEnds is the number of ends from which a worker's report may be truncated.
	maxReportedEnds = 500
)
