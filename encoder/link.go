package encoder

import (
	"time"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
)

// Types of link messages.
const (
	linkHello  = "hello"
	linkQuery  = "advice_query"
	linkAnswer = "advice_answer"
)

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
	Host string `cbor:"host"`
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
		return codec.seal(linkHello, wireLinkHello{Host: message.Host()})
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
	}
	return nil, errors.Annotatef(ErrUnknown, "%q", sealed.Type)
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
