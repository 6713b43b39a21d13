package receiver

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/responder"
)

// submit handles POST /v1/requests.
func (receiver *Receiver) submit(writer http.ResponseWriter, request *http.Request, token almondcross.Token) {
	submission, err := receiver.decodeRequest(request.Body, token.Name())
	if err != nil {
		responder.Fail(writer, responder.InvalidBody(err))
		return
	}
	waiter := receiver.newWaiter(submission.Key())
	message := almondcross.NewSubmitRequest(almondcross.SubmitRequestConfig{Request: submission, Replier: waiter})
	if !receiver.config.Coordinator.Offer(message) {
		responder.Fail(writer, responder.Overloaded("coordinator", !submission.Retry() && receiver.isRepeatable(submission.Entry())))
		return
	}
	outcome, ok := receiver.await(request.Context(), waiter, submission.Timeout())
	if !ok {
		outcome = runningOutcome(submission.Key())
	}
	responder.Outcome(writer, outcome)
}

// isRepeatable reports whether an entry is repeatable. Only then may a first attempt that finds the queue full be
// answered with not_run: an earlier attempt of the key may be running, because a load balancer can retry a request
// without setting the retry flag.
func (receiver *Receiver) isRepeatable(name string) bool {
	entry, ok := receiver.config.Catalogue.Catalogue().Entry(name)
	return ok && entry.Repeatable()
}

// cancel handles DELETE /v1/requests/{key}.
func (receiver *Receiver) cancel(writer http.ResponseWriter, request *http.Request, token almondcross.Token) {
	name, origin := mux.Vars(request)["key"], request.URL.Query().Get("origin")
	if err := checkKey(name); err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	if err := checkOrigin(origin, receiver.config.DataCentres); err != nil {
		responder.Fail(writer, responder.Invalid(err.Error()))
		return
	}
	key := almondcross.NewKey(almondcross.KeyConfig{Caller: token.Name(), Origin: origin, Name: name})
	waiter := receiver.newWaiter(key)
	message := almondcross.NewCancelRequest(almondcross.CancelRequestConfig{Key: key, Replier: waiter})
	if !receiver.config.Coordinator.Offer(message) {
		responder.Fail(writer, responder.Overloaded("coordinator", false))
		return
	}
	outcome, ok := receiver.await(request.Context(), waiter, receiver.config.RequestTimeout)
	if !ok {
		outcome = almondcross.NewOutcome(almondcross.OutcomeConfig{
			Key: key, Status: almondcross.StatusUnknown, Code: almondcross.CodeTimeout,
			Detail: "the cancellation was not decided in time; ask again by key", RetryAfter: time.Second,
		})
	}
	responder.OutcomeOK(writer, outcome)
}

func (receiver *Receiver) newWaiter(key almondcross.Key) *responder.Waiter {
	return responder.NewWaiter(responder.WaiterConfig{Key: key, Misdirected: receiver.misdirected})
}

// await returns the outcome, or false when the timeout expires, the caller disconnects or the host stops.
func (receiver *Receiver) await(ctx context.Context, waiter *responder.Waiter, timeout time.Duration) (almondcross.Outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case outcome := <-waiter.Outcomes():
		return outcome, true
	case <-receiver.config.Stopping:
	case <-ctx.Done():
	}
	// An outcome that arrived at the same time as the end of the wait is still delivered.
	select {
	case outcome := <-waiter.Outcomes():
		return outcome, true
	default:
		return almondcross.Outcome{}, false
	}
}

func runningOutcome(key almondcross.Key) almondcross.Outcome {
	return almondcross.NewOutcome(almondcross.OutcomeConfig{
		Key: key, Status: almondcross.StatusRunning, Code: almondcross.CodeTimeout,
		Detail: "no outcome yet; ask again by key and origin", RetryAfter: time.Second,
	})
}
