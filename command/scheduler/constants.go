package scheduler

import "time"

// Times of the journal and of elections.
const (
	leaderTick   = 20 * time.Millisecond
	followerTick = 50 * time.Millisecond
	// heartbeat is the longest time between two batches of a scheduler.
	heartbeat = 200 * time.Millisecond
	// silenceLimit is how long the journal may be silent before a follower stands for election. It
	// leaves room for two lost heartbeats.
	silenceLimit = 600 * time.Millisecond
	// electionJitter spreads the candidates, so that one of them usually is alone.
	electionJitter = 200 * time.Millisecond
	// fullStrength is the strength of a host that could schedule for a whole cluster.
	fullStrength = 100
	// weaknessDelay is how much later a host stands for election for each point that it is short of full strength.
	weaknessDelay = 8 * time.Millisecond
	// longestDistance bounds what the distance from the store takes off a host's strength.
	longestDistance = 50 * time.Millisecond
	// weakStrength is the strength from which a host may be a standby at once.
	weakStrength = 40
	// wantedStandbys is the number of hosts that follow the journal beside the scheduler: two may be lost at once.
	wantedStandbys = 3
	// handoverPause and handoverGain are the time and the strength after which a weak scheduler hands over. A weak
	// link can take longer to push all views to many hosts than the callers wait.
	handoverPause = 1500 * time.Millisecond
	handoverGain  = 25
	// pointerPause is the pause between reads of the pointer while the scheduler is looked for.
	pointerPause = 200 * time.Millisecond
	// pointerRefresh is how often the scheduler stores the pointer again.
	pointerRefresh = 4 * time.Second
	// seekLimit is how long a host looks for the scheduler before it loads the state itself: an election among
	// the standbys and a link take less.
	seekLimit = 1200 * time.Millisecond
	// silentSeekLimit is the same while the store does not answer either, so that there is nothing to load.
	silentSeekLimit = 4 * time.Second
	// loadLimit is how long a host tries to load the state before it looks for the scheduler again.
	loadLimit = time.Second
	// movePause is the pause between two questions of a standby that the store does not answer.
	movePause = 400 * time.Millisecond
	// viaPeerPause is the pause between two reads of the pointer by a linked host that the store did not answer.
	viaPeerPause = 2 * time.Second
	// askedPeers is the most hosts that are asked at once which one schedules.
	askedPeers = 6
	// keptPeers is the most addresses of hosts that are kept; hosts that are gone are among them.
	keptPeers = 64
	// seekDelay is how much longer a host looks for each point that it is short of full strength. After a loss
	// of all hosts, many that load the state at once would fill the link between the regions.
	seekDelay = 40 * time.Millisecond
	// lightSilence is how long the link to the scheduler may be silent. It pushes with every batch.
	lightSilence = 700 * time.Millisecond
	// electionBackoff is the pause after an election that was not won.
	electionBackoff = 400 * time.Millisecond
	// batchFresh is the age of a batch up to which its scheduler counts as alive.
	batchFresh = 1500 * time.Millisecond
	// readFresh is how old the last answered read may be for the silence to count as the scheduler's.
	readFresh = time.Second
	// followPause limits how often a follower reads, since each read has a price.
	followPause = 90 * time.Millisecond
	// pushFresh is the age of the last batch over the link up to which the store is read less often.
	pushFresh = 500 * time.Millisecond
	// pushedPause is the pause between reads of a host that gets its batches over the link.
	pushedPause = 600 * time.Millisecond
	// followWait is how long a read waits for a batch.
	followWait = 400 * time.Millisecond
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 100 * time.Millisecond
	// intakePause limits how often the intake partitions are read.
	intakePause = 15 * time.Millisecond
	// intakeFresh is the age of the last answered read of an intake partition up to which nothing in it
	// can have been overlooked for long; a read waits for two seconds.
	intakeFresh = 2500 * time.Millisecond
	// workersPause limits how often the changes of the announced workers are read.
	workersPause = 250 * time.Millisecond
	// appendPause is the least time between two appends, each of which has a price.
	appendPause = 15 * time.Millisecond
	// placePause is the least time between two passes over the waiting stages.
	placePause = 4 * time.Millisecond
	// batchChanges is the most changes in one record of the journal; 40 jobs of the largest size fit a record.
	batchChanges = 40
)

// Times of workers.
const (
	// leaseLength is the time for which everything on a worker may run without a word from the scheduler.
	leaseLength = 4500 * time.Millisecond
	// leaseWait is how long a worker's answer waits for an end.
	leaseWait = 600 * time.Millisecond
	// leasePause limits how often a worker with many ends is asked.
	leasePause = 25 * time.Millisecond
	// leaseRetry is the pause before a worker that did not answer is asked again.
	leaseRetry = 250 * time.Millisecond
	// leaseRetryLong is the pause once a worker has not answered for retryLongAfter; many workers behind a
	// link that is full must not keep it full.
	leaseRetryLong = 800 * time.Millisecond
	retryLongAfter = 2 * time.Second
	// contactLimit is the age of the last answer beyond which a worker gets no new work.
	contactLimit = 2500 * time.Millisecond
	// extendLimit is the age of the last answer beyond which the lease is not extended any more, so
	// that a worker that hears but is not heard stops its work.
	extendLimit = 1800 * time.Millisecond
	// leadershipLimit is how long a scheduler extends leases after its last commit. A successor
	// waits for this time and a lease before it takes the runs of a silent worker for gone.
	leadershipLimit = 5 * time.Second
	// clockSlack is how much slower a worker's clock may run.
	clockSlack = 0.02
	// announcementLimit is the age of an announcement up to which its worker is alive: three times the interval
	// in which workers renew it.
	announcementLimit = 4500 * time.Millisecond
	// cutPatience is how much longer than its lease a worker that is alive and cannot be reached is waited for.
	cutPatience = 6 * time.Second
	// lossMargin covers the way of the last order to a worker.
	lossMargin = 500 * time.Millisecond
	// stopRetry is the pause before a stop order is repeated.
	stopRetry = 400 * time.Millisecond
	// stopLimit is how long a stop order may be under way. Its answer is lost when the worker gets a new address.
	stopLimit = 2 * time.Second
	// forgetWorker is how long a silent worker that is not announced is kept.
	forgetWorker = 6 * time.Second
	// failureLimit is the number of failed runs in a row after which a worker is avoided.
	failureLimit = 3
	// failurePause is the time per failed run for which it is avoided.
	failurePause = time.Second
	// stallLimit is how long a run may show no progress; a gang waits for its members for less.
	stallLimit = 3500 * time.Millisecond
	// fullProgress is the progress in percent that a run longer than expected shows until it ends.
	fullProgress = 100
	// overdueLimit is how long a run may show it.
	overdueLimit = 20 * time.Second
	// stallPause is how long a worker with a stalled run gets no new work.
	stallPause = 5 * time.Second
	// listLimit is the number of ends at which a worker's list may be cut short.
	listLimit = 500
)

// Epochs and fences. An epoch has a rising term above random bits, which tell candidates of one
// term apart; a fence has the epoch above a counter of one worker.
const (
	epochRandomBits  = 12
	fenceCounterBits = 10
)
