package scheduler

import (
	"math"
	"sort"
	"time"

	"github.com/almondcross/almondcross"
)

// Within a priority, the stages of workspaces below their fair share of a pool go first, in placement order. Those of the
// others follow, the workspace that has received least for its weight in the last seconds first. No run is stopped for another workspace: what a
// workspace uses beyond its share returns with the ends of its runs.

// shareTable holds the shares of the workspaces in each pool. It follows from the runs and the waiting stages, and is renewed with
// each version of the configuration and each epoch.
type shareTable struct {
	pools  map[string]*poolShares // pools is nil if the configuration has no workspaces.
	limit  int                    // limit is how many tasks of the visited stage its owner's fair share has room for, 0 for any number.
	ranked []*shareOwner          // ranked holds the owners with stages put back in the current level of a pass.
}

// poolShares holds the shares of one pool.
type poolShares struct {
	policy   almondcross.SharePolicy
	capacity almondcross.Resources // capacity is that of the usable workers in the current pass.
	owners   map[string]*shareOwner
}

// shareOwner is a workspace in one pool. Jobs without a workspace have an owner without a name.
type shareOwner struct {
	name     string
	pool     *poolShares
	charges  int             // charges counts the runs that were charged, so that a pass sees whether a stage got any.
	putBack  []*waitingStage // putBack holds the stages of the current level that wait for those of owners below their share.
	position int             // position is that of the next of them.
	ratio    float64         // ratio is the RecentRatio with the next task of that stage.
}

// shareEntry is a queue of a workspace in one pool. The zero value stands for a job whose shares are not counted.
type shareEntry struct {
	owner   *shareOwner
	queue   string
	account almondcross.ShareAccount
}

// renewShares counts the shares anew for the configuration in force. Without workspaces no shares are counted.
func (machine *Machine) renewShares() {
	leader := machine.leader
	leader.shares = shareTable{}
	if len(machine.routes.Workspaces()) > 0 && machine.config.NewShares != nil {
		leader.shares.pools = map[string]*poolShares{}
	}
	for _, worker := range leader.sortedWorkers {
		for _, assignment := range worker.assignments {
			machine.chargeShare(assignment)
		}
	}
	for _, waiting := range leader.waitingStages {
		machine.joinShare(waiting)
	}
}

// shareEntry returns the entry of a job, the zero value if no shares are counted.
func (machine *Machine) shareEntry(job *job) shareEntry {
	pools := machine.leader.shares.pools
	if pools == nil {
		return shareEntry{}
	}
	name := machine.queue(job).Pool()
	pool := pools[name]
	if pool == nil {
		pool = &poolShares{policy: machine.config.NewShares(), owners: map[string]*shareOwner{}}
		pool.policy.SetWeights(shareWeights(machine.routes.Workspaces()))
		pools[name] = pool
	}
	owner := pool.owners[job.spec.Workspace()]
	if owner == nil {
		owner = &shareOwner{name: job.spec.Workspace(), pool: pool}
		pool.owners[owner.name] = owner
	}
	return shareEntry{owner: owner, queue: job.spec.Queue(), account: pool.policy.Account(owner.name, job.spec.Queue())}
}

// shareWeights returns the weights of workspaces. Jobs without a workspace have the least weight together: nothing is promised
// to them.
func shareWeights(workspaces []almondcross.Workspace) []almondcross.ShareWeight {
	weights := make([]almondcross.ShareWeight, 0, len(workspaces))
	for _, workspace := range workspaces {
		weights = append(weights, almondcross.NewShareWeight(almondcross.ShareWeightConfig{Owner: workspace.Name(), Weight: workspace.Weight()}))
	}
	return weights
}

// chargeShare counts a run towards the share of its workspace, from its assignment to its recorded end.
func (machine *Machine) chargeShare(assigned *assignment) {
	assigned.share = machine.shareEntry(assigned.job)
	if owner := assigned.share.owner; owner != nil {
		owner.charges++
		owner.pool.policy.AddUsage(owner.name, assigned.share.queue, assigned.resources)
	}
}

// uncharge undoes chargeShare when a run has ended.
func (shareentry shareEntry) uncharge(resources almondcross.Resources) {
	if owner := shareentry.owner; owner != nil {
		owner.pool.policy.RemoveUsage(owner.name, shareentry.queue, resources)
	}
}

// joinShare counts a waiting stage: its workspace no longer lends its share.
func (machine *Machine) joinShare(waiting *waitingStage) {
	waiting.share = machine.shareEntry(waiting.job)
	if owner := waiting.share.owner; owner != nil {
		owner.pool.policy.AddWaiting(owner.name, waiting.share.queue, 1)
	}
}

// leave undoes joinShare when a stage no longer waits.
func (shareentry shareEntry) leave() {
	if owner := shareentry.owner; owner != nil {
		owner.pool.policy.AddWaiting(owner.name, shareentry.queue, -1)
	}
}

// clearCapacity begins to add up the capacity of the usable workers.
func (sharetable *shareTable) clearCapacity() {
	for _, pool := range sharetable.pools {
		pool.capacity = almondcross.Resources{}
	}
}

// addCapacity adds a usable worker.
func (sharetable *shareTable) addCapacity(worker almondcross.Worker) {
	if pool := sharetable.pools[worker.Pool()]; pool != nil {
		pool.capacity = pool.capacity.Add(worker.Capacity())
	}
}

// setTotals sets what the workspaces share in the current pass.
func (sharetable *shareTable) setTotals(now time.Time) {
	for _, pool := range sharetable.pools {
		pool.policy.SetTotal(pool.capacity)
		pool.policy.Advance(now)
	}
}

// visitInShareOrder visits the waiting stages by priority and share, otherwise in placement order.
func (machine *Machine) visitInShareOrder(visit func(waiting *waitingStage)) {
	stages := machine.leader.waitingStages
	if machine.leader.shares.pools == nil {
		for _, waiting := range stages {
			visit(waiting)
		}
		return
	}
	for len(stages) > 0 {
		end := 1
		for end < len(stages) && stages[end].priority == stages[0].priority {
			end++
		}
		machine.visitLevel(stages[:end], visit)
		stages = stages[end:]
	}
}

// visitLevel visits the stages of one priority: first those of owners below their fair share, as of when their turn comes, then
// the others by owner. A step that is wider than what its owner's share has room for is visited in both parts.
func (machine *Machine) visitLevel(stages []*waitingStage, visit func(waiting *waitingStage)) {
	sharetable := &machine.leader.shares
	sharetable.ranked = sharetable.ranked[:0]
	for _, waiting := range stages {
		owner := waiting.share.owner
		if !waiting.share.account.ExceedsFairShare(waiting.halfOfNext()) {
			sharetable.limit = waiting.tasksToFairShare()
			limited := sharetable.limit < waiting.stage.unplaced()
			visit(waiting)
			sharetable.limit = 0
			if !limited {
				continue
			}
		}
		if len(owner.putBack) == 0 {
			sharetable.ranked = append(sharetable.ranked, owner)
		}
		owner.putBack = append(owner.putBack, waiting)
	}
	for _, owner := range sharetable.ranked {
		owner.rank()
	}
	for owner := sharetable.next(); owner != nil; owner = sharetable.next() {
		owner.visitUntilCharged(visit)
	}
	for _, owner := range sharetable.ranked {
		for _, waiting := range owner.putBack {
			machine.logPutBack(waiting)
		}
		clear(owner.putBack)
		owner.putBack, owner.position = owner.putBack[:0], 0
	}
}

// logPutBack logs once for a stage that it waits behind those of other workspaces, because its own has more than its fair share.
func (machine *Machine) logPutBack(waiting *waitingStage) {
	if waiting.putBackLogged || !waiting.job.ready(waiting.stage) {
		return
	}
	owner := waiting.share.owner
	fairShare := owner.pool.policy.FairShare(owner.name)
	if fairShare >= 1 {
		return // No other workspace has work in the pool.
	}
	waiting.putBackLogged = true
	rounded := func(share float64) float64 { return math.Round(share*1000) / 1000 }
	machine.config.Log.Record("stage_put_back", almondcross.Text("stage", waiting.stage.id.String()), almondcross.Text("workspace", owner.name),
		almondcross.Text("pool", machine.queue(waiting.job).Pool()), almondcross.Number("fair_share", rounded(fairShare)),
		almondcross.Number("promised_share", rounded(owner.pool.policy.PromisedShare(owner.name))),
		almondcross.Number("borrowed_share", rounded(owner.pool.policy.BorrowedShare(owner.name))))
}

// next returns the owner with the lowest ratio that has a stage to visit, the first of equal ones, nil for none.
func (sharetable *shareTable) next() *shareOwner {
	var lowest *shareOwner
	for _, owner := range sharetable.ranked {
		if owner.position < len(owner.putBack) && (lowest == nil || owner.ratio < lowest.ratio) {
			lowest = owner
		}
	}
	return lowest
}

// visitUntilCharged visits the stages of an owner in order, until one has got a run and the owner's ratio has changed.
func (shareowner *shareOwner) visitUntilCharged(visit func(waiting *waitingStage)) {
	charges := shareowner.charges
	for shareowner.position < len(shareowner.putBack) && shareowner.charges == charges {
		visit(shareowner.putBack[shareowner.position])
		shareowner.position++
	}
	shareowner.rank()
}

// rank computes the ratio of an owner with the next task of its next stage.
func (shareowner *shareOwner) rank() {
	if shareowner.position < len(shareowner.putBack) {
		waiting := shareowner.putBack[shareowner.position]
		shareowner.ratio = waiting.share.account.RecentRatio(waiting.next())
	}
}

// tasksToFairShare returns how many of the tasks to place bring the owner closer to its fair share, at least 1. A gang is whole, and so are
// steps under suspicion, whose wait for workers of their own would otherwise begin with the limit.
func (waitingstage *waitingStage) tasksToFairShare() int {
	if waitingstage.stage.spec.Gang() || waitingstage.stage.maxCrashes > 0 {
		return waitingstage.stage.unplaced()
	}
	need, half := waitingstage.stage.spec.Resources(), waitingstage.halfOfNext()
	return 1 + sort.Search(waitingstage.stage.unplaced()-1, func(added int) bool {
		return waitingstage.share.account.ExceedsFairShare(need.Scale(int64(added) + 1).Add(half))
	})
}

// next returns what the next task of a stage needs, or the whole gang.
func (waitingstage *waitingStage) next() almondcross.Resources {
	return waitingstage.stage.spec.Resources().Scale(int64(waitingstage.tasksAtOnce()))
}

// halfOfNext returns half of what the next task needs. An owner is below its fair share if it comes closer to it with the task, so
// that rounding to whole tasks favours neither small nor large owners.
func (waitingstage *waitingStage) halfOfNext() almondcross.Resources {
	next := waitingstage.next()
	return almondcross.NewResources(almondcross.ResourcesConfig{
		MilliCPU: next.MilliCPU() / 2, MemoryMB: next.MemoryMB() / 2, Accelerators: next.Accelerators() / 2, Slots: next.Slots() / 2,
	})
}
