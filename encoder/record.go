package encoder

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Type names of record bodies. An appender writes records with an empty body to test whether the log accepts
// appends; decoding them returns ErrUnknown.
const (
	recordPut                 = "put"
	recordRemove              = "remove"
	recordCatalogueCheckpoint = "catalogue_checkpoint"
	recordClaimCheckpoint     = "checkpoint"
	recordUsage               = "usage"
	recordUsageHour           = "usage_hour"
	recordAnswer              = "answer"
)

type wireChange struct {
	Name     string             `cbor:"name"`
	Entry    *wireEntry         `cbor:"entry,omitempty"`
	Expected almondcross.Offset `cbor:"expected_version"`
	Operator string             `cbor:"operator"`
}

type wireAuditLine struct {
	At          time.Time          `cbor:"at"`
	Operator    string             `cbor:"operator"`
	Entry       string             `cbor:"entry"`
	Removed     bool               `cbor:"removed,omitempty"`
	FromVersion almondcross.Offset `cbor:"from_version"`
	ToVersion   almondcross.Offset `cbor:"to_version"`
	Accepted    bool               `cbor:"accepted,omitempty"`
	Code        almondcross.Code   `cbor:"code,omitempty"`
}

type wireCatalogueCheckpoint struct {
	Catalogue wireCatalogue   `cbor:"catalogue"`
	IDs       []string        `cbor:"ids"`
	Audit     []wireAuditLine `cbor:"audit"`
}

type wireClaim struct {
	ID           string                `cbor:"id,omitempty"`
	Kind         almondcross.ClaimKind `cbor:"kind,omitempty"`
	Key          wireKey               `cbor:"key"`
	Entry        string                `cbor:"entry,omitempty"`
	Claimant     wireMemberID          `cbor:"claimant"`
	DataCentre   string                `cbor:"data_centre,omitempty"`
	Status       almondcross.Status    `cbor:"status,omitempty"`
	Code         almondcross.Code      `cbor:"code,omitempty"`
	AnswerOffset almondcross.Offset    `cbor:"answer_offset"`
	IssuedAt     time.Time             `cbor:"issued_at"`
	Offset       almondcross.Offset    `cbor:"offset,omitempty"`
}

type wireClaimCheckpoint struct {
	ID      string             `cbor:"id"`
	Part    int                `cbor:"part"`
	Parts   int                `cbor:"parts"`
	Covered almondcross.Offset `cbor:"covered"`
	Claims  []wireClaim        `cbor:"claims"`
}

type wireUsageLine struct {
	Entry          string                     `cbor:"entry"`
	Owner          string                     `cbor:"owner"`
	MilliCPUSec    float64                    `cbor:"milli_cpu_sec,omitempty"`
	MemoryMBSec    float64                    `cbor:"memory_mb_sec,omitempty"`
	AcceleratorSec float64                    `cbor:"accelerator_sec,omitempty"`
	SlotSec        float64                    `cbor:"slot_sec,omitempty"`
	Promised       float64                    `cbor:"promised,omitempty"`
	Received       float64                    `cbor:"received,omitempty"`
	Started        int64                      `cbor:"started,omitempty"`
	Finished       int64                      `cbor:"finished,omitempty"`
	WaitedSec      float64                    `cbor:"waited_sec,omitempty"`
	Reasons        map[almondcross.Code]int64 `cbor:"reasons,omitempty"`
}

type wireUsageBatch struct {
	Member     wireMemberID    `cbor:"member"`
	DataCentre string          `cbor:"data_centre"`
	Sequence   uint64          `cbor:"sequence"`
	From       time.Time       `cbor:"from"`
	To         time.Time       `cbor:"to"`
	Lines      []wireUsageLine `cbor:"lines"`
	Incomplete bool            `cbor:"incomplete,omitempty"`
	Final      bool            `cbor:"final,omitempty"`
}

type wireOutcome struct {
	Key        wireKey            `cbor:"key"`
	Status     almondcross.Status `cbor:"status,omitempty"`
	Answer     []byte             `cbor:"answer,omitempty"`
	Code       almondcross.Code   `cbor:"code,omitempty"`
	Detail     string             `cbor:"detail,omitempty"`
	RetryAfter time.Duration      `cbor:"retry_after,omitempty"`
	Target     string             `cbor:"target,omitempty"`
	Host       string             `cbor:"host,omitempty"`
}

func toOutcome(outcome almondcross.Outcome) wireOutcome {
	config := outcome.Config()
	return wireOutcome{
		Key: toKey(config.Key), Status: config.Status, Answer: config.Answer, Code: config.Code,
		Detail: config.Detail, RetryAfter: config.RetryAfter, Target: config.Target, Host: config.Host,
	}
}

func (wireoutcome wireOutcome) value() almondcross.Outcome {
	return almondcross.NewOutcome(almondcross.OutcomeConfig{
		Key: wireoutcome.Key.value(), Status: wireoutcome.Status, Answer: wireoutcome.Answer, Code: wireoutcome.Code,
		Detail: wireoutcome.Detail, RetryAfter: wireoutcome.RetryAfter, Target: wireoutcome.Target, Host: wireoutcome.Host,
	})
}

// EncodeChange returns the record body of a catalogue change.
func (codec Codec) EncodeChange(change almondcross.CatalogueChange) ([]byte, error) {
	wire := wireChange{Name: change.Name(), Expected: change.Expected(), Operator: change.Operator()}
	if change.Removed() {
		return codec.encodeEnvelope(recordRemove, wire)
	}
	entry := toEntry(change.Entry())
	wire.Entry = &entry
	return codec.encodeEnvelope(recordPut, wire)
}

// DecodeChange returns the change of a record in the catalogue stream.
func (codec Codec) DecodeChange(record almondcross.Record) (almondcross.CatalogueChange, error) {
	var zero almondcross.CatalogueChange
	var wire wireChange
	kind, err := codec.decodeRecord(record, &wire, recordPut, recordRemove)
	if err != nil {
		return zero, err
	}
	change := almondcross.CatalogueChangeConfig{
		ID: record.ID(), Name: wire.Name, Removed: kind == recordRemove, Expected: wire.Expected,
		Operator: wire.Operator, Offset: record.Offset(), Appended: record.Appended(),
	}
	if kind == recordPut {
		if wire.Entry == nil || wire.Entry.Name != wire.Name {
			return zero, errors.Annotate(ErrMalformed, "put record without an entry of the same name")
		}
		change.Entry = wire.Entry.value()
	}
	return almondcross.NewCatalogueChange(change), nil
}

// decodeRecord decodes the body of a record and returns its type, or ErrUnknown if it is not one of types.
func (codec Codec) decodeRecord(record almondcross.Record, body any, types ...string) (string, error) {
	if len(record.Body()) == 0 {
		return "", errors.Annotate(ErrUnknown, "empty body")
	}
	envelope, err := codec.decodeEnvelope(record.Body())
	if err != nil {
		return "", err
	}
	for _, name := range types {
		if envelope.Type == name {
			return name, codec.decodeBody(envelope, body)
		}
	}
	return "", errors.Annotatef(ErrUnknown, "record type %q", envelope.Type)
}

// EncodeCatalogueCheckpoint returns the record body of a catalogue checkpoint.
func (codec Codec) EncodeCatalogueCheckpoint(checkpoint almondcross.CatalogueCheckpoint) ([]byte, error) {
	wire := wireCatalogueCheckpoint{Catalogue: toCatalogue(checkpoint.Catalogue()), IDs: checkpoint.IDs()}
	for _, line := range checkpoint.Audit() {
		wire.Audit = append(wire.Audit, wireAuditLine(line.Config()))
	}
	return codec.encodeEnvelope(recordCatalogueCheckpoint, wire)
}

// DecodeCatalogueCheckpoint returns the checkpoint of a record in the catalogue checkpoint stream.
func (codec Codec) DecodeCatalogueCheckpoint(record almondcross.Record) (almondcross.CatalogueCheckpoint, error) {
	var wire wireCatalogueCheckpoint
	if _, err := codec.decodeRecord(record, &wire, recordCatalogueCheckpoint); err != nil {
		return almondcross.CatalogueCheckpoint{}, err
	}
	audit := make([]almondcross.AuditLine, 0, len(wire.Audit))
	for _, line := range wire.Audit {
		audit = append(audit, almondcross.NewAuditLine(almondcross.AuditLineConfig(line)))
	}
	return almondcross.NewCatalogueCheckpoint(almondcross.CatalogueCheckpointConfig{
		Catalogue: wire.Catalogue.value(), IDs: wire.IDs, Audit: audit,
	}), nil
}

func toClaim(claim almondcross.ClaimRecord) wireClaim {
	config := claim.Config()
	return wireClaim{
		ID: config.ID, Kind: config.Kind, Key: toKey(config.Key), Entry: config.Entry,
		Claimant: toMemberID(config.Claimant), DataCentre: config.DataCentre, Status: config.Status, Code: config.Code,
		AnswerOffset: config.AnswerOffset, IssuedAt: config.IssuedAt, Offset: config.Offset,
	}
}

func (wireclaim wireClaim) value() almondcross.ClaimRecord {
	return almondcross.NewClaimRecord(almondcross.ClaimRecordConfig{
		ID: wireclaim.ID, Kind: wireclaim.Kind, Key: wireclaim.Key.value(), Entry: wireclaim.Entry,
		Claimant: wireclaim.Claimant.value(), DataCentre: wireclaim.DataCentre, Status: wireclaim.Status, Code: wireclaim.Code,
		AnswerOffset: wireclaim.AnswerOffset, IssuedAt: wireclaim.IssuedAt, Offset: wireclaim.Offset,
	})
}

// EncodeClaim returns the body of a claim, void or settled record. It omits the ID, the kind and the offset,
// which DecodeClaim takes from the record.
func (codec Codec) EncodeClaim(claim almondcross.ClaimRecord) ([]byte, error) {
	wire := toClaim(claim)
	wire.ID, wire.Kind, wire.Offset = "", "", 0
	return codec.encodeEnvelope(string(claim.Kind()), wire)
}

// EncodeClaimCheckpoint returns the record body of one part of a claims checkpoint.
func (codec Codec) EncodeClaimCheckpoint(checkpoint almondcross.ClaimCheckpoint) ([]byte, error) {
	wire := wireClaimCheckpoint{
		ID: checkpoint.ID(), Part: checkpoint.Part(), Parts: checkpoint.Parts(), Covered: checkpoint.Covered(),
		Claims: make([]wireClaim, 0, len(checkpoint.Claims())),
	}
	for _, claim := range checkpoint.Claims() {
		wire.Claims = append(wire.Claims, toClaim(claim))
	}
	return codec.encodeEnvelope(recordClaimCheckpoint, wire)
}

// DecodeClaim returns the claim record or, if the third result is true, the checkpoint part of a record in the
// claims stream.
func (codec Codec) DecodeClaim(record almondcross.Record) (
	almondcross.ClaimRecord, almondcross.ClaimCheckpoint, bool, error,
) {
	var claim almondcross.ClaimRecord
	var checkpoint almondcross.ClaimCheckpoint
	if len(record.Body()) == 0 {
		return claim, checkpoint, false, errors.Annotate(ErrUnknown, "empty body")
	}
	envelope, err := codec.decodeEnvelope(record.Body())
	if err != nil {
		return claim, checkpoint, false, err
	}
	switch kind := almondcross.ClaimKind(envelope.Type); kind {
	case almondcross.ClaimRequested, almondcross.ClaimVoid, almondcross.ClaimSettled:
		var wire wireClaim
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return claim, checkpoint, false, err
		}
		wire.ID, wire.Kind, wire.Offset = record.ID(), kind, record.Offset()
		return wire.value(), checkpoint, false, nil
	case recordClaimCheckpoint:
		var wire wireClaimCheckpoint
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return claim, checkpoint, false, err
		}
		claims := make([]almondcross.ClaimRecord, 0, len(wire.Claims))
		for _, claim := range wire.Claims {
			claims = append(claims, claim.value())
		}
		checkpoint = almondcross.NewClaimCheckpoint(almondcross.ClaimCheckpointConfig{
			ID: wire.ID, Part: wire.Part, Parts: wire.Parts, Covered: wire.Covered,
			Claims: claims, Offset: record.Offset(),
		})
		return claim, checkpoint, true, nil
	default:
		return claim, checkpoint, false, errors.Annotatef(ErrUnknown, "record type %q", envelope.Type)
	}
}

// EncodeUsage returns the record body of a usage batch.
func (codec Codec) EncodeUsage(batch almondcross.UsageBatch) ([]byte, error) {
	config := batch.Config()
	wire := wireUsageBatch{
		Member: toMemberID(config.Member), DataCentre: config.DataCentre, Sequence: config.Sequence,
		From: config.From, To: config.To, Lines: make([]wireUsageLine, 0, len(config.Lines)),
		Incomplete: config.Incomplete, Final: config.Final,
	}
	for _, line := range config.Lines {
		wire.Lines = append(wire.Lines, wireUsageLine(line.Config()))
	}
	return codec.encodeEnvelope(recordUsage, wire)
}

// DecodeUsage returns the usage batch of a record in an account stream.
func (codec Codec) DecodeUsage(record almondcross.Record) (almondcross.UsageBatch, error) {
	var wire wireUsageBatch
	if _, err := codec.decodeRecord(record, &wire, recordUsage); err != nil {
		return almondcross.UsageBatch{}, err
	}
	lines := make([]almondcross.UsageLine, 0, len(wire.Lines))
	for _, line := range wire.Lines {
		lines = append(lines, almondcross.NewUsageLine(almondcross.UsageLineConfig(line)))
	}
	return almondcross.NewUsageBatch(almondcross.UsageBatchConfig{
		Member: wire.Member.value(), DataCentre: wire.DataCentre, Sequence: wire.Sequence,
		From: wire.From, To: wire.To, Lines: lines, Incomplete: wire.Incomplete, Final: wire.Final,
	}), nil
}

// EncodeAnswer returns the record body of a stored outcome.
func (codec Codec) EncodeAnswer(outcome almondcross.Outcome) ([]byte, error) {
	return codec.encodeEnvelope(recordAnswer, toOutcome(outcome))
}

// DecodeAnswer returns the outcome of a record in an answers stream.
func (codec Codec) DecodeAnswer(record almondcross.Record) (almondcross.Outcome, error) {
	var wire wireOutcome
	if _, err := codec.decodeRecord(record, &wire, recordAnswer); err != nil {
		return almondcross.Outcome{}, err
	}
	return wire.value(), nil
}
