package encoder

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// PointerPath is the path on which a host tells others which host schedules.
const PointerPath = "/v1/scheduler"

// Types of link messages.
const (
	linkHello  = "hello"
	linkQuery  = "advice_query"
	linkAnswer = "advice_answer"
	linkPush   = "journal_push"
	linkIntake = "intake_forward"
	linkStored = "intake_stored"
	linkAssign = "assign"
	linkViews  = "views"
	linkPeers  = "peers"
)

type wireAssign struct {
	Standby bool `cbor:"standby"`
}

// wireViews holds views by queue and state, so that a view takes little more than its identity.
type wireViews struct {
	Reset    bool            `cbor:"reset,omitempty"`
	Complete bool            `cbor:"complete,omitempty"`
	Groups   []wireViewGroup `cbor:"groups,omitempty"`
	Gone     []string        `cbor:"gone,omitempty"`
}

type wireViewGroup struct {
	Queue   string               `cbor:"queue"`
	State   almondcross.JobState `cbor:"state"`
	Counted bool                 `cbor:"counted,omitempty"`
	IDs     []string             `cbor:"ids"`
}

func toViews(pushed almondcross.ViewsPushed) wireViews {
	wire := wireViews{Reset: pushed.Reset(), Complete: pushed.Complete()}
	groups := map[almondcross.JobView]int{}
	for _, change := range pushed.Changes() {
		if !change.Known() {
			wire.Gone = append(wire.Gone, string(change.ID()))
			continue
		}
		view := change.View()
		kind := view.WithID("")
		index, known := groups[kind]
		if !known {
			index = len(wire.Groups)
			groups[kind] = index
			wire.Groups = append(wire.Groups, wireViewGroup{Queue: view.Queue(), State: view.State(), Counted: view.Counted()})
		}
		wire.Groups[index].IDs = append(wire.Groups[index].IDs, string(view.ID()))
	}
	return wire
}

func (wireviews wireViews) value() almondcross.ViewsPushed {
	config := almondcross.ViewsPushedConfig{Reset: wireviews.Reset, Complete: wireviews.Complete}
	for _, group := range wireviews.Groups {
		for _, id := range group.IDs {
			config.Changes = append(config.Changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{
				ID: almondcross.JobID(id), Known: true,
				View: almondcross.NewJobView(almondcross.JobViewConfig{
					ID: almondcross.JobID(id), Queue: group.Queue, State: group.State, Counted: group.Counted,
				}),
			}))
		}
	}
	for _, id := range wireviews.Gone {
		config.Changes = append(config.Changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: almondcross.JobID(id)}))
	}
	return almondcross.NewViewsPushed(config)
}

type wirePush struct {
	From    int64    `cbor:"from"`
	Batches [][]byte `cbor:"batches"`
}

type wireForward struct {
	Number int64  `cbor:"number"`
	Intake []byte `cbor:"intake"`
}

type wireStored struct {
	Number int64 `cbor:"number"`
}

type wireAdviceQuery struct {
	Job        string   `cbor:"job"`
	Occurrence int      `cbor:"occurrence,omitempty"`
	Step       int      `cbor:"step,omitempty"`
	Workers    []string `cbor:"workers"`
}

type wireTicket struct {
	Worker string `cbor:"worker"`
	Secret string `cbor:"secret"`
}

type wireAdviceAnswer struct {
	Query      wireAdviceQuery `cbor:"query"`
	Tickets    []wireTicket    `cbor:"tickets"`
	ValidityMS int64           `cbor:"validity_ms,omitempty"`
	Failure    string          `cbor:"failure,omitempty"`
}

type wireLinkHello struct {
	Host     string `cbor:"host"`
	Strength int    `cbor:"strength"`
	Address  string `cbor:"address,omitempty"`
}

type wirePeers struct {
	Addresses []string `cbor:"addresses"`
}

func toAdviceQuery(query almondcross.AdviceQuery) wireAdviceQuery {
	stage := query.Stage()
	return wireAdviceQuery{Job: string(stage.Job), Occurrence: stage.Occurrence, Step: stage.Step, Workers: query.Workers()}
}

func (wireadvicequery wireAdviceQuery) value() almondcross.AdviceQuery {
	return almondcross.NewAdviceQuery(almondcross.AdviceQueryConfig{
		Stage: almondcross.StageID{
			Job: almondcross.JobID(wireadvicequery.Job), Occurrence: wireadvicequery.Occurrence, Step: wireadvicequery.Step,
		},
		Workers: wireadvicequery.Workers,
	})
}

// EncodeLink returns the frame of a link message.
func (codec Codec) EncodeLink(message almondcross.LinkMessage) ([]byte, error) {
	switch message := message.(type) {
	case almondcross.AdviserHello:
		return codec.seal(linkHello, wireLinkHello(message.Config()))
	case almondcross.AdviceQuery:
		return codec.seal(linkQuery, toAdviceQuery(message))
	case almondcross.AdviceAnswered:
		wire := wireAdviceAnswer{Query: toAdviceQuery(message.Query()), ValidityMS: message.Result().Validity().Milliseconds()}
		for _, ticket := range message.Result().Tickets() {
			wire.Tickets = append(wire.Tickets, wireTicket{Worker: ticket.Worker(), Secret: ticket.Secret()})
		}
		if message.Err() != nil {
			wire.Failure = message.Err().Error()
		}
		return codec.seal(linkAnswer, wire)
	case almondcross.JournalPushed:
		wire := wirePush{From: message.From()}
		for _, batch := range message.Batches() {
			record, err := codec.EncodeBatch(batch)
			if err != nil {
				return nil, errors.Trace(err)
			}
			wire.Batches = append(wire.Batches, record)
		}
		return codec.seal(linkPush, wire)
	case almondcross.Assigned:
		return codec.seal(linkAssign, wireAssign{Standby: message.Standby()})
	case almondcross.PeersKnown:
		return codec.seal(linkPeers, wirePeers{Addresses: message.Addresses()})
	case almondcross.ViewsPushed:
		return codec.seal(linkViews, toViews(message))
	case almondcross.IntakeForwarded:
		record, err := codec.EncodeIntake(message.Intake())
		if err != nil {
			return nil, errors.Trace(err)
		}
		return codec.seal(linkIntake, wireForward{Number: message.Number(), Intake: record})
	case almondcross.IntakeStored:
		return codec.seal(linkStored, wireStored{Number: message.Number()})
	}
	return nil, errors.Annotatef(ErrUnknown, "%T", message)
}

// DecodeLink returns the message of a frame. The time of receipt and the host of an answer are left to
// the receiver.
func (codec Codec) DecodeLink(frame []byte) (almondcross.LinkMessage, error) {
	sealed, err := codec.open(frame)
	if err != nil {
		return nil, err
	}
	switch sealed.Type {
	case linkHello:
		var wire wireLinkHello
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewAdviserHello(almondcross.AdviserHelloConfig(wire)), nil
	case linkQuery:
		var wire wireAdviceQuery
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return wire.value(), nil
	case linkAnswer:
		var wire wireAdviceAnswer
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return wire.value(), nil
	case linkAssign, linkPeers, linkViews:
		return codec.decodeFromScheduler(sealed)
	case linkPush:
		return codec.decodePush(sealed)
	case linkIntake:
		var wire wireForward
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		intake, err := codec.DecodeIntake(wire.Intake)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return almondcross.NewIntakeForwarded(almondcross.IntakeForwardedConfig{Number: wire.Number, Intake: intake}), nil
	case linkStored:
		var wire wireStored
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewIntakeStored(almondcross.IntakeStoredConfig(wire)), nil
	}
	return nil, errors.Annotatef(ErrUnknown, "%q", sealed.Type)
}

// decodeFromScheduler decodes what the scheduler tells linked hosts.
func (codec Codec) decodeFromScheduler(sealed envelope) (almondcross.LinkMessage, error) {
	switch sealed.Type {
	case linkAssign:
		var wire wireAssign
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewAssigned(almondcross.AssignedConfig(wire)), nil
	case linkPeers:
		var wire wirePeers
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewPeersKnown(almondcross.PeersKnownConfig(wire)), nil
	case linkViews:
		var wire wireViews
		if err := codec.body(sealed, &wire); err != nil {
			return nil, err
		}
		return wire.value(), nil
	}
	return nil, errors.Annotatef(ErrUnknown, "%q", sealed.Type)
}

func (codec Codec) decodePush(sealed envelope) (almondcross.LinkMessage, error) {
	var wire wirePush
	if err := codec.body(sealed, &wire); err != nil {
		return nil, err
	}
	config := almondcross.JournalPushedConfig{From: wire.From}
	for _, record := range wire.Batches {
		batch, err := codec.DecodeBatch(record)
		if err != nil {
			return nil, errors.Trace(err)
		}
		config.Batches = append(config.Batches, batch)
	}
	return almondcross.NewJournalPushed(config), nil
}

func (wireadviceanswer wireAdviceAnswer) value() almondcross.AdviceAnswered {
	query := wireadviceanswer.Query.value()
	config := almondcross.AdviceAnsweredConfig{Query: query}
	if wireadviceanswer.Failure != "" {
		config.Err = errors.New(wireadviceanswer.Failure)
		return almondcross.NewAdviceAnswered(config)
	}
	result := almondcross.AdviceResultConfig{
		Stage: query.Stage(), Asked: query.Workers(), Validity: time.Duration(wireadviceanswer.ValidityMS) * time.Millisecond,
	}
	for _, ticket := range wireadviceanswer.Tickets {
		result.Tickets = append(result.Tickets, almondcross.NewTicket(almondcross.TicketConfig(ticket)))
	}
	config.Result = almondcross.NewAdviceResult(result)
	return almondcross.NewAdviceAnswered(config)
}
