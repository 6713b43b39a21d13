package scheduler

import (
	"time"

	"github.com/almondcross/almondcross"
)

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
	after = machine.leader.roomWaits.add(job.Holder(), job.AdmissionBytes())
	machine.logFullState(job, limit)
	return after, true
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

// logFullState logs that a job has found no room, for each holder from time to time. A caller of the holder waits for room.
func (machine *Machine) logFullState(job almondcross.Job, limit int64) {
	wait := machine.leader.roomWaits[job.Holder()]
	if !wait.loggedAt.IsZero() && machine.now.Sub(wait.loggedAt) < fullStateLogInterval {
		return
	}
	wait.loggedAt = machine.now
	ledger := &machine.state.ledger
	machine.config.Log.Record("state_full", almondcross.Text("queue", job.Queue()), almondcross.Text("workspace", job.Workspace()),
		almondcross.Number("limit_bytes", limit), almondcross.Number("used_bytes", ledger.used),
		almondcross.Number("held_bytes", ledger.held[job.Holder()]), almondcross.Number("needed_bytes", job.AdmissionBytes()))
}
