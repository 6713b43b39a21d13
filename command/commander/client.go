package commander

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

// client sends commands to the API of one entry host.
type client struct {
	requester *requester.Client
}

func newClient(config requester.Config) (client, error) {
	requester, err := requester.New(config)
	return client{requester: requester}, err
}

// change requests a change of the catalogue. An error other than ErrNotSent and ErrAPIRefused means
// that the outcome is not known.
func (client client) change(ctx context.Context, body encoder.ChangeBody) (encoder.ChangeOutcomeJSON, error) {
	answer, err := client.requester.Do(ctx, requester.Call{Method: http.MethodPost, Path: []string{"v1", "catalogue"}, Body: body})
	if err != nil {
		return encoder.ChangeOutcomeJSON{}, err
	}
	var outcome encoder.ChangeOutcomeJSON
	if err := json.Unmarshal(answer.Body, &outcome); err != nil || outcome.Name != body.Name {
		return encoder.ChangeOutcomeJSON{}, client.requester.ResponseError(answer)
	}
	return outcome, nil
}

// submitResult is the answer to one attempt of a request.
type submitResult struct {
	outcome encoder.OutcomeJSON
	refused bool // refused reports whether the host answered with an error instead of an outcome.
	status  int
}

// submit sends one attempt of a request. Errors and outcomes in the answer share the JSON keys status,
// code, message and retry_after; only outcomes contain the key of the request.
func (client client) submit(ctx context.Context, body encoder.RequestBody) (submitResult, error) {
	answer, err := client.requester.Do(ctx, requester.Call{Method: http.MethodPost, Path: []string{"v1", "requests"}, Body: body})
	if err != nil {
		return submitResult{}, err
	}
	var outcome encoder.OutcomeJSON
	if err := json.Unmarshal(answer.Body, &outcome); err != nil || (outcome.Code == "" && outcome.Status == "") {
		// The answer does not come from an entry host; it may be an error page of a load balancer.
		return submitResult{}, errors.Annotatef(almondcross.ErrAPIUnreachable, "%s answered %d without a code", client.requester.Server(), answer.Status)
	}
	if outcome.Key != "" && (outcome.Key != body.Key || outcome.Origin != body.Origin) {
		return submitResult{}, errors.Annotatef(almondcross.ErrAPIUnreachable, "%s answered for another key", client.requester.Server())
	}
	return submitResult{outcome: outcome, refused: outcome.Key == "", status: answer.Status}, nil
}
