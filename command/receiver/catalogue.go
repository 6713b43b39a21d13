package receiver

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/responder"
)

// changeWaiter receives the outcome of one change; it needs a capacity of 1.
type changeWaiter chan almondcross.ChangeOutcome

// ReplyChange stores the first outcome, discards later ones and never blocks.
func (changewaiter changeWaiter) ReplyChange(outcome almondcross.ChangeOutcome) {
	select {
	case changewaiter <- outcome:
	default:
	}
}

// change handles POST /v1/catalogue.
func (receiver *Receiver) change(writer http.ResponseWriter, request *http.Request, token almondcross.Token) {
	change, err := decodeChange(request.Body, token.Name(), uuid.NewString())
	if err != nil {
		responder.Fail(writer, responder.InvalidBody(err))
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), receiver.config.ChangeTimeout)
	defer cancel()
	waiter := make(changeWaiter, 1)
	message := almondcross.NewChangeCatalogue(almondcross.ChangeCatalogueConfig{Change: change, Replier: waiter})
	if err := receiver.config.Cataloguer.Put(ctx, message); err != nil {
		responder.Fail(writer, responder.Overloaded("cataloguer", false))
		return
	}
	outcome := almondcross.NewChangeOutcome(almondcross.ChangeOutcomeConfig{
		Name: change.Name(), Code: almondcross.CodeTimeout, Detail: "the log has not decided in time; the change may still be accepted",
	})
	select {
	case outcome = <-waiter:
	case <-receiver.config.Stopping:
	case <-ctx.Done():
	}
	responder.JSON(writer, changeStatus(outcome), encoder.NewChangeOutcomeJSON(outcome))
}

func changeStatus(outcome almondcross.ChangeOutcome) int {
	switch {
	case outcome.Accepted():
		return http.StatusOK
	case !outcome.Certain():
		return http.StatusAccepted
	case outcome.Code() == almondcross.CodeVersionConflict:
		return http.StatusConflict
	case outcome.Code() == almondcross.CodeInvalid:
		return http.StatusBadRequest
	case outcome.Code() == almondcross.CodeUnknownEntry:
		return http.StatusNotFound
	default:
		return http.StatusServiceUnavailable
	}
}
