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

// client sends commands through the API of one entry host.
type client struct {
	requester *requester.Client
}

func newClient(config requester.Config) (client, error) {
	requester, err := requester.New(config)
	return client{requester: requester}, err
}

// change asks for a change of the catalogue. An error that is neither ErrNotSent nor
// ErrAPIRefused means that the outcome is not known.
func (client client) change(ctx context.Context, body encoder.ChangeBody) (encoder.ChangeOutcomeShape, error) {
	answer, err := client.requester.Do(ctx, requester.Call{Method: http.MethodPost, Path: []string{"v1", "catalogue"}, Body: body})
	if err != nil {
		return encoder.ChangeOutcomeShape{}, err
	}
	var outcome encoder.ChangeOutcomeShape
	if err := json.Unmarshal(answer.Body, &outcome); err != nil || outcome.Name != body.Name {
		return encoder.ChangeOutcomeShape{}, client.requester.Refusal(answer)
	}
	return outcome, nil
}

// submission is the answer to one attempt of a request.
type submission struct {
	outcome encoder.OutcomeShape
	refused bool // refused tells that the host answered an error instead of an outcome.
	status  int
}

// submit sends one attempt of a request. Errors and outcomes share the keys status, code,
// message and retry_after; only outcomes name the key.
func (client client) submit(ctx context.Context, body encoder.RequestBody) (submission, error) {
	answer, err := client.requester.Do(ctx, requester.Call{Method: http.MethodPost, Path: []string{"v1", "requests"}, Body: body})
	if err != nil {
		return submission{}, err
	}
	var outcome encoder.OutcomeShape
	if err := json.Unmarshal(answer.Body, &outcome); err != nil || (outcome.Code == "" && outcome.Status == "") {
		// The answer is not one of ours, such as an error page of a load balancer.
		return submission{}, errors.Annotatef(almondcross.ErrAPIUnreachable, "%s answered %d without a code", client.requester.Server(), answer.Status)
	}
	if outcome.Key != "" && (outcome.Key != body.Key || outcome.Origin != body.Origin) {
		return submission{}, errors.Annotatef(almondcross.ErrAPIUnreachable, "%s answered for another key", client.requester.Server())
	}
	return submission{outcome: outcome, refused: outcome.Key == "", status: answer.Status}, nil
}
