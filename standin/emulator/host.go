package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/query/jobfinder"
)

// Times of the model's network and store.
const (
	linkDelay    = 700 * time.Microsecond
	appendLength = 4 * time.Millisecond
	leaseTimeout = 400 * time.Millisecond
	orderTimeout = 250 * time.Millisecond
	storeTimeout = 1200 * time.Millisecond
	pollStep     = 5 * time.Millisecond
	intakeParts  = 2
)

var journal = almondcross.Partition{Topic: "journal"}

func intakePartition(number int) almondcross.Partition {
	return almondcross.Partition{Topic: "intake", Number: number}
}

// modelHost is an entry host: the real machine with a model of the duties around it.
type modelHost struct {
	day     *Day
	name    string
	index   int
	life    int
	up      bool
	frozen  time.Duration // frozen is until when the host stands still.
	machine *scheduler.Machine
	table   *jobfinder.Table
	wake    uint64 // wake numbers the planned wake-ups; only the last one counts.
	asking  bool
	queries []queuedQuery
	// pointer names the scheduler that the host tells others of.
	pointer almondcross.SchedulerPointer
	linked  *modelHost // linked is the scheduler's host that this one is linked to.
}

// queuedQuery is a query that waits for the advice call before it.
type queuedQuery struct {
	query almondcross.AdviceQuery
	reply func(almondcross.AdviceAnswered)
}

func (modelhost *modelHost) boot() {
	day := modelhost.day
	modelhost.life++
	modelhost.up, modelhost.asking, modelhost.queries = true, false, nil
	modelhost.pointer = almondcross.SchedulerPointer{}
	modelhost.table = jobfinder.New()
	modelhost.machine = scheduler.NewMachine(scheduler.Config{
		Host: modelhost.name, Address: modelhost.name, Partitions: intakeParts, Strength: 100 - 10*(modelhost.index%3), Retain: 150 * time.Second, MaxLease: maxLease,
		Snapshots: 3 * time.Second, Random: rand.New(rand.NewPCG(day.random.Uint64(), 1)), //nolint:gosec // A model needs no secrecy.
		Publisher: modelhost.table, Picker: picker.Tight{}, Log: hostLog{modelhost}, Meters: noMeters{},
	})
	modelhost.deliver(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: day.routes}))
}

func (modelhost *modelHost) kill() {
	modelhost.up = false
	modelhost.life++
	modelhost.link(nil, 0)
}

func (day *Day) host(name string) *modelHost {
	for _, host := range day.hosts {
		if host.name == name {
			return host
		}
	}
	return nil
}

// deliver gives a message to the machine once the host is awake.
func (modelhost *modelHost) deliver(message almondcross.SchedulerMessage) {
	modelhost.awake(func() {
		modelhost.machine.Apply(message, modelhost.day.time())
		modelhost.advance()
	})
}

// awake does something in the present life of the host, after it thaws.
func (modelhost *modelHost) awake(do func()) {
	life := modelhost.life
	modelhost.day.after(modelhost.frozen-modelhost.day.now, func() {
		switch {
		case modelhost.life != life || !modelhost.up:
		case modelhost.frozen > modelhost.day.now:
			modelhost.awake(do)
		default:
			do()
		}
	})
}

func (modelhost *modelHost) advance() {
	day := modelhost.day
	for effects := modelhost.machine.Advance(day.time()); len(effects) > 0; effects = modelhost.machine.Advance(day.time()) {
		for _, effect := range effects {
			modelhost.carryOut(effect)
		}
	}
	modelhost.wake++
	wake, life := modelhost.wake, modelhost.life
	day.after(modelhost.machine.NextDeadline(day.time()).Sub(day.time()), func() {
		if modelhost.wake == wake && modelhost.life == life {
			modelhost.awake(modelhost.advance)
		}
	})
}

func (modelhost *modelHost) carryOut(effect scheduler.Effect) {
	switch effect := effect.(type) {
	case scheduler.SendLease:
		modelhost.later(effect.Pause, func() { modelhost.lease(effect.Order) })
	case scheduler.SendStart:
		modelhost.start(effect.Order)
	case scheduler.SendStop:
		modelhost.stop(effect.Order)
	case scheduler.Ask:
		modelhost.ask(effect)
	case scheduler.Push:
		modelhost.send(effect.Hosts, effect.Pushed)
	case scheduler.PushViews:
		modelhost.send(effect.Hosts, effect.Pushed)
	case scheduler.Assign:
		modelhost.send([]string{effect.Host}, effect.Assigned)
	case scheduler.Lead:
		modelhost.pointer = effect.Pointer
		modelhost.link(modelhost.day.host(effect.Pointer.Host()), effect.Strength)
	case scheduler.TellPeers:
		modelhost.send(effect.Hosts, effect.Peers)
	case scheduler.TellStored:
		if answer := modelhost.day.forwarded[effect.Stored.Number()]; answer != nil {
			modelhost.day.after(linkDelay, answer)
		}
	default:
		modelhost.askStore(effect)
	}
}

// askStore makes the calls to the store.
func (modelhost *modelHost) askStore(effect scheduler.Effect) {
	day := modelhost.day
	switch effect := effect.(type) {
	case scheduler.ReadSnapshot:
		modelhost.later(effect.Query.Pause(), modelhost.readSnapshot)
	case scheduler.ReadJournal:
		modelhost.later(effect.Query.Pause(), func() { modelhost.readJournal(effect.Query, day.now+effect.Query.Wait()) })
	case scheduler.ReadIntake:
		modelhost.later(effect.Query.Pause(), func() { modelhost.readIntake(effect.Query, day.now+2*time.Second) })
	case scheduler.ReadWorkers:
		modelhost.later(effect.Query.Pause(), modelhost.readWorkers)
	case scheduler.Commit:
		modelhost.later(effect.Request.Pause(), func() { modelhost.commit(effect.Request) })
	case scheduler.StoreSnapshot:
		modelhost.storeSnapshot(effect.Request)
	case scheduler.StoreUsage:
		modelhost.storeUsage(effect.Request)
	case scheduler.ReadPointer:
		modelhost.later(effect.Query.Pause(), func() { modelhost.readPointer(effect.Query.Peers()) })
	case scheduler.StorePointer:
		modelhost.storeCall(true, func() func() {
			day.pointer = effect.Pointer
			return func() {}
		}, func(error) {})
	}
}

// later does something after a pause, in this life and awake.
func (modelhost *modelHost) later(pause time.Duration, do func()) {
	life := modelhost.life
	modelhost.day.after(pause, func() {
		if modelhost.life == life {
			modelhost.awake(do)
		}
	})
}

// call makes a call over the network. The other side acts once, unless the way there is cut; the answer
// comes back unless that way is cut, and otherwise the call fails at its limit.
func (modelhost *modelHost) call(limit time.Duration, there, back func() bool, act func(reply func(answer func())), fail func(sent bool)) {
	day, life := modelhost.day, modelhost.life
	answered := false
	finish := func(do func()) {
		if answered || modelhost.life != life {
			return
		}
		answered = true
		modelhost.awake(do)
	}
	day.after(limit, func() { finish(func() { fail(true) }) })
	day.after(linkDelay, func() {
		if !there() {
			return
		}
		act(func(answer func()) {
			day.after(linkDelay, func() {
				if back() {
					finish(answer)
				}
			})
		})
	})
}

// storeCall makes a call to the store, which takes a time and may be down, slow or losing answers.
func (modelhost *modelHost) storeCall(write bool, act func() func(), fail func(err error)) {
	day := modelhost.day
	length := appendLength
	if !write {
		length /= 4
	}
	reachable := func() bool { return !day.faults.storeDown(modelhost, day.now) }
	modelhost.call(storeTimeout, reachable, reachable, func(reply func(func())) {
		length = time.Duration(float64(length) * day.faults.storeSlow(day.now))
		lost, late := write && day.faults.answerLost(day), day.faults.lateFor(day)
		if !lost {
			late = 0
		}
		day.after(length+late, func() {
			answer := act()
			if !lost {
				reply(answer)
			}
		})
	}, func(bool) { fail(almondcross.ErrStoreUnknown) })
}

func (modelhost *modelHost) storeUsage(request almondcross.UsageStore) {
	day := modelhost.day
	answer := func(err error) {
		modelhost.deliver(almondcross.NewUsageStored(almondcross.UsageStoredConfig{Usages: request.Usages(), Err: err}))
	}
	modelhost.storeCall(true, func() func() {
		for _, usage := range request.Usages() {
			day.usage[almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}] = usage
		}
		return func() { answer(nil) }
	}, answer)
}

func (modelhost *modelHost) readSnapshot() {
	day := modelhost.day
	modelhost.storeCall(false, func() func() {
		snapshot, found, err := day.codec.DecodeSnapshot(day.keyed.newest())
		return func() {
			modelhost.deliver(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Snapshot: snapshot, Found: found, Err: err}))
		}
	}, func(err error) {
		modelhost.deliver(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Err: err}))
	})
}

func (modelhost *modelHost) storeSnapshot(request almondcross.SnapshotStore) {
	day := modelhost.day
	records, err := day.codec.EncodeSnapshot(request.Snapshot(), 100<<10)
	if err != nil {
		day.judge.violate("ENCODING", "%v", err)
		return
	}
	answer := func(err error) {
		modelhost.deliver(almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{Next: request.Snapshot().Next(), Err: err}))
	}
	modelhost.storeCall(true, func() func() {
		day.keyed.put(records)
		return func() { answer(nil) }
	}, answer)
}

func (modelhost *modelHost) readJournal(query almondcross.JournalQuery, until time.Duration) {
	day := modelhost.day
	failed := func(err error) {
		modelhost.deliver(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: query.From(), Next: query.From(), Err: err}))
	}
	modelhost.storeCall(false, func() func() {
		records, err := day.store.Read(day.now, journal, query.From())
		return func() {
			if err == nil && len(records.Records()) == 0 && day.now < until {
				modelhost.later(pollStep, func() { modelhost.readJournal(query, until) })
				return
			}
			answer := almondcross.JournalReadConfig{From: query.From(), Next: query.From() + int64(len(records.Records())), End: records.End(), Err: err}
			if err != nil {
				answer.Next = records.First()
			}
			for _, record := range records.Records() {
				batch, err := day.codec.DecodeBatch(record)
				if err != nil {
					day.judge.violate("ENCODING", "%v", err)
				}
				answer.Batches = append(answer.Batches, batch)
			}
			modelhost.deliver(almondcross.NewJournalRead(answer))
		}
	}, failed)
}

func (modelhost *modelHost) readIntake(query almondcross.IntakeQuery, until time.Duration) {
	day := modelhost.day
	failed := func(err error) {
		modelhost.deliver(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From(), Err: err}))
	}
	modelhost.storeCall(false, func() func() {
		records, err := day.store.Read(day.now, intakePartition(query.Partition()), query.From())
		return func() {
			if err == nil && len(records.Records()) == 0 && day.now < until {
				modelhost.later(pollStep, func() { modelhost.readIntake(query, until) })
				return
			}
			answer := almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From() + int64(len(records.Records())), Err: err}
			for _, record := range records.Records() {
				intake, err := day.codec.DecodeIntake(record)
				if err != nil {
					day.judge.violate("ENCODING", "%v", err)
				}
				answer.Intakes = append(answer.Intakes, intake)
			}
			modelhost.deliver(almondcross.NewIntakeRead(answer))
		}
	}, failed)
}

func (modelhost *modelHost) readWorkers() {
	day := modelhost.day
	modelhost.storeCall(false, func() func() {
		answer := almondcross.WorkersReadConfig{Whole: true, Next: -1}
		for _, worker := range day.workers {
			if day.faults.announced(worker, day.now) {
				answer.Changes = append(answer.Changes, almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: worker.id, Present: true, Worker: worker.announce}))
			}
		}
		return func() { modelhost.deliver(almondcross.NewWorkersRead(answer)) }
	}, func(err error) {
		modelhost.deliver(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Next: -1, Err: err}))
	})
}

func (modelhost *modelHost) commit(request almondcross.JournalCommit) {
	day := modelhost.day
	sent := day.now
	answer := func(appended almondcross.StoreAppended, err error) {
		modelhost.deliver(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
			Commit: request, Appended: appended, Took: day.now - sent, Err: err,
		}))
	}
	var records [][]byte
	for _, batch := range request.Batches() {
		record, err := day.codec.EncodeBatch(batch)
		if err != nil {
			day.judge.violate("ENCODING", "%v", err)
		}
		records = append(records, record)
	}
	modelhost.storeCall(true, func() func() {
		config := almondcross.StoreAppendConfig{
			Partition: journal, Records: records, Conditional: request.Election(), ExpectedEnd: request.ExpectedEnd(),
		}
		if request.Sequence() > 0 {
			config.Writer, config.Epoch, config.Sequence = "scheduler", request.Epoch(), request.Sequence()
		}
		appended, err := day.store.Append(day.now, almondcross.NewStoreAppend(config))
		if err == nil {
			appended = appended.WithEnd(appended.Offset() + int64(len(records)))
		}
		return func() { answer(appended, err) }
	}, func(err error) { answer(almondcross.StoreAppended{}, err) })
}

// order sends an order to a worker, which may be cut off or carry it out late.
func (modelhost *modelHost) order(worker *modelWorker, limit time.Duration, lease bool, act func() func(), fail func(result almondcross.OrderResult)) {
	day := modelhost.day
	reachable := func() bool { return worker.up && !day.faults.cut(modelhost, worker, day.now) }
	modelhost.call(limit, reachable, reachable, func(reply func(func())) {
		if late := day.faults.orderLate(day, lease); late > 0 {
			day.after(late, func() {
				if worker.up {
					act()
				}
			})
			return
		}
		reply(act())
	}, func(bool) { fail(almondcross.OrderUnknown) })
}

func (modelhost *modelHost) lease(order almondcross.LeaseOrder) {
	day := modelhost.day
	worker := day.worker(order.Worker().ID())
	sent := day.time()
	answer := func(list almondcross.WorkerList, result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: order, Result: result, List: list, Sent: sent, Received: day.time(),
		}))
	}
	began := false
	modelhost.order(worker, order.Wait()+leaseTimeout, true, func() func() {
		list, result := worker.lease(day.now, order)
		began = true
		return func() {
			if result != almondcross.OrderDone || len(list.Ended()) > 0 || order.Wait() == 0 {
				answer(list, result)
				return
			}
			modelhost.waitForEnd(worker, order, day.now+order.Wait(), answer)
		}
	}, func(result almondcross.OrderResult) {
		if !began || day.faults.cut(modelhost, worker, day.now) || !worker.up {
			answer(almondcross.WorkerList{}, result)
		}
	})
}

// waitForEnd answers a lease order when a run has ended or its wait is over.
func (modelhost *modelHost) waitForEnd(
	worker *modelWorker, order almondcross.LeaseOrder, until time.Duration, answer func(almondcross.WorkerList, almondcross.OrderResult),
) {
	day := modelhost.day
	if !worker.up || day.faults.cut(modelhost, worker, day.now) {
		modelhost.later(orderTimeout, func() { answer(almondcross.WorkerList{}, almondcross.OrderUnknown) })
		return
	}
	list, result := worker.lease(day.now, order.WithUntil(0))
	if result != almondcross.OrderDone || len(list.Ended()) > 0 || day.now >= until {
		modelhost.later(linkDelay, func() { answer(list, result) })
		return
	}
	modelhost.later(pollStep, func() { modelhost.waitForEnd(worker, order, until, answer) })
}

func (modelhost *modelHost) start(order almondcross.StartOrder) {
	day := modelhost.day
	worker := day.worker(order.Worker().ID())
	answer := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewRunStarted(almondcross.RunStartedConfig{Order: order, Result: result, Received: day.time()}))
	}
	modelhost.order(worker, orderTimeout, false, func() func() {
		result := worker.start(day.now, order)
		return func() { answer(result) }
	}, answer)
}

func (modelhost *modelHost) stop(order almondcross.StopOrder) {
	day := modelhost.day
	worker := day.worker(order.Worker().ID())
	answer := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewRunStopped(almondcross.RunStoppedConfig{Order: order, Result: result}))
	}
	modelhost.order(worker, orderTimeout, false, func() func() {
		result := worker.stop(day.now, order)
		return func() { answer(result) }
	}, answer)
}

// ask passes a query over the link to the host that makes the call.
func (modelhost *modelHost) ask(ask scheduler.Ask) {
	day := modelhost.day
	for _, host := range day.hosts {
		if host.name != ask.Adviser {
			continue
		}
		reply := func(answer almondcross.AdviceAnswered) {
			day.after(linkDelay, func() { modelhost.deliver(answer.WithAdviser(host.name).WithReceived(day.time())) })
		}
		day.after(linkDelay, func() {
			if host.up {
				host.awake(func() { host.takeQuery(queuedQuery{query: ask.Query, reply: reply}) })
			}
		})
	}
}

func (modelhost *modelHost) takeQuery(query queuedQuery) {
	if modelhost.asking {
		modelhost.queries = append(modelhost.queries, query)
		return
	}
	modelhost.asking = true
	day, job := modelhost.day, modelhost.day.jobs[query.query.Stage().Job]
	length := 10 * time.Millisecond
	if job != nil {
		if queue, known := day.routes.Queue(job.job.Queue()); known {
			length = queue.Advice().Base() + time.Duration(len(query.query.Workers()))*queue.Advice().PerWorker()
		}
	}
	modelhost.later(length, func() {
		modelhost.asking = false
		query.reply(day.answerAdvice(query.query))
		if len(modelhost.queries) > 0 {
			next := modelhost.queries[0]
			modelhost.queries = modelhost.queries[1:]
			modelhost.takeQuery(next)
		}
	})
}

func (day *Day) answerAdvice(query almondcross.AdviceQuery) almondcross.AdviceAnswered {
	result := almondcross.AdviceResultConfig{Stage: query.Stage(), Asked: query.Workers(), Validity: day.advice.validity}
	for _, id := range query.Workers() {
		worker := day.worker(id)
		if worker == nil || !day.advice.allows(query.Stage(), id) {
			continue
		}
		day.advice.next++
		secret := fmt.Sprintf("t%d", day.advice.next)
		day.advice.issued[secret] = issuedTicket{stage: query.Stage(), worker: id, born: worker.born, until: day.now + day.advice.validity}
		result.Tickets = append(result.Tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: id, Secret: secret}))
	}
	return almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{Query: query, Result: almondcross.NewAdviceResult(result)})
}

// hostLog adds the host to the lines of its machine.
type hostLog struct{ host *modelHost }

// Record passes a line on.
func (hostlog hostLog) Record(event string, fields ...almondcross.LogField) {
	hostlog.host.day.config.Log.Record(event, append(fields, almondcross.Text("host", hostlog.host.name), almondcross.Millis("at_ms", hostlog.host.day.now-warmUp))...)
}

// noMeters counts nothing.
type noMeters struct{}

func (noMeters) Elected()                              {}
func (noMeters) CommitRepeated()                       {}
func (noMeters) Repeated()                             {}
func (noMeters) Admitted(string)                       {}
func (noMeters) Finished(string, almondcross.JobState) {}
func (noMeters) Started(almondcross.OrderResult)       {}
func (noMeters) Ended(almondcross.EndKind)             {}
func (noMeters) Advised(string, int, int)              {}
