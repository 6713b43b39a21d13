package encoder

import (
	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// SchedulerPath is the HTTP path at which other hosts query a host for the current scheduler.
const SchedulerPath = "/v1/scheduler"

// Type names of link messages.
const (
	linkHello         = "hello"
	linkAdviceQuery   = "advice_query"
	linkAdviceAnswer  = "advice_answer"
	linkJournalPush   = "journal_push"
	linkIntakeForward = "intake_forward"
	linkIntakeStored  = "intake_stored"
	linkAssign        = "assign"
	linkViews         = "views"
	linkPeers         = "peers"
	linkOrders        = "orders"
	linkOrderAnswers  = "order_answers"
	linkViewsAssign   = "views_assign"
	linkViewNumber    = "view_number"
	linkViewsMissed   = "views_missed"
	linkViewerHello   = "viewer_hello"
	linkRoutesKnown   = "routes_known"
	linkRoutesWanted  = "routes_wanted"
	linkRoutes        = "routes"
)

type wireAssign struct {
	Standby bool `cbor:"standby"`
	Rank    int  `cbor:"rank,omitempty"`
}

// wireViews groups job views by queue, state and workspace, so that each view takes little more than its job ID.
type wireViews struct {
	Reset    bool            `cbor:"reset,omitempty"`
	Complete bool            `cbor:"complete,omitempty"`
	Groups   []wireViewGroup `cbor:"groups,omitempty"`
	Removed  []string        `cbor:"gone,omitempty"`
	Epoch    int64           `cbor:"epoch,omitempty"`
	Number   int64           `cbor:"number,omitempty"`
	More     bool            `cbor:"more,omitempty"`
}

type wireViewGroup struct {
	Queue   string               `cbor:"queue"`
	State   almondcross.JobState `cbor:"state"`
	Counted bool                 `cbor:"counted,omitempty"`
	IDs     []string             `cbor:"ids"`

	Workspace string `cbor:"workspace,omitempty"`

	Host   string `cbor:"host,omitempty"`
	Prefix string `cbor:"prefix,omitempty"`
}

func toViews(pushed almondcross.ViewsPushed) wireViews {
	wire := wireViews{Reset: pushed.Reset(), Complete: pushed.Complete(), Epoch: pushed.Epoch(), Number: pushed.Number(), More: pushed.More()}
	groups := map[almondcross.JobView]int{}
	for _, change := range pushed.Changes() {
		if !change.Known() {
			wire.Removed = append(wire.Removed, string(change.ID()))
			continue
		}
		view := change.View()
		viewWithoutID := view.WithID("")
		index, known := groups[viewWithoutID]
		if !known {
			index = len(wire.Groups)
			groups[viewWithoutID] = index
			wire.Groups = append(wire.Groups, wireViewGroup{
				Queue: view.Queue().Name(), State: view.State(), Counted: view.CountsAsPending(), Workspace: view.Workspace(),
				Host: view.Queue().Host(), Prefix: view.Queue().Prefix(),
			})
		}
		wire.Groups[index].IDs = append(wire.Groups[index].IDs, string(view.ID()))
	}
	return wire
}

func (wireviews wireViews) value() almondcross.ViewsPushed {
	config := almondcross.ViewsPushedConfig{
		Reset: wireviews.Reset, Complete: wireviews.Complete, Epoch: wireviews.Epoch, Number: wireviews.Number, More: wireviews.More,
	}
	for _, group := range wireviews.Groups {
		queue := almondcross.NewQueueID(almondcross.QueueIDConfig{Name: group.Queue, Host: group.Host, Prefix: group.Prefix})
		for _, id := range group.IDs {
			config.Changes = append(config.Changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{
				ID: almondcross.JobID(id), Known: true,
				View: almondcross.NewJobView(almondcross.JobViewConfig{
					ID: almondcross.JobID(id), Queue: queue, State: group.State, CountsAsPending: group.Counted, Workspace: group.Workspace,
				}),
			}))
		}
	}
	for _, id := range wireviews.Removed {
		config.Changes = append(config.Changes, almondcross.NewJobViewChange(almondcross.JobViewChangeConfig{ID: almondcross.JobID(id)}))
	}
	return almondcross.NewViewsPushed(config)
}

type wireJournalPush struct {
	From    int64    `cbor:"from"`
	Batches [][]byte `cbor:"batches"`
}

type wireIntakeStored struct {
	Number int64 `cbor:"number"`
	Taken  bool  `cbor:"taken,omitempty"`

	RefusedMS int64 `cbor:"refused_ms,omitempty"`
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

	DataCentre string `cbor:"data_centre,omitempty"`
	ViewFormat int    `cbor:"view_format,omitempty"`

	SchedulerEpoch int64             `cbor:"scheduler_epoch,omitempty"`
	Ends           []wireStateChange `cbor:"ends,omitempty"`
	Format         int               `cbor:"format,omitempty"`

	StateBytes int64 `cbor:"state_bytes,omitempty"`

	RoutesFormat int `cbor:"routes_format,omitempty"`
}

func toHello(hello almondcross.HostHello) wireLinkHello {
	wire := wireLinkHello{
		Host: hello.Host(), Strength: hello.Strength(), Address: hello.Address(), DataCentre: hello.DataCentre(), ViewFormat: hello.ViewFormat(),
		SchedulerEpoch: hello.SchedulerEpoch(), Format: hello.Format(), StateBytes: hello.StateBytes(),
		RoutesFormat: hello.RoutesFormat(),
	}
	for _, end := range hello.Ends() {
		wire.Ends = append(wire.Ends, toChange(end))
	}
	return wire
}

func (wirelinkhello wireLinkHello) value() (almondcross.HostHello, error) {
	if !validEpoch(wirelinkhello.SchedulerEpoch) {
		return almondcross.HostHello{}, errors.Annotatef(ErrMalformed, "the scheduler's epoch %d", wirelinkhello.SchedulerEpoch)
	}
	config := almondcross.HostHelloConfig{
		Host: wirelinkhello.Host, Strength: wirelinkhello.Strength, Address: wirelinkhello.Address, DataCentre: wirelinkhello.DataCentre,
		ViewFormat: wirelinkhello.ViewFormat, SchedulerEpoch: wirelinkhello.SchedulerEpoch, Format: wirelinkhello.Format, StateBytes: max(wirelinkhello.StateBytes, 0),
		RoutesFormat: wirelinkhello.RoutesFormat,
	}
	for _, wire := range wirelinkhello.Ends {
		end, err := wire.value()
		if err != nil {
			return almondcross.HostHello{}, err
		}
		config.Ends = append(config.Ends, end)
	}
	return almondcross.NewHostHello(config), nil
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
	case almondcross.HostHello:
		return codec.encodeEnvelope(linkHello, toHello(message))
	case almondcross.AdviceQuery:
		return codec.encodeEnvelope(linkAdviceQuery, toAdviceQuery(message))
	case almondcross.AdviceAnswered:
		wire := wireAdviceAnswer{Query: toAdviceQuery(message.Query()), ValidityMS: message.Result().Validity().Milliseconds()}
		for _, ticket := range message.Result().Tickets() {
			wire.Tickets = append(wire.Tickets, wireTicket{Worker: ticket.Worker(), Secret: ticket.Secret()})
		}
		if message.Err() != nil {
			wire.Failure = message.Err().Error()
		}
		return codec.encodeEnvelope(linkAdviceAnswer, wire)
	case almondcross.JournalPushed:
		wire := wireJournalPush{From: message.From()}
		for _, batch := range message.Batches() {
			record, err := codec.EncodeBatch(batch)
			if err != nil {
				return nil, errors.Trace(err)
			}
			wire.Batches = append(wire.Batches, record)
		}
		return codec.encodeEnvelope(linkJournalPush, wire)
	case almondcross.OrdersRelayed:
		return codec.encodeOrders(message)
	case almondcross.OrdersAnswered:
		return codec.encodeEnvelope(linkOrderAnswers, toOrderAnswers(message))
	case almondcross.RoleAssigned:
		return codec.encodeEnvelope(linkAssign, wireAssign(message.Config()))
	case almondcross.PeersKnown:
		return codec.encodeEnvelope(linkPeers, wirePeers{Addresses: message.Addresses()})
	case almondcross.ViewsPushed:
		return codec.encodeEnvelope(linkViews, toViews(message))
	case almondcross.IntakeForwarded:
		return codec.encodeIntakeForward(message)
	case almondcross.IntakeStored:
		return codec.encodeEnvelope(linkIntakeStored, wireIntakeStored{
			Number: message.Number(), Taken: message.Taken(), RefusedMS: message.RefusedFor().Milliseconds(),
		})
	case almondcross.RoutesKnown, almondcross.RoutesWanted, almondcross.RoutesSent:
		return codec.encodeRoutes(message)
	default:
		return codec.encodeViewRelaying(message)
	}
}

// DecodeLink returns the message of a frame, or ErrTooLarge, ErrMalformed or ErrUnknown. The receiver must
// set the receive time and the host of an advice answer.
func (codec Codec) DecodeLink(frame []byte) (almondcross.LinkMessage, error) {
	envelope, err := codec.decodeEnvelope(frame)
	if err != nil {
		return nil, err
	}
	switch envelope.Type {
	case linkHello:
		var wire wireLinkHello
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return wire.value()
	case linkAdviceQuery:
		var wire wireAdviceQuery
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return wire.value(), nil
	case linkAdviceAnswer:
		var wire wireAdviceAnswer
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return wire.value(), nil
	case linkAssign, linkPeers, linkViews:
		return codec.decodeSchedulerMessage(envelope)
	case linkOrders, linkOrderAnswers:
		return codec.decodeOrders(envelope)
	case linkJournalPush:
		return codec.decodeJournalPush(envelope)
	case linkIntakeForward:
		return codec.decodeIntakeForward(envelope)
	case linkIntakeStored:
		var wire wireIntakeStored
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewIntakeStored(almondcross.IntakeStoredConfig{
			Number: wire.Number, Taken: wire.Taken, RefusedFor: milliseconds(wire.RefusedMS),
		}), nil
	case linkRoutesKnown, linkRoutesWanted, linkRoutes:
		return codec.decodeRoutes(envelope)
	default:
		return codec.decodeViewRelaying(envelope)
	}
}

// decodeSchedulerMessage is the part of DecodeLink for the role, the peers and the job views, which the scheduler
// sends to linked hosts.
func (codec Codec) decodeSchedulerMessage(envelope wireEnvelope) (almondcross.LinkMessage, error) {
	switch envelope.Type {
	case linkAssign:
		var wire wireAssign
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewRoleAssigned(almondcross.RoleAssignedConfig(wire)), nil
	case linkPeers:
		var wire wirePeers
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return almondcross.NewPeersKnown(almondcross.PeersKnownConfig(wire)), nil
	case linkViews:
		var wire wireViews
		if err := codec.decodeBody(envelope, &wire); err != nil {
			return nil, err
		}
		return wire.value(), nil
	}
	return nil, errors.Annotatef(ErrUnknown, "%q", envelope.Type)
}

func (codec Codec) decodeJournalPush(envelope wireEnvelope) (almondcross.LinkMessage, error) {
	var wire wireJournalPush
	if err := codec.decodeBody(envelope, &wire); err != nil {
		return nil, err
	}
	if !validCount(wire.From) {
		return nil, errors.Annotatef(ErrMalformed, "batches from offset %d", wire.From)
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
		Stage: query.Stage(), Asked: query.Workers(), Validity: milliseconds(wireadviceanswer.ValidityMS),
	}
	for _, ticket := range wireadviceanswer.Tickets {
		result.Tickets = append(result.Tickets, almondcross.NewTicket(almondcross.TicketConfig(ticket)))
	}
	config.Result = almondcross.NewAdviceResult(result)
	return almondcross.NewAdviceAnswered(config)
}
