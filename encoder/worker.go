package encoder

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/almondcross/almondcross"
)

// WorkerTerm is the term of a lease.
type WorkerTerm struct {
	Boot    uint64 `json:"boot"`
	Counter uint64 `json:"counter"`
}

// WorkerMember identifies one incarnation of an entry host.
type WorkerMember struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
}

// WorkerTaskID identifies a task.
type WorkerTaskID struct {
	Caller string `json:"caller"`
	Origin string `json:"origin"`
	Name   string `json:"name"`
	Index  int    `json:"index"`
}

// WorkerResources is an amount of each resource.
type WorkerResources struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryMB     int64 `json:"memory_mb"`
	Accelerators int64 `json:"accelerators"`
	Slots        int64 `json:"slots"`
}

// WorkerTask is the definition of a task that a worker runs. Durations are in microseconds.
type WorkerTask struct {
	ID            WorkerTaskID    `json:"id"`
	Entry         string          `json:"entry"`
	Owner         string          `json:"owner"`
	Class         string          `json:"class"`
	Resources     WorkerResources `json:"resources"`
	Payload       []byte          `json:"payload"`
	Repeatable    bool            `json:"repeatable"`
	Urgent        bool            `json:"urgent"`
	Size          int             `json:"size"`
	Attempt       int             `json:"attempt"`
	Coordinator   WorkerMember    `json:"coordinator"`
	MaxRunUs      int64           `json:"max_run_us"`
	ExpectedRunUs int64           `json:"expected_run_us"`
	TimeoutUs     int64           `json:"timeout_us"`
	LostTargets   int             `json:"lost_targets,omitempty"`
}

// WorkerResult is the result of an attempt. AnswerBytes and Checksum are those of the whole answer, so that a
// truncated Answer is detected.
type WorkerResult struct {
	ID          WorkerTaskID `json:"id"`
	Attempt     int          `json:"attempt"`
	Code        string       `json:"code"`
	Answer      []byte       `json:"answer"`
	AnswerBytes int          `json:"answer_bytes"`
	Checksum    string       `json:"checksum"` // xxhash64 in hexadecimal, since JSON numbers are exact only up to 2^53
	RanUs       int64        `json:"ran_us"`
}

// WorkerInventoryItem is a task in the inventory of a worker.
type WorkerInventoryItem struct {
	Task   WorkerTask    `json:"task"`
	Result *WorkerResult `json:"result,omitempty"` // absent while the task runs
}

// WorkerAcquire is the request body that acquires the lease of a worker.
type WorkerAcquire struct {
	Holder WorkerMember `json:"holder"`
}

// WorkerGrant is the response to an acquisition of the lease.
type WorkerGrant struct {
	Target    string                `json:"target"`
	Term      WorkerTerm            `json:"term"`
	Capacity  WorkerResources       `json:"capacity"`
	Leaving   bool                  `json:"leaving"`
	Inventory []WorkerInventoryItem `json:"inventory"`
	Events    uint64                `json:"events"` // the index of the last event
}

// WorkerRenew is the request body that renews the lease and extends the task leases of the listed tasks.
type WorkerRenew struct {
	Term  WorkerTerm     `json:"term"`
	Tasks []WorkerTaskID `json:"tasks"`
}

// WorkerRenewal is the response to a renewal.
type WorkerRenewal struct {
	Leaving bool            `json:"leaving"`
	Usage   WorkerResources `json:"usage"`
}

// WorkerRelease is the request body that releases the lease.
type WorkerRelease struct {
	Term WorkerTerm `json:"term"`
}

// WorkerStart is the request body that starts a task.
type WorkerStart struct {
	Term WorkerTerm `json:"term"`
	Task WorkerTask `json:"task"`
}

// WorkerTaskCommand is the request body that stops, checkpoints or throttles a task.
type WorkerTaskCommand struct {
	Term    WorkerTerm   `json:"term"`
	ID      WorkerTaskID `json:"id"`
	Code    string       `json:"code,omitempty"`    // the reason code of a stop
	Percent int          `json:"percent,omitempty"` // the limit of a throttle, in percent
}

// WorkerEmptyResponse is the empty response of an operation that returns nothing.
type WorkerEmptyResponse struct{}

// WorkerEvent reports that an attempt ended.
type WorkerEvent struct {
	Index  uint64       `json:"index"`
	Result WorkerResult `json:"result"`
}

// WorkerEvents is the response to a query for events.
type WorkerEvents struct {
	Events []WorkerEvent `json:"events"`
}

// WorkerState is the state of a worker.
type WorkerState struct {
	Name           string          `json:"name"`
	Boot           uint64          `json:"boot"`
	Term           WorkerTerm      `json:"term"`
	Holder         WorkerMember    `json:"holder"`
	Leased         bool            `json:"leased"`
	Leaving        bool            `json:"leaving"`
	Capacity       WorkerResources `json:"capacity"`
	Allocated      WorkerResources `json:"allocated"`
	Running        []WorkerTaskID  `json:"running"`
	Events         uint64          `json:"events"`  // the index of the last event
	Unacknowledged int             `json:"waiting"` // the number of ended tasks whose results are not acknowledged yet
}

// WorkerHistoryKind is the kind of a history entry.
type WorkerHistoryKind string

// The kinds of history entries.
const (
	WorkerBooted            WorkerHistoryKind = "booted"
	WorkerLeaseGranted      WorkerHistoryKind = "granted"
	WorkerLeaseReleased     WorkerHistoryKind = "released"
	WorkerLeaseExpired      WorkerHistoryKind = "expired"
	WorkerTaskStarted       WorkerHistoryKind = "started"
	WorkerStartRefused      WorkerHistoryKind = "start_refused"
	WorkerOvercommitRefused WorkerHistoryKind = "overcommit_refused"
	WorkerStopOrdered       WorkerHistoryKind = "stop_ordered"
	WorkerCheckpointed      WorkerHistoryKind = "checkpointed"
	WorkerThrottled         WorkerHistoryKind = "throttled"
	WorkerTaskExpired       WorkerHistoryKind = "task_expired"
	WorkerTaskEnded         WorkerHistoryKind = "ended"
	WorkerTaskDropped       WorkerHistoryKind = "vanished" // the task was dropped by a restart as by a reboot of the machine
)

// WorkerHistoryEntry is a recorded change of the state of a worker.
type WorkerHistoryEntry struct {
	Index     int               `json:"index"`
	AtUs      int64             `json:"at_us"`
	Kind      WorkerHistoryKind `json:"kind"`
	Term      WorkerTerm        `json:"term"`
	Holder    WorkerMember      `json:"holder"`
	Task      *WorkerTaskID     `json:"task,omitempty"`
	Attempt   int               `json:"attempt,omitempty"`
	Code      string            `json:"code,omitempty"`
	Allocated WorkerResources   `json:"allocated"` // the allocation after the change
	Needed    WorkerResources   `json:"needed"`    // the resources of the task
}

// WorkerHistory is a page of the history.
type WorkerHistory struct {
	Worker   string               `json:"worker"`
	Capacity WorkerResources      `json:"capacity"`
	Entries  []WorkerHistoryEntry `json:"entries"`
	Next     int                  `json:"next"`
	Total    int                  `json:"total"`
	Dropped  int                  `json:"dropped"` // the number of entries dropped because the list was full
}

// WorkerFaults configures the faults that the stand-in of a worker injects.
type WorkerFaults struct {
	FailAll   bool  `json:"fail_all"`   // whether every task ends without an answer
	DelayMs   int64 `json:"delay_ms"`   // the delay of each response
	RunFactor int   `json:"run_factor"` // the multiplier of the run time of started tasks; 0 means 1
	Truncate  bool  `json:"truncate"`   // whether answers are truncated
	Refuse    bool  `json:"refuse"`     // whether connections are closed without a response
	Leaving   bool  `json:"leaving"`    // whether the worker accepts no new work
}

// WorkerRestart is the request body that restarts a worker.
type WorkerRestart struct {
	KeepTasks bool `json:"keep_tasks"` // whether running tasks survive the restart
}

// WorkerTermOf returns the wire form of a term.
func WorkerTermOf(term almondcross.Term) WorkerTerm {
	return WorkerTerm{Boot: term.Boot(), Counter: term.Counter()}
}

// Value returns the value of the wire form.
func (workerterm WorkerTerm) Value() almondcross.Term {
	return almondcross.NewTerm(almondcross.TermConfig{Boot: workerterm.Boot, Counter: workerterm.Counter})
}

// WorkerMemberOf returns the wire form of a member ID.
func WorkerMemberOf(member almondcross.MemberID) WorkerMember {
	return WorkerMember{Name: member.Name(), Incarnation: member.Incarnation()}
}

// Value returns the value of the wire form.
func (workermember WorkerMember) Value() almondcross.MemberID {
	return almondcross.NewMemberID(almondcross.MemberIDConfig{Name: workermember.Name, Incarnation: workermember.Incarnation})
}

// WorkerTaskIDOf returns the wire form of a task ID.
func WorkerTaskIDOf(id almondcross.TaskID) WorkerTaskID {
	key := id.Key()
	return WorkerTaskID{Caller: key.Caller(), Origin: key.Origin(), Name: key.Name(), Index: id.Index()}
}

// WorkerTaskIDsOf returns the wire form of task IDs.
func WorkerTaskIDsOf(ids []almondcross.TaskID) []WorkerTaskID {
	encoded := make([]WorkerTaskID, 0, len(ids))
	for _, id := range ids {
		encoded = append(encoded, WorkerTaskIDOf(id))
	}
	return encoded
}

// Value returns the value of the wire form.
func (workertaskid WorkerTaskID) Value() almondcross.TaskID {
	return almondcross.NewTaskID(almondcross.TaskIDConfig{
		Key:   almondcross.NewKey(almondcross.KeyConfig{Caller: workertaskid.Caller, Origin: workertaskid.Origin, Name: workertaskid.Name}),
		Index: workertaskid.Index,
	})
}

// WorkerResourcesOf returns the wire form of resources.
func WorkerResourcesOf(resources almondcross.Resources) WorkerResources {
	return WorkerResources(resources.Config())
}

// Value returns the value of the wire form.
func (workerresources WorkerResources) Value() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig(workerresources))
}

// WorkerTaskOf returns the wire form of a task.
func WorkerTaskOf(task almondcross.Task) WorkerTask {
	return WorkerTask{
		ID: WorkerTaskIDOf(task.ID()), Entry: task.Entry(), Owner: task.Owner(), Class: string(task.Class()),
		Resources: WorkerResourcesOf(task.Resources()), Payload: task.Payload(), Repeatable: task.Repeatable(),
		Urgent: task.Urgent(), Size: task.Size(), Attempt: task.Attempt(), Coordinator: WorkerMemberOf(task.Coordinator()),
		MaxRunUs: task.MaxRun().Microseconds(), ExpectedRunUs: task.ExpectedRun().Microseconds(),
		TimeoutUs: task.Timeout().Microseconds(), LostTargets: task.LostTargets(),
	}
}

// Value returns the value of the wire form.
func (workertask WorkerTask) Value() almondcross.Task {
	return almondcross.NewTask(almondcross.TaskConfig{
		ID: workertask.ID.Value(), Entry: workertask.Entry, Owner: workertask.Owner, Class: almondcross.Class(workertask.Class),
		Resources: workertask.Resources.Value(), Payload: workertask.Payload, Repeatable: workertask.Repeatable,
		Urgent: workertask.Urgent, Size: workertask.Size, Attempt: workertask.Attempt, Coordinator: workertask.Coordinator.Value(),
		MaxRun: microseconds(workertask.MaxRunUs), ExpectedRun: microseconds(workertask.ExpectedRunUs),
		Timeout: microseconds(workertask.TimeoutUs), LostTargets: workertask.LostTargets,
	})
}

// WorkerChecksum returns the wire form of the checksum of a whole answer.
func WorkerChecksum(answer []byte) string { return strconv.FormatUint(xxhash.Sum64(answer), 16) }

// Complete reports whether the answer is complete: it has the length and the checksum that the worker computed.
func (workerresult WorkerResult) Complete() bool {
	return len(workerresult.Answer) == workerresult.AnswerBytes && WorkerChecksum(workerresult.Answer) == workerresult.Checksum
}

// Value returns the value of the wire form. A truncated or corrupt answer gives a failed result with
// CodeTruncated and no answer.
func (workerresult WorkerResult) Value() almondcross.TaskResult {
	config := almondcross.TaskResultConfig{
		ID: workerresult.ID.Value(), Attempt: workerresult.Attempt, Code: almondcross.Code(workerresult.Code),
		Ran: microseconds(workerresult.RanUs),
	}
	if !workerresult.Complete() {
		config.Code = almondcross.CodeTruncated
		return almondcross.NewTaskResult(config)
	}
	config.Answer = workerresult.Answer
	config.Checksum = xxhash.Sum64(workerresult.Answer)
	return almondcross.NewTaskResult(config)
}

// Value returns the value of the wire form.
func (workergrant WorkerGrant) Value() almondcross.Grant {
	items := make([]almondcross.InventoryItem, 0, len(workergrant.Inventory))
	for _, item := range workergrant.Inventory {
		config := almondcross.InventoryItemConfig{Task: item.Task.Value()}
		if item.Result != nil {
			config.Finished = true
			config.Result = item.Result.Value()
		}
		items = append(items, almondcross.NewInventoryItem(config))
	}
	return almondcross.NewGrant(almondcross.GrantConfig{
		Target: workergrant.Target, Term: workergrant.Term.Value(), Capacity: workergrant.Capacity.Value(),
		Leaving: workergrant.Leaving, Inventory: items, Events: workergrant.Events,
	})
}

// Value returns the value of the wire form.
func (workerevent WorkerEvent) Value() almondcross.WorkerEvent {
	return almondcross.NewWorkerEvent(almondcross.WorkerEventConfig{Index: workerevent.Index, Result: workerevent.Result.Value()})
}
