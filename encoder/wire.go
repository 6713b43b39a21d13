package encoder

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Limits of the CBOR decoder. Without them, a malicious frame of MaxFrame bytes could exhaust the
// memory: an empty element takes one byte on the wire and many more once decoded.
const (
	// MaxFrame is the maximum size of an encoded message or record, in bytes.
	MaxFrame    = 1 << 20
	maxElements = 1 << 16
	maxNesting  = 16
	// maxJobElements limits the stages of a job in a snapshot, of which Job.Validate allows 100,000.
	maxJobElements = 1 << 17
)

// Errors of encoding and decoding.
const (
	ErrTooLarge  = errors.ConstError("the encoded message is larger than 1 MiB")
	ErrMalformed = errors.ConstError("the message cannot be decoded")
	ErrUnknown   = errors.ConstError("the message has an unknown type")
)

// Codec encodes and decodes peer messages, link messages, log records and journal records as CBOR.
// It has no mutable state, so any goroutine may use it.
type Codec struct {
	encoding     cbor.EncMode
	decoding     cbor.DecMode
	decodingJobs cbor.DecMode // decodingJobs decodes the parts of a snapshot and their jobs.
	stateLimit   int64        // stateLimit is the memory in bytes that the jobs of a decoded snapshot may take, 0 for no limit.
}

// WithStateLimit returns a copy that decodes no snapshot whose jobs take more memory than some bytes.
func (codec Codec) WithStateLimit(bytes int64) Codec {
	codec.stateLimit = bytes
	return codec
}

// NewCodec returns a codec with the size and nesting limits of this package.
func NewCodec() (Codec, error) {
	encoding, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return Codec{}, errors.Annotate(err, "building the CBOR encoder")
	}
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	decoding, err := options.DecMode()
	if err != nil {
		return Codec{}, errors.Annotate(err, "building the CBOR decoder")
	}
	options.MaxArrayElements = maxJobElements
	decodingJobs, err := options.DecMode()
	if err != nil {
		return Codec{}, errors.Annotate(err, "building the CBOR decoder of jobs")
	}
	return Codec{encoding: encoding, decoding: decoding, decodingJobs: decodingJobs}, nil
}

// wireEnvelope is the outer layer of a link message or log record: the type name and the encoded body.
type wireEnvelope struct {
	Type string          `cbor:"type"`
	Body cbor.RawMessage `cbor:"body"`
	// Incarnations holds the incarnation of each relayed order.
	Incarnations []int64 `cbor:"incarnations,omitempty"`
}

func (codec Codec) encodeEnvelope(name string, body any) ([]byte, error) {
	encodedBody, err := codec.encoding.Marshal(body)
	if err != nil {
		return nil, errors.Annotatef(err, "encoding %s", name)
	}
	return codec.marshalEnvelope(wireEnvelope{Type: name, Body: encodedBody})
}

func (codec Codec) marshalEnvelope(envelope wireEnvelope) ([]byte, error) {
	name := envelope.Type
	data, err := codec.encoding.Marshal(envelope)
	if err != nil {
		return nil, errors.Annotatef(err, "encoding the envelope of %s", name)
	}
	if len(data) > MaxFrame {
		return nil, errors.Annotatef(ErrTooLarge, "%s takes %d bytes", name, len(data))
	}
	return data, nil
}

func (codec Codec) decodeEnvelope(data []byte) (wireEnvelope, error) {
	if len(data) > MaxFrame {
		return wireEnvelope{}, errors.Trace(ErrTooLarge)
	}
	var envelope wireEnvelope
	if err := codec.decoding.Unmarshal(data, &envelope); err != nil {
		return wireEnvelope{}, errors.Annotate(ErrMalformed, err.Error())
	}
	return envelope, nil
}

func (codec Codec) decodeBody(envelope wireEnvelope, body any) error {
	if err := codec.decoding.Unmarshal(envelope.Body, body); err != nil {
		return errors.Annotatef(ErrMalformed, "%s: %v", envelope.Type, err)
	}
	return nil
}

type wireKey struct {
	Caller string `cbor:"caller,omitempty"`
	Origin string `cbor:"origin,omitempty"`
	Name   string `cbor:"name,omitempty"`
}

func toKey(key almondcross.Key) wireKey { return wireKey(key.Config()) }
func (wirekey wireKey) value() almondcross.Key {
	return almondcross.NewKey(almondcross.KeyConfig(wirekey))
}

type wireTaskID struct {
	Key   wireKey `cbor:"key"`
	Index int     `cbor:"index,omitempty"`
}

func toTaskID(id almondcross.TaskID) wireTaskID {
	return wireTaskID{Key: toKey(id.Key()), Index: id.Index()}
}

func (wiretaskid wireTaskID) value() almondcross.TaskID {
	return almondcross.NewTaskID(almondcross.TaskIDConfig{Key: wiretaskid.Key.value(), Index: wiretaskid.Index})
}

type wireResources struct {
	MilliCPU     int64 `cbor:"milli_cpu,omitempty"`
	MemoryMB     int64 `cbor:"memory_mb,omitempty"`
	Accelerators int64 `cbor:"accelerators,omitempty"`
	Slots        int64 `cbor:"slots,omitempty"`
}

func toResources(resources almondcross.Resources) wireResources {
	return wireResources(resources.Config())
}

func (wireresources wireResources) value() almondcross.Resources {
	return almondcross.NewResources(almondcross.ResourcesConfig(wireresources))
}

type wireMemberID struct {
	Name        string `cbor:"name,omitempty"`
	Incarnation uint64 `cbor:"incarnation,omitempty"`
}

func toMemberID(id almondcross.MemberID) wireMemberID { return wireMemberID(id.Config()) }

func (wirememberid wireMemberID) value() almondcross.MemberID {
	return almondcross.NewMemberID(almondcross.MemberIDConfig(wirememberid))
}

type wireTerm struct {
	Boot    uint64 `cbor:"boot,omitempty"`
	Counter uint64 `cbor:"counter,omitempty"`
}

func toTerm(term almondcross.Term) wireTerm { return wireTerm(term.Config()) }
func (wireterm wireTerm) value() almondcross.Term {
	return almondcross.NewTerm(almondcross.TermConfig(wireterm))
}

type wireEntry struct {
	Name        string             `cbor:"name"`
	Owner       string             `cbor:"owner,omitempty"`
	Class       almondcross.Class  `cbor:"class,omitempty"`
	Resources   wireResources      `cbor:"resources"`
	Replicas    int                `cbor:"replicas,omitempty"`
	Tasks       int                `cbor:"tasks,omitempty"`
	MaxRunning  int                `cbor:"max_running,omitempty"`
	MaxWaiting  int                `cbor:"max_waiting,omitempty"`
	Timeout     time.Duration      `cbor:"timeout,omitempty"`
	MaxRun      time.Duration      `cbor:"max_run,omitempty"`
	ExpectedRun time.Duration      `cbor:"expected_run,omitempty"`
	Share       int64              `cbor:"share,omitempty"`
	Repeatable  bool               `cbor:"repeatable,omitempty"`
	Urgent      bool               `cbor:"urgent,omitempty"`
	DataCentres []string           `cbor:"data_centres,omitempty"`
	Version     almondcross.Offset `cbor:"version,omitempty"`
}

func toEntry(entry almondcross.Entry) wireEntry {
	config := entry.Config()
	return wireEntry{
		Name: config.Name, Owner: config.Owner, Class: config.Class, Resources: toResources(config.Resources),
		Replicas: config.Replicas, Tasks: config.Tasks, MaxRunning: config.MaxRunning, MaxWaiting: config.MaxWaiting,
		Timeout: config.Timeout, MaxRun: config.MaxRun, ExpectedRun: config.ExpectedRun, Share: config.Share,
		Repeatable: config.Repeatable, Urgent: config.Urgent, DataCentres: config.DataCentres, Version: config.Version,
	}
}

func (wireentry wireEntry) value() almondcross.Entry {
	return almondcross.NewEntry(almondcross.EntryConfig{
		Name: wireentry.Name, Owner: wireentry.Owner, Class: wireentry.Class, Resources: wireentry.Resources.value(),
		Replicas: wireentry.Replicas, Tasks: wireentry.Tasks, MaxRunning: wireentry.MaxRunning, MaxWaiting: wireentry.MaxWaiting,
		Timeout: wireentry.Timeout, MaxRun: wireentry.MaxRun, ExpectedRun: wireentry.ExpectedRun, Share: wireentry.Share,
		Repeatable: wireentry.Repeatable, Urgent: wireentry.Urgent, DataCentres: wireentry.DataCentres, Version: wireentry.Version,
	})
}

type wireCatalogue struct {
	Offset  almondcross.Offset `cbor:"offset"`
	Entries []wireEntry        `cbor:"entries"`
}

func toCatalogue(catalogue almondcross.Catalogue) wireCatalogue {
	wire := wireCatalogue{Offset: catalogue.Offset(), Entries: make([]wireEntry, 0, catalogue.Len())}
	for entry := range catalogue.Entries {
		wire.Entries = append(wire.Entries, toEntry(entry))
	}
	return wire
}

func (wirecatalogue wireCatalogue) value() almondcross.Catalogue {
	entries := make([]almondcross.Entry, 0, len(wirecatalogue.Entries))
	for _, entry := range wirecatalogue.Entries {
		entries = append(entries, entry.value())
	}
	return almondcross.NewCatalogueOf(wirecatalogue.Offset, entries)
}
