package emulator

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
	"github.com/almondcross/almondcross/policy/picker"
	"github.com/almondcross/almondcross/query/jobfinder"
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
	wakeID           uint64 // wakeID numbers the scheduled wake-ups; only the latest one takes effect.
	adviceInProgress bool
	queuedQueries    []queuedQuery
	// pointer is the scheduler pointer that this host gives to its peers.
	pointer  almondcross.SchedulerPointer
	linkedTo *modelHost // linkedTo is the scheduler's host that this host is linked to.
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
	modelhost.pointer = almondcross.SchedulerPointer{}
	modelhost.jobTable = jobfinder.New()
	modelhost.machine = scheduler.NewMachine(scheduler.Config{
		Host: modelhost.name, Address: modelhost.name, Partitions: intakePartitions, Strength: 100 - 10*(modelhost.index%3), Retention: 150 * time.Second, MaxLease: maxLease,
		SnapshotInterval: 3 * time.Second, RecordBytes: 256 << 10, BatchesPerAppend: 8, Random: rand.New(rand.NewPCG(simulation.random.Uint64(), 1)), //nolint:gosec // A model needs no secrecy.
		Publisher: modelhost.jobTable, Picker: picker.BestFit{}, Log: hostLog{modelhost}, Metrics: noMetrics{},
	})
	modelhost.deliver(almondcross.NewRoutesRead(almondcross.RoutesReadConfig{Table: simulation.routes}))
}

func (modelhost *modelHost) kill() {
	modelhost.up = false
	modelhost.incarnation++
	modelhost.setLink(nil, 0)
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
		modelhost.sendToHosts(effect.Hosts, effect.Pushed)
	case scheduler.AssignRole:
		modelhost.sendToHosts([]string{effect.Host}, effect.Assigned)
	case scheduler.AnnounceScheduler:
		modelhost.pointer = effect.Pointer
		modelhost.setLink(modelhost.simulation.host(effect.Pointer.Host()), effect.Strength)
	case scheduler.SendPeers:
		modelhost.sendToHosts(effect.Hosts, effect.Peers)
	case scheduler.ConfirmIntake:
		if onStored := modelhost.simulation.forwardCallbacks[effect.Stored.Number()]; onStored != nil {
			modelhost.simulation.schedule(linkDelay, onStored)
		}
	default:
		modelhost.callStore(effect)
	}
}

// callStore executes the effects that call the store.
func (modelhost *modelHost) callStore(effect scheduler.Effect) {
	simulation := modelhost.simulation
	switch effect := effect.(type) {
	case scheduler.ReadSnapshot:
		modelhost.schedule(effect.Query.Pause(), modelhost.readSnapshot)
	case scheduler.ReadJournal:
		modelhost.schedule(effect.Query.Pause(), func() { modelhost.readJournal(effect.Query, simulation.now+effect.Query.Wait()) })
	case scheduler.ReadIntake:
		modelhost.schedule(effect.Query.Pause(), func() { modelhost.readIntake(effect.Query, simulation.now+2*time.Second) })
	case scheduler.ReadWorkers:
		modelhost.schedule(effect.Query.Pause(), modelhost.readWorkers)
	case scheduler.Commit:
		modelhost.schedule(effect.Request.Pause(), func() { modelhost.commit(effect.Request) })
	case scheduler.StoreSnapshot:
		modelhost.storeSnapshot(effect.Request)
	case scheduler.StoreUsage:
		modelhost.storeUsage(effect.Request)
	case scheduler.ReadPointer:
		modelhost.schedule(effect.Query.Pause(), func() { modelhost.readPointer(effect.Query.Peers()) })
	case scheduler.StorePointer:
		modelhost.storeCall(true, func() func() {
			simulation.pointer = effect.Pointer
			return func() {}
		}, func(error) {})
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
// after the timeout if the request or the response is lost.
func (modelhost *modelHost) call(timeout time.Duration, requestReachable, responseReachable func() bool, execute func(reply func(handleResponse func())), onFailure func(sent bool)) {
	simulation, incarnation := modelhost.simulation, modelhost.incarnation
	finished := false
	finish := func(action func()) {
		if finished || modelhost.incarnation != incarnation {
			return
		}
		finished = true
		modelhost.runUnfrozen(action)
	}
	simulation.schedule(timeout, func() { finish(func() { onFailure(true) }) })
	simulation.schedule(linkDelay, func() {
		if !requestReachable() {
			return
		}
		execute(func(handleResponse func()) {
			simulation.schedule(linkDelay, func() {
				if responseReachable() {
					finish(handleResponse)
				}
			})
		})
	})
}

// storeCall makes a call to the store, subject to the active store faults. If there is no response within
// storeTimeout, onFailure gets ErrStoreUncertain.
func (modelhost *modelHost) storeCall(isWrite bool, execute func() func(), onFailure func(err error)) {
	simulation := modelhost.simulation
	duration := appendTime
	if !isWrite {
		duration /= 4
	}
	reachable := func() bool { return !simulation.faults.storeUnreachable(modelhost, simulation.now) }
	modelhost.call(storeTimeout, reachable, reachable, func(reply func(func())) {
		duration = time.Duration(float64(duration) * simulation.faults.storeDelayFactor(simulation.now))
		responseLost, delay := isWrite && simulation.faults.loseResponse(simulation), simulation.faults.executionDelay(simulation)
		if !responseLost {
			delay = 0
		}
		simulation.schedule(duration+delay, func() {
			handleResponse := execute()
			if !responseLost {
				reply(handleResponse)
			}
		})
	}, func(bool) { onFailure(almondcross.ErrStoreUncertain) })
}

func (modelhost *modelHost) storeUsage(request almondcross.UsageStore) {
	simulation := modelhost.simulation
	deliverResult := func(err error) {
		modelhost.deliver(almondcross.NewUsageStored(almondcross.UsageStoredConfig{Usages: request.Usages(), Err: err}))
	}
	modelhost.storeCall(true, func() func() {
		for _, usage := range request.Usages() {
			simulation.storedUsage[almondcross.UsageKey{From: usage.From().Unix(), Queue: usage.Queue()}] = usage
		}
		return func() { deliverResult(nil) }
	}, deliverResult)
}

func (modelhost *modelHost) readSnapshot() {
	simulation := modelhost.simulation
	modelhost.storeCall(false, func() func() {
		snapshot, found, err := simulation.codec.DecodeSnapshot(simulation.snapshotTable.latestRecords())
		return func() {
			modelhost.deliver(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Snapshot: snapshot, Found: found, Err: err}))
		}
	}, func(err error) {
		modelhost.deliver(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Err: err}))
	})
}

func (modelhost *modelHost) storeSnapshot(request almondcross.SnapshotStore) {
	simulation := modelhost.simulation
	parts, err := simulation.codec.EncodeSnapshot(request.Snapshot(), 100<<10)
	if err != nil {
		simulation.checker.addViolation("ENCODING", "%v", err)
		return
	}
	records := make([]almondcross.KeyedRecord, len(parts))
	for index, part := range parts {
		records[index] = almondcross.NewKeyedRecord(almondcross.KeyedRecordConfig{Key: strconv.Itoa(index), Value: part})
	}
	deliverResult := func(err error) {
		modelhost.deliver(almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{Next: request.Snapshot().Next(), Err: err}))
	}
	modelhost.storeCall(true, func() func() {
		simulation.snapshotTable.put(records)
		return func() { deliverResult(nil) }
	}, deliverResult)
}

func (modelhost *modelHost) readJournal(query almondcross.JournalQuery, until time.Duration) {
	simulation := modelhost.simulation
	onFailure := func(err error) {
		modelhost.deliver(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: query.From(), Next: query.From(), Err: err}))
	}
	modelhost.storeCall(false, func() func() {
		records, err := simulation.store.Read(simulation.now, journalPartition, query.From())
		return func() {
			if err == nil && len(records.Records()) == 0 && simulation.now < until {
				modelhost.schedule(pollInterval, func() { modelhost.readJournal(query, until) })
				return
			}
			config := almondcross.JournalReadConfig{From: query.From(), Next: query.From() + int64(len(records.Records())), End: records.End(), Err: err}
			if err != nil {
				config.Next = records.First()
			}
			for _, record := range records.Records() {
				batch, err := simulation.codec.DecodeBatch(record)
				if err != nil {
					simulation.checker.addViolation("ENCODING", "%v", err)
				}
				config.Batches = append(config.Batches, batch)
			}
			modelhost.deliver(almondcross.NewJournalRead(config))
		}
	}, onFailure)
}

func (modelhost *modelHost) readIntake(query almondcross.IntakeQuery, until time.Duration) {
	simulation := modelhost.simulation
	onFailure := func(err error) {
		modelhost.deliver(almondcross.NewIntakeRead(almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From(), Err: err}))
	}
	modelhost.storeCall(false, func() func() {
		records, err := simulation.store.Read(simulation.now, intakePartition(query.Partition()), query.From())
		return func() {
			if err == nil && len(records.Records()) == 0 && simulation.now < until {
				modelhost.schedule(pollInterval, func() { modelhost.readIntake(query, until) })
				return
			}
			config := almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From() + int64(len(records.Records())), Err: err}
			for _, record := range records.Records() {
				intake, err := simulation.codec.DecodeIntake(record)
				if err != nil {
					simulation.checker.addViolation("ENCODING", "%v", err)
				}
				config.Intakes = append(config.Intakes, intake)
			}
			modelhost.deliver(almondcross.NewIntakeRead(config))
		}
	}, onFailure)
}

func (modelhost *modelHost) readWorkers() {
	simulation := modelhost.simulation
	modelhost.storeCall(false, func() func() {
		config := almondcross.WorkersReadConfig{Complete: true, Next: -1}
		for _, worker := range simulation.workers {
			if simulation.faults.announced(worker, simulation.now) {
				config.Changes = append(config.Changes, almondcross.NewWorkerChange(almondcross.WorkerChangeConfig{ID: worker.id, Present: true, Worker: worker.announcement}))
			}
		}
		return func() { modelhost.deliver(almondcross.NewWorkersRead(config)) }
	}, func(err error) {
		modelhost.deliver(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Next: -1, Err: err}))
	})
}

func (modelhost *modelHost) commit(request almondcross.JournalCommit) {
	simulation := modelhost.simulation
	sentAt := simulation.now
	deliverResult := func(appended almondcross.StoreAppended, err error) {
		modelhost.deliver(almondcross.NewJournalCommitted(almondcross.JournalCommittedConfig{
			Commit: request, Appended: appended, Took: simulation.now - sentAt, Err: err,
		}))
	}
	var records [][]byte
	for _, batch := range request.Batches() {
		record, err := simulation.codec.EncodeBatch(batch)
		if err != nil {
			simulation.checker.addViolation("ENCODING", "%v", err)
		}
		records = append(records, record)
	}
	modelhost.storeCall(true, func() func() {
		config := almondcross.StoreAppendConfig{
			Partition: journalPartition, Records: records, Conditional: request.Election(), ExpectedEnd: request.ExpectedEnd(),
		}
		if request.Sequence() > 0 {
			config.Writer, config.Epoch, config.Sequence = "scheduler", request.Epoch(), request.Sequence()
		}
		appended, err := simulation.store.Append(simulation.now, almondcross.NewStoreAppend(config))
		if err == nil {
			appended = appended.WithEnd(appended.Offset() + int64(len(records)))
		}
		return func() { deliverResult(appended, err) }
	}, func(err error) { deliverResult(almondcross.StoreAppended{}, err) })
}

// sendOrder sends an order to a worker, which may be isolated or execute it late. If there is no response within
// the timeout, onFailure gets OrderUnknown.
func (modelhost *modelHost) sendOrder(worker *modelWorker, timeout time.Duration, lease bool, execute func() func(), onFailure func(result almondcross.OrderResult)) {
	simulation := modelhost.simulation
	reachable := func() bool { return worker.up && !simulation.faults.workerIsolated(modelhost, worker, simulation.now) }
	modelhost.call(timeout, reachable, reachable, func(reply func(func())) {
		if delay := simulation.faults.orderDelay(simulation, lease); delay > 0 {
			simulation.schedule(delay, func() {
				if worker.up {
					execute()
				}
			})
			return
		}
		reply(execute())
	}, func(bool) { onFailure(almondcross.OrderUnknown) })
}

func (modelhost *modelHost) renewLease(order almondcross.LeaseOrder) {
	simulation := modelhost.simulation
	worker := simulation.worker(order.Worker().ID())
	sentAt := simulation.wallTime()
	deliverResult := func(report almondcross.WorkerReport, result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewLeaseAnswered(almondcross.LeaseAnsweredConfig{
			Order: order, Result: result, Report: report, Sent: sentAt, Received: simulation.wallTime(),
		}))
	}
	leaseExecuted := false
	modelhost.sendOrder(worker, order.Wait()+leaseTimeout, true, func() func() {
		report, result := worker.lease(simulation.now, order)
		leaseExecuted = true
		return func() {
			if result != almondcross.OrderDone || len(report.Ended()) > 0 || order.Wait() == 0 {
				deliverResult(report, result)
				return
			}
			modelhost.waitForEnd(worker, order, simulation.now+order.Wait(), deliverResult)
		}
	}, func(result almondcross.OrderResult) {
		if !leaseExecuted || simulation.faults.workerIsolated(modelhost, worker, simulation.now) || !worker.up {
			deliverResult(almondcross.WorkerReport{}, result)
		}
	})
}

// waitForEnd delivers the result of a lease order once a run has ended, the order fails or its wait is over.
func (modelhost *modelHost) waitForEnd(
	worker *modelWorker, order almondcross.LeaseOrder, until time.Duration, deliverResult func(almondcross.WorkerReport, almondcross.OrderResult),
) {
	simulation := modelhost.simulation
	if !worker.up || simulation.faults.workerIsolated(modelhost, worker, simulation.now) {
		modelhost.schedule(orderTimeout, func() { deliverResult(almondcross.WorkerReport{}, almondcross.OrderUnknown) })
		return
	}
	report, result := worker.lease(simulation.now, order.WithUntil(0))
	if result != almondcross.OrderDone || len(report.Ended()) > 0 || simulation.now >= until {
		modelhost.schedule(linkDelay, func() { deliverResult(report, result) })
		return
	}
	modelhost.schedule(pollInterval, func() { modelhost.waitForEnd(worker, order, until, deliverResult) })
}

func (modelhost *modelHost) startRun(order almondcross.StartOrder) {
	simulation := modelhost.simulation
	worker := simulation.worker(order.Worker().ID())
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStartOrderAnswered(almondcross.StartOrderAnsweredConfig{Order: order, Result: result, Received: simulation.wallTime()}))
	}
	modelhost.sendOrder(worker, orderTimeout, false, func() func() {
		result := worker.start(simulation.now, order)
		return func() { deliverResult(result) }
	}, deliverResult)
}

func (modelhost *modelHost) stopRun(order almondcross.StopOrder) {
	simulation := modelhost.simulation
	worker := simulation.worker(order.Worker().ID())
	deliverResult := func(result almondcross.OrderResult) {
		modelhost.deliver(almondcross.NewStopOrderAnswered(almondcross.StopOrderAnsweredConfig{Order: order, Result: result}))
	}
	modelhost.sendOrder(worker, orderTimeout, false, func() func() {
		result := worker.stop(simulation.now, order)
		return func() { deliverResult(result) }
	}, deliverResult)
}

// queryAdvice sends an advice query over the link to the host that makes the advice call.
func (modelhost *modelHost) queryAdvice(query scheduler.SendAdviceQuery) {
	simulation := modelhost.simulation
	for _, host := range simulation.hosts {
		if host.name != query.Adviser {
			continue
		}
		reply := func(response almondcross.AdviceAnswered) {
			simulation.schedule(linkDelay, func() { modelhost.deliver(response.WithAdviser(host.name).WithReceived(simulation.wallTime())) })
		}
		simulation.schedule(linkDelay, func() {
			if host.up {
				host.runUnfrozen(func() { host.processQuery(queuedQuery{query: query.Query, reply: reply}) })
			}
		})
	}
}

func (modelhost *modelHost) processQuery(queued queuedQuery) {
	if modelhost.adviceInProgress {
		modelhost.queuedQueries = append(modelhost.queuedQueries, queued)
		return
	}
	modelhost.adviceInProgress = true
	simulation, job := modelhost.simulation, modelhost.simulation.jobs[queued.query.Stage().Job]
	duration := 10 * time.Millisecond
	if job != nil {
		if queue, known := simulation.routes.Queue(job.spec.Queue()); known {
			duration = queue.AdviceSettings().Base() + time.Duration(len(queued.query.Workers()))*queue.AdviceSettings().PerWorker()
		}
	}
	modelhost.schedule(duration, func() {
		modelhost.adviceInProgress = false
		queued.reply(simulation.advise(queued.query))
		if len(modelhost.queuedQueries) > 0 {
			next := modelhost.queuedQueries[0]
			modelhost.queuedQueries = modelhost.queuedQueries[1:]
			modelhost.processQuery(next)
		}
	})
}

func (simulation *Simulation) advise(query almondcross.AdviceQuery) almondcross.AdviceAnswered {
	result := almondcross.AdviceResultConfig{Stage: query.Stage(), Asked: query.Workers(), Validity: simulation.advice.validity}
	for _, id := range query.Workers() {
		worker := simulation.worker(id)
		if worker == nil || !simulation.advice.allows(query.Stage(), id) {
			continue
		}
		simulation.advice.ticketCount++
		secret := fmt.Sprintf("t%d", simulation.advice.ticketCount)
		simulation.advice.issuedTickets[secret] = issuedTicket{stage: query.Stage(), worker: id, bootMillis: worker.bootMillis, validUntil: simulation.now + simulation.advice.validity}
		result.Tickets = append(result.Tickets, almondcross.NewTicket(almondcross.TicketConfig{Worker: id, Secret: secret}))
	}
	return almondcross.NewAdviceAnswered(almondcross.AdviceAnsweredConfig{Query: query, Result: almondcross.NewAdviceResult(result)})
}

// hostLog adds the host and the virtual time to the events of its machine.
type hostLog struct{ host *modelHost }

// Record passes an event on to the log of the simulation.
func (hostlog hostLog) Record(event string, fields ...almondcross.LogField) {
	hostlog.host.simulation.config.Log.Record(event, append(fields, almondcross.Text("host", hostlog.host.name), almondcross.Millis("at_ms", hostlog.host.simulation.now-warmUp))...)
}

// noMetrics discards all counts.
type noMetrics struct{}

func (noMetrics) Elected()                              {}
func (noMetrics) CommitRepeated()                       {}
func (noMetrics) JobRepeated()                          {}
func (noMetrics) Admitted(string)                       {}
func (noMetrics) Finished(string, almondcross.JobState) {}
func (noMetrics) StopSent(string)                       {}
func (noMetrics) StartAnswered(almondcross.OrderResult) {}
func (noMetrics) Ended(almondcross.EndKind)             {}
func (noMetrics) Advised(string, int, int)              {}
func (noMetrics) Examined(int)                          {}
