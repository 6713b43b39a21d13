package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

const (
	// minRoomWait and maxRoomWait bound the time after which a caller may return whose job found no room. Most tasks take seconds, and
	// a caller that waits longer than a minute may not notice that workers were added.
	minRoomWait = time.Second
	maxRoomWait = time.Minute
	// roomRateInterval is the time over which the rate is measured at which jobs return their memory, and roomRateWeight the weight
	// of the last interval in its moving average.
	roomRateInterval = time.Second
	roomRateWeight   = 0.2
)

// roomRate measures how fast the jobs of the state return their memory.
type roomRate struct {
	bytesPerSecond float64
	measuredAt     time.Time
	freed          int64 // freed is that of the ledger when the rate was last measured.
}

// update measures the rate if its interval has passed.
func (roomrate *roomRate) update(freed int64, now time.Time) {
	elapsed := now.Sub(roomrate.measuredAt)
	switch {
	case roomrate.measuredAt.IsZero():
		roomrate.measuredAt, roomrate.freed = now, freed
	case elapsed >= roomRateInterval:
		last := float64(freed-roomrate.freed) / elapsed.Seconds()
		roomrate.bytesPerSecond += roomRateWeight * (last - roomrate.bytesPerSecond)
		roomrate.measuredAt, roomrate.freed = now, freed
	}
}

// wait returns how long it takes until some bytes are returned.
func (roomrate *roomRate) wait(bytes int64) time.Duration {
	if roomrate.bytesPerSecond <= 0 {
		return maxRoomWait
	}
	seconds := min(float64(bytes)/roomrate.bytesPerSecond, maxRoomWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRoomWait)
}

// stateLimit returns the memory in bytes that the jobs of the state may take, 0 for no limit: as much as the weakest linked host may
// hold, since each may have to load the state and to schedule. It is computed when a link changes.
func (machine *Machine) stateLimit() int64 {
	limit := machine.config.StateBytes
	for _, host := range machine.linkedHosts {
		if host.stateBytes > 0 && (limit == 0 || host.stateBytes < limit) {
			limit = host.stateBytes
		}
	}
	return limit
}

// refusesIntake reports whether a forwarded job or cancellation finds no room in the state, and the time after which its caller may
// return. A job that the state has already needs none. A host of an earlier version would not understand the refusal.
func (machine *Machine) refusesIntake(forwarded almondcross.IntakeForwarded) (after time.Duration, refuses bool) {
	job, limit := forwarded.Intake().Job(), machine.leader.stateLimit
	if limit == 0 || machine.state.jobs[job.ID()] != nil || !machine.readsRefusals(forwarded.Host()) {
		return 0, false
	}
	if machine.hasRoom(job.Holder(), job.AdmissionBytes()) {
		return 0, false
	}
	machine.config.Metrics.RoomRefused(job.Queue())
	machine.logFullState(job, limit)
	return machine.leader.roomRate.wait(job.AdmissionBytes()), true
}

// hasRoom reports whether the state has room for some bytes of a holder.
func (machine *Machine) hasRoom(holder almondcross.StateHolder, bytes int64) bool {
	if machine.leader.stateLimit == 0 {
		return true
	}
	ledger := &machine.state.ledger
	return machine.config.Room.Fits(almondcross.NewRoomQuery(almondcross.RoomQueryConfig{
		Limit: machine.leader.stateLimit, Used: ledger.used, Held: ledger.held[holder], Needed: bytes,
	}))
}

// readsRefusals reports whether a host understands that its forwarded intake is refused.
func (machine *Machine) readsRefusals(host string) bool {
	linked := machine.linkedHosts[host]
	return host == machine.config.Host || linked != nil && linked.stateBytes > 0
}

// fullStateLogInterval is the least time between two log lines about a holder whose jobs find no room.
const fullStateLogInterval = 10 * time.Second

// logFullState logs that a job has found no room, for each holder from time to time.
func (machine *Machine) logFullState(job almondcross.Job, limit int64) {
	logged := machine.leader.fullLoggedAt
	if last, found := logged[job.Holder()]; found && machine.now.Sub(last) < fullStateLogInterval {
		return
	}
	logged[job.Holder()] = machine.now
	ledger := &machine.state.ledger
	machine.config.Log.Record("state_full", almondcross.Text("queue", job.Queue()), almondcross.Text("workspace", job.Workspace()),
		almondcross.Number("limit_bytes", limit), almondcross.Number("used_bytes", ledger.used),
		almondcross.Number("held_bytes", ledger.held[job.Holder()]), almondcross.Number("needed_bytes", job.AdmissionBytes()))
}
