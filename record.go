package almondcross

import "time"

// Stream is the name of a stream of the platform's log.
type Stream string

// The streams of the log.
const (
	StreamCatalogue           Stream = "catalogue"
	StreamCatalogueCheckpoint Stream = "catalogue.checkpoint"
	StreamClaims              Stream = "claims"
	streamAccountPrefix              = "account."
	streamAccountHoursPrefix         = "account_hours."
	streamAnswersPrefix              = "answers."
)

// AccountStream returns the stream of usage batches of a data centre.
func AccountStream(dataCentre string) Stream { return Stream(streamAccountPrefix + dataCentre) }

// AccountHoursStream returns the stream of the rolled-up account of a data centre.
func AccountHoursStream(dataCentre string) Stream {
	return Stream(streamAccountHoursPrefix + dataCentre)
}

// AnswersStream returns the stream of answers of a data centre.
func AnswersStream(dataCentre string) Stream { return Stream(streamAnswersPrefix + dataCentre) }

// Record is one record of a log stream.
//
//value:generate
type Record struct {
	id       string    // the unique id that the writer chose, which identifies a repeated append
	offset   Offset    // the position in the stream, set by the log
	appended time.Time // the time at which the log stored the record
	body     []byte    // the encoded content
}

// Batch is a sequence of consecutive records read from the log.
//
//value:generate
type Batch struct {
	records []Record // the records in log order
	next    Offset   // the offset to read from next
	end     Offset   // the offset after the last record of the stream
}

// CatalogueChange is a change of one entry requested by an operator.
//
//value:generate
type CatalogueChange struct {
	id       string    // the id of the record
	name     string    // the name of the entry
	entry    Entry     // the new entry; not used for a removal
	removed  bool      // whether the entry is removed
	expected Offset    // the version that the operator expects to replace, 0 for a new entry
	operator string    // the operator who requested the change
	offset   Offset    // the offset of the record, set by the log
	appended time.Time // the time at which the log stored the record
}

// ClaimKind is the kind of a record of the claims stream.
type ClaimKind string

// The kinds of claim records.
const (
	ClaimRequested ClaimKind = "claim"   // ClaimRequested requests a key for its claimant; the first record of a key decides.
	ClaimVoid      ClaimKind = "void"    // ClaimVoid prevents the key from ever running.
	ClaimSettled   ClaimKind = "settled" // ClaimSettled records the final status of a claimed key.
)

// ClaimRecord is one record of the claims stream.
//
//value:generate
type ClaimRecord struct {
	id           string    // the id of the record
	kind         ClaimKind // the kind of the record
	key          Key       // the key of the request
	entry        string    // the name of the entry
	claimant     MemberID  // the member that wrote the record
	dataCentre   string    // the data centre of the claimant
	status       Status    // the final status of a settled key
	code         Code      // the reason code of a settled key
	answerOffset Offset    // the offset of the answer in the answers stream, -1 for none
	issuedAt     time.Time // the time at which the key was issued
	offset       Offset    // the offset of the record, set by the log
}
