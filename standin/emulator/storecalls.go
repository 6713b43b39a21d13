package emulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/scheduler"
)

// callStore executes the effects that call the store.
func (modelhost *modelHost) callStore(effect scheduler.Effect) {
	simulation := modelhost.simulation
	switch effect := effect.(type) {
	case scheduler.ReadSnapshot:
		modelhost.schedule(effect.Query.Pause(), modelhost.readSnapshot)
	case scheduler.ReadJournal:
		modelhost.schedule(effect.Query.Pause(), func() { modelhost.readJournal(effect.Query, simulation.now+effect.Query.Wait()) })
	case scheduler.ReadIntake:
		modelhost.schedule(effect.Query.Pause(), func() { modelhost.readIntake(effect.Query, simulation.now+effect.Query.Wait()) })
	case scheduler.ReadWorkers:
		modelhost.schedule(effect.Query.Pause(), func() { modelhost.readWorkers(effect.Query) })
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

// storeCall makes a call to the store, subject to the active store faults. If there is no response within
// storeTimeout, onFailure gets ErrStoreUncertain.
func (modelhost *modelHost) storeCall(isWrite bool, execute func() func(), onFailure func(err error)) {
	simulation := modelhost.simulation
	if simulation.now < simulation.faults.storeRefusesUntil[modelhost] {
		modelhost.schedule(2*linkDelay, func() { onFailure(almondcross.ErrStoreRefused) })
		return
	}
	duration := appendTime
	if !isWrite {
		duration /= 4
	}
	reach := func() (time.Duration, bool) { return 0, !simulation.faults.storeUnreachable(modelhost, simulation.now) }
	modelhost.call(storeTimeout, reach, reach, func(reply func(func())) {
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
	}, func() { onFailure(almondcross.ErrStoreUncertain) })
}

// callJournal makes a call to the store that concerns the journal, which the store refuses while that partition is down.
func (modelhost *modelHost) callJournal(isWrite bool, execute func() func(), onFailure func(err error)) {
	if modelhost.simulation.now < modelhost.simulation.faults.journalDownUntil {
		modelhost.schedule(2*linkDelay, func() { onFailure(almondcross.ErrStoreRefused) })
		return
	}
	modelhost.storeCall(isWrite, execute, onFailure)
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
		size := 0
		for _, part := range simulation.snapshotTable.latestRecords() {
			size += len(part.Value())
		}
		return func() {
			modelhost.schedule(modelhost.transferTime(size), func() {
				modelhost.deliver(almondcross.NewSnapshotRead(almondcross.SnapshotReadConfig{Snapshot: snapshot, Found: found, Err: err}))
			})
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
		modelhost.deliver(almondcross.NewSnapshotStored(almondcross.SnapshotStoredConfig{Epoch: request.Snapshot().SchedulerEpoch(), Next: request.Snapshot().Next(), Err: err}))
	}
	modelhost.storeCall(true, func() func() {
		simulation.snapshotTable.put(records)
		return func() { deliverResult(nil) }
	}, deliverResult)
}

// readPage is the size from which one read of the journal returns no further records.
const readPage = 512 << 10

// firstPage returns the records that one read of the journal returns, and their size.
func firstPage(records almondcross.StoreRecords) (almondcross.StoreRecords, int) {
	size := 0
	for index, record := range records.Records() {
		if size >= readPage {
			return records.WithRecords(records.Records()[:index]), size
		}
		size += len(record)
	}
	return records, size
}

// transferTime returns how long a host takes to get and to decode records of a size. Hosts differ in their distance from the
// store and in their processors; the weakest ones need some 0.4 s for 10 s of the journal.
func (modelhost *modelHost) transferTime(size int) time.Duration {
	bytesPerMilli := []int{4000, 2000, 1000}[modelhost.index%3]
	return time.Duration(size) * time.Millisecond / time.Duration(bytesPerMilli)
}

func (modelhost *modelHost) readJournal(query almondcross.JournalQuery, until time.Duration) {
	simulation := modelhost.simulation
	onFailure := func(err error) {
		modelhost.deliver(almondcross.NewJournalRead(almondcross.JournalReadConfig{From: query.From(), Next: query.From(), Err: err}))
	}
	modelhost.callJournal(false, func() func() {
		records, err := simulation.store.Read(simulation.now, journalPartition, query.From())
		records, size := firstPage(records)
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
			modelhost.schedule(modelhost.transferTime(size), func() { modelhost.deliver(almondcross.NewJournalRead(config)) })
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
			config := almondcross.IntakeReadConfig{Partition: query.Partition(), From: query.From(), Next: query.From(), Err: err}
			intakes, used := simulation.codec.DecodeIntakes(records.Records(), func(_ int, err error) {
				simulation.checker.addViolation("ENCODING", "%v", err)
			})
			config.Next, config.Intakes = query.From()+int64(used), intakes
			modelhost.deliver(almondcross.NewIntakeRead(config))
		}
	}, onFailure)
}

func (modelhost *modelHost) readWorkers(query almondcross.WorkersQuery) {
	simulation := modelhost.simulation
	modelhost.storeCall(false, func() func() {
		config := simulation.announcements.read(simulation.now, query.From())
		return func() { modelhost.deliver(almondcross.NewWorkersRead(config)) }
	}, func(err error) {
		modelhost.deliver(almondcross.NewWorkersRead(almondcross.WorkersReadConfig{Next: query.From(), Err: err}))
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
	modelhost.callJournal(true, func() func() {
		config := almondcross.StoreAppendConfig{
			Partition: journalPartition, Records: records, Conditional: request.Election(), ExpectedEnd: request.ExpectedEnd(),
		}
		if request.Sequence() > 0 {
			config.Writer, config.Epoch, config.Sequence = "scheduler", request.Epoch(), request.Sequence()
		}
		appended, err := simulation.store.Append(simulation.now, almondcross.NewStoreAppend(config))
		if err == nil {
			if hasEnd(request) {
				simulation.observe(EndRecorded)
			}
			appended = appended.WithEnd(appended.Offset() + int64(len(records)))
		}
		return func() { deliverResult(appended, err) }
	}, func(err error) { deliverResult(almondcross.StoreAppended{}, err) })
}

// hasEnd reports whether a commit holds the end of a run.
func hasEnd(request almondcross.JournalCommit) bool {
	return slices.ContainsFunc(request.Batches(), func(batch almondcross.JournalBatch) bool {
		return slices.ContainsFunc(batch.Changes(), func(change almondcross.Change) bool { return change.Kind() == almondcross.ChangeEnd })
	})
}
