package encoder

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// snapshotPartFields are the fields of a part of a snapshot that every version of the format has. Only the first part has the
// fields after Parts other than Jobs.
type snapshotPartFields struct {
	JournalOffset int64
	Part, Parts   int
	Epoch, AtMS   int64
	Host, Address string
	Intake        map[int]int64
	Jobs          []cbor.RawMessage // Jobs holds encoded values of wireJobRecord, or pieces of them in byte strings.
	Usage         []wireUsage
	Silent        []wireSilentWorker

	SchedulerEpoch int64
	Resigned       bool
}

// wireSnapshotPart is one part of a snapshot. The unlisted workers and the crashes are encoded only if there are any, so that
// parts of an earlier version are read, and an earlier version reads all other parts.
type wireSnapshotPart struct {
	snapshotPartFields
	Unlisted []wireUnlistedWorker
	Crashed  []wireWorkerCrash
}

// plainSnapshotPart is the encoded form of a part without unlisted workers and crashes.
type plainSnapshotPart struct {
	_ struct{} `cbor:",toarray"`
	snapshotPartFields
}

// extendedSnapshotPart is the encoded form of a first part with unlisted workers or crashes.
type extendedSnapshotPart struct {
	_ struct{} `cbor:",toarray"`
	snapshotPartFields
	Unlisted []wireUnlistedWorker
	Crashed  []wireWorkerCrash
}

// plainSnapshotPartHeader is the first byte of an encoded plainSnapshotPart, the CBOR header of an array of its 13 fields.
const plainSnapshotPartHeader = 0x8d

// encodePart returns the encoded form of a part.
func (codec Codec) encodePart(part wireSnapshotPart) ([]byte, error) {
	var encoded []byte
	var err error
	if len(part.Unlisted) == 0 && len(part.Crashed) == 0 {
		encoded, err = codec.encoding.Marshal(plainSnapshotPart{snapshotPartFields: part.snapshotPartFields})
	} else {
		encoded, err = codec.encoding.Marshal(extendedSnapshotPart{
			snapshotPartFields: part.snapshotPartFields, Unlisted: part.Unlisted, Crashed: part.Crashed,
		})
	}
	return encoded, errors.Annotate(err, "encoding a snapshot")
}

// decodePart returns a part from its encoded form.
func (codec Codec) decodePart(data []byte) (wireSnapshotPart, error) {
	if len(data) > 0 && data[0] == plainSnapshotPartHeader {
		var plain plainSnapshotPart
		err := codec.decodingJobs.Unmarshal(data, &plain)
		return wireSnapshotPart{snapshotPartFields: plain.snapshotPartFields}, errors.Trace(err)
	}
	var extended extendedSnapshotPart
	err := codec.decodingJobs.Unmarshal(data, &extended)
	return wireSnapshotPart{snapshotPartFields: extended.snapshotPartFields, Unlisted: extended.Unlisted, Crashed: extended.Crashed}, errors.Trace(err)
}

type wireUnlistedWorker struct {
	_                     struct{} `cbor:",toarray"`
	Worker, Address, Zone string
	Leaving               bool
}

type wireWorkerCrash struct {
	_          struct{} `cbor:",toarray"`
	Worker     string
	AtMS       int64
	Attributed bool
}

type wireSilentWorker struct {
	_            struct{} `cbor:",toarray"`
	Worker       string
	Epoch        int64
	RecordedAtMS int64
	RemainingMS  int64
}

const (
	// maxHeaderBytes is the maximum size in bytes of the header of an encoded array or byte string.
	maxHeaderBytes = 9
	// majorTypeBits is the number of low bits of the first byte of an encoded value; the bits above them are its type.
	majorTypeBits = 5
	// byteStringType is the type of a byte string.
	byteStringType = 2
)

// EncodeSnapshot returns the parts of a snapshot, of at most size bytes each, except for a first part that is larger without
// jobs. A job that is larger is divided into pieces. Every part has the journal offset of the snapshot, so that
// DecodeSnapshot never combines parts of two snapshots.
func (codec Codec) EncodeSnapshot(snapshot almondcross.StateSnapshot, size int) ([][]byte, error) {
	parts := []wireSnapshotPart{firstSnapshotPart(snapshot)}
	remaining, err := codec.remainingBytes(parts[0], size)
	if err != nil {
		return nil, err
	}
	for _, record := range snapshot.Jobs() {
		encoded, err := codec.encodeJobRecord(record)
		if err != nil {
			return nil, errors.Annotate(err, "encoding a job of a snapshot")
		}
		next := wireSnapshotPart{snapshotPartFields: snapshotPartFields{JournalOffset: snapshot.Next(), Part: len(parts)}}
		room, err := codec.remainingBytes(next, size)
		if err != nil {
			return nil, err
		}
		pieces, err := codec.divideJob(encoded, room)
		if err != nil {
			return nil, err
		}
		for _, piece := range pieces {
			if len(piece) > remaining {
				next.Part, remaining = len(parts), room
				parts = append(parts, next)
			}
			last := &parts[len(parts)-1]
			last.Jobs = append(last.Jobs, piece)
			remaining -= len(piece)
		}
	}
	values := make([][]byte, len(parts))
	for index, part := range parts {
		part.Parts = len(parts)
		if values[index], err = codec.encodePart(part); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// remainingBytes returns how many bytes of jobs fit in a part that has none yet.
func (codec Codec) remainingBytes(part wireSnapshotPart, size int) (int, error) {
	empty, err := codec.encodePart(part)
	if err != nil {
		return 0, err
	}
	// The number of parts and the number of jobs take more bytes once they are known.
	return size - len(empty) - 2*maxHeaderBytes, nil
}

// divideJob returns an encoded job as it is if it fits in a number of bytes, and otherwise as byte strings that fit.
func (codec Codec) divideJob(encoded []byte, room int) ([]cbor.RawMessage, error) {
	if len(encoded) <= room {
		return []cbor.RawMessage{encoded}, nil
	}
	var pieces []cbor.RawMessage
	for piece := range slices.Chunk(encoded, max(room-maxHeaderBytes, 1)) {
		wrapped, err := codec.encoding.Marshal(piece)
		if err != nil {
			return nil, errors.Annotate(err, "encoding a piece of a job")
		}
		pieces = append(pieces, wrapped)
	}
	return pieces, nil
}

func firstSnapshotPart(snapshot almondcross.StateSnapshot) wireSnapshotPart {
	part := wireSnapshotPart{snapshotPartFields: snapshotPartFields{
		JournalOffset: snapshot.Next(), Epoch: snapshot.Epoch(), AtMS: toUnixMillis(snapshot.At()), Intake: snapshot.Intake(),
		Host: snapshot.Host(), Address: snapshot.Address(), SchedulerEpoch: snapshot.SchedulerEpoch(), Resigned: snapshot.Resigned(),
	}}
	for _, crash := range snapshot.Crashed() {
		part.Crashed = append(part.Crashed, wireWorkerCrash{Worker: crash.Worker(), AtMS: toUnixMillis(crash.At()), Attributed: crash.Attributed()})
	}
	for _, usage := range snapshot.Usage() {
		part.Usage = append(part.Usage, toUsage(usage))
	}
	for _, silent := range snapshot.Silent() {
		part.Silent = append(part.Silent, wireSilentWorker{
			Worker: silent.Worker(), Epoch: silent.Epoch(), RecordedAtMS: toUnixMillis(silent.RecordedAt()),
			RemainingMS: silent.LeaseRemaining().Milliseconds(),
		})
	}
	for _, unlisted := range snapshot.Unlisted() {
		part.Unlisted = append(part.Unlisted, wireUnlistedWorker{
			Worker: unlisted.Worker(), Address: unlisted.Address(), Zone: unlisted.Zone(), Leaving: unlisted.Leaving(),
		})
	}
	return part
}

// DecodeSnapshot returns the newest snapshot that can be decoded and of which all parts are among the records, and false if
// there is none. If its jobs take more memory than the limit of the codec it returns ErrStateTooLarge instead: an older one would
// lack later jobs. It clears each record once it is read, since the records and their parts would take the memory of the state twice.
// Malformed records are left out; the error names the last of them, also when a snapshot is found.
func (codec Codec) DecodeSnapshot(records []almondcross.KeyedRecord) (almondcross.StateSnapshot, bool, error) {
	var malformed error
	partsByOffset := map[int64]map[int]wireSnapshotPart{}
	for index, record := range records {
		if len(record.Value()) == 0 {
			continue
		}
		records[index] = almondcross.KeyedRecord{}
		part, err := codec.decodePart(record.Value())
		if err != nil {
			malformed = errors.Annotatef(ErrMalformed, "snapshot %s: %v", record.Key(), err)
			continue
		}
		if !validCount(part.JournalOffset) || !validEpoch(part.Epoch) || !validEpoch(part.SchedulerEpoch) {
			malformed = errors.Annotatef(ErrMalformed, "snapshot %s: offset %d, epochs %d and %d", record.Key(), part.JournalOffset, part.Epoch, part.SchedulerEpoch)
			continue
		}
		if err := checkOffsets(part.Intake); err != nil {
			malformed = errors.Annotatef(err, "snapshot %s", record.Key())
			continue
		}
		if partsByOffset[part.JournalOffset] == nil {
			partsByOffset[part.JournalOffset] = map[int]wireSnapshotPart{}
		}
		partsByOffset[part.JournalOffset][part.Part] = part
	}
	for _, offset := range slices.Backward(slices.Sorted(maps.Keys(partsByOffset))) {
		parts, complete := sortedParts(partsByOffset[offset])
		if !complete {
			continue
		}
		jobs, err := codec.decodeJobs(parts)
		if errors.Is(err, almondcross.ErrStateTooLarge) {
			return almondcross.StateSnapshot{}, false, err
		}
		if err != nil {
			malformed = err
			continue
		}
		return snapshotOf(parts[0], jobs), true, malformed
	}
	return almondcross.StateSnapshot{}, false, malformed
}

// sortedParts returns the parts of a snapshot in order, and false unless it has all parts that the first one counts.
func sortedParts(byNumber map[int]wireSnapshotPart) ([]wireSnapshotPart, bool) {
	parts := make([]wireSnapshotPart, 0, len(byNumber))
	for number := range len(byNumber) {
		part, found := byNumber[number]
		if !found {
			return nil, false
		}
		parts = append(parts, part)
	}
	return parts, len(parts) == parts[0].Parts
}

// decodeJobs returns the jobs of all parts. It joins only the pieces of divided jobs, since a copy of all parts would take as much
// memory again.
func (codec Codec) decodeJobs(parts []wireSnapshotPart) ([]almondcross.JobRecord, error) {
	decoder := jobDecoder{codec: codec}
	for _, part := range parts {
		for index, encoded := range part.Jobs {
			if err := decoder.add(encoded); err != nil {
				return nil, err
			}
			part.Jobs[index] = nil
		}
	}
	if err := decoder.decode(decoder.pieces); err != nil {
		return nil, err
	}
	return decoder.jobs, nil
}

// jobDecoder decodes the jobs of a snapshot one after the other.
type jobDecoder struct {
	codec  Codec
	jobs   []almondcross.JobRecord
	bytes  int64  // bytes is the memory that the jobs are estimated to take.
	pieces []byte // pieces holds the last pieces of divided jobs.
}

// add adds an encoded job, or a piece of one.
func (jobdecoder *jobDecoder) add(encoded []byte) error {
	if len(encoded) > 0 && encoded[0]>>majorTypeBits == byteStringType {
		var piece []byte
		if err := jobdecoder.codec.decoding.Unmarshal(encoded, &piece); err != nil {
			return errors.Annotatef(ErrMalformed, "piece of a job: %v", err)
		}
		jobdecoder.pieces = append(jobdecoder.pieces, piece...)
		return nil
	}
	if err := jobdecoder.decode(jobdecoder.pieces); err != nil {
		return err
	}
	jobdecoder.pieces = nil
	return jobdecoder.decode(encoded)
}

// decode decodes whole jobs, as far as the limit of the codec allows.
func (jobdecoder *jobDecoder) decode(sequence []byte) error {
	for len(sequence) > 0 {
		job, rest, err := jobdecoder.codec.decodeFirstJob(sequence)
		if err != nil {
			return errors.Annotate(err, "job of a snapshot")
		}
		sequence = rest
		jobdecoder.bytes += job.HeldBytes()
		if limit := jobdecoder.codec.stateLimit; limit > 0 && jobdecoder.bytes > limit {
			return errors.Annotatef(almondcross.ErrStateTooLarge, "above %d bytes", limit)
		}
		jobdecoder.jobs = append(jobdecoder.jobs, job)
	}
	return nil
}

func snapshotOf(firstPart wireSnapshotPart, jobs []almondcross.JobRecord) almondcross.StateSnapshot {
	var usage []almondcross.QueueUsage
	for _, wire := range firstPart.Usage {
		usage = append(usage, wire.value())
	}
	var silentWorkers []almondcross.SilentWorker
	for _, silent := range firstPart.Silent {
		silentWorkers = append(silentWorkers, almondcross.NewSilentWorker(almondcross.SilentWorkerConfig{
			Worker: silent.Worker, Epoch: silent.Epoch, RecordedAt: fromUnixMillis(silent.RecordedAtMS),
			LeaseRemaining: milliseconds(silent.RemainingMS),
		}))
	}
	var unlistedWorkers []almondcross.UnlistedWorker
	for _, unlisted := range firstPart.Unlisted {
		unlistedWorkers = append(unlistedWorkers, almondcross.NewUnlistedWorker(almondcross.UnlistedWorkerConfig{
			Worker: unlisted.Worker, Address: unlisted.Address, Zone: unlisted.Zone, Leaving: unlisted.Leaving,
		}))
	}
	var crashed []almondcross.WorkerCrash
	for _, crash := range firstPart.Crashed {
		crashed = append(crashed, almondcross.NewWorkerCrash(almondcross.WorkerCrashConfig{
			Worker: crash.Worker, At: fromUnixMillis(crash.AtMS), Attributed: crash.Attributed,
		}))
	}
	return almondcross.NewStateSnapshot(almondcross.StateSnapshotConfig{
		Next: firstPart.JournalOffset, Epoch: firstPart.Epoch, SchedulerEpoch: firstPart.SchedulerEpoch, Resigned: firstPart.Resigned, At: fromUnixMillis(firstPart.AtMS), Host: firstPart.Host, Address: firstPart.Address,
		Intake: firstPart.Intake, Jobs: jobs, Usage: usage, Silent: silentWorkers, Unlisted: unlistedWorkers, Crashed: crashed,
	})
}
