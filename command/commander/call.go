package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/parser"
	"github.com/almondcross/almondcross/requester"
)

// maxPayloadBytes is the size limit of a payload. Encoded in base64, which adds a third, and together
// with the other keys it fits into a body of 1 MiB.
const maxPayloadBytes = 768 << 10

// defaultRetryInterval is the time between two attempts if the host does not return a retry interval.
const defaultRetryInterval = 250 * time.Millisecond

// answerMargin is the time by which the timeout sent to a host is shorter than the remaining time limit
// of the command, so that the last answer arrives in time.
const answerMargin = 500 * time.Millisecond

// callFlags are the flags of the call command.
type callFlags struct {
	requester.Flags
	key, origin, issuedAt, payload string
}

func (commander commander) callCommand() *cobra.Command {
	var flags callFlags
	command := &cobra.Command{
		Use: "call ENTRY", Short: "Run an entry once and print the answer",
		Long: "Sends a request and prints the answer on the standard output. Attempts within the time limit carry\n" +
			"the same key, origin and time of issue, so that the work is not started twice; with several --server\n" +
			"the attempts go to them in turn. The key, the origin and the time of issue are printed on the\n" +
			"standard error. To repeat a call whose outcome is uncertain, give all three again: with a new time\n" +
			"of issue, an expired key is not recognised as expired." + requester.ExitHelp,
		Example: "  echo -n 4711 | almondcross call balance-lookup --payload -\n" +
			"  almondcross call monthly-reconciliation --key reconciliation-2026-03 --origin kamloops-1 \\\n" +
			"      --issued-at 2026-03-31T18:00:00Z --payload run.json --timeout 10m",
		Args: requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			if !parser.ValidName(arguments[0]) {
				return requester.BadInput(errors.Errorf("ENTRY: found %q; allowed: the name of an entry", arguments[0]))
			}
			return commander.call(command, &flags, arguments[0])
		},
	}
	flags.Bind(command)
	command.Flags().StringVar(&flags.key, "key", "", "name of the key (default: a new one)")
	command.Flags().StringVar(&flags.origin, "origin", "", "home data centre of the key (default: that of the first server that answers)")
	command.Flags().StringVar(&flags.issuedAt, "issued-at", "", "time of the first attempt, such as 2026-03-31T18:00:00Z (default: now)")
	command.Flags().StringVar(&flags.payload, "payload", "", "file with the input of the work, - for the standard input (default: empty)")
	return command
}

func (commander commander) call(command *cobra.Command, flags *callFlags, entry string) error {
	configs, err := flags.Configs()
	if err != nil {
		return err
	}
	body, err := commander.requestBody(command, flags, entry)
	if err != nil {
		return err
	}
	clients := make([]client, len(configs))
	for index, config := range configs {
		if clients[index], err = newClient(config); err != nil {
			return requester.BadInput(err)
		}
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.Timeout())
	defer cancel()
	if body.Origin == "" {
		if body.Origin, err = commander.readOrigin(ctx, configs); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(command.ErrOrStderr(), "key %s, origin %s, issued at %s\n",
		body.Key, body.Origin, body.IssuedAt.Format(time.RFC3339Nano))
	requestretrier := requestRetrier{clients: clients, body: body, clock: commander.clock}
	outcome, err := requestretrier.submitUntilFinal(ctx)
	if err != nil {
		return err
	}
	_, err = command.OutOrStdout().Write(outcome.Answer)
	return errors.Trace(err)
}

// readOrigin returns the data centre of the first server that answers.
func (commander commander) readOrigin(ctx context.Context, configs []requester.Config) (string, error) {
	var lastErr error
	for _, config := range configs {
		viewer, err := commander.newViewer(config)
		if err != nil {
			return "", requester.BadInput(err)
		}
		origin, err := viewer.DataCentre(ctx)
		if err == nil {
			return origin, nil
		}
		lastErr = err
	}
	return "", requester.Failed(errors.Annotate(lastErr, "nothing was sent: the origin could not be read"))
}

func (commander commander) requestBody(command *cobra.Command, flags *callFlags, entry string) (encoder.RequestBody, error) {
	issuedAt := commander.clock.Now()
	body := encoder.RequestBody{Entry: entry, Key: flags.key, Origin: flags.origin, IssuedAt: &issuedAt, Payload: []byte{}}
	if flags.issuedAt != "" {
		var err error
		if issuedAt, err = time.Parse(time.RFC3339, flags.issuedAt); err != nil {
			return body, requester.BadInput(errors.Errorf("--issued-at: found %q; allowed: a time such as 2026-03-31T18:00:00Z", flags.issuedAt))
		}
	}
	if body.Key == "" {
		body.Key = uuid.NewString()
	}
	if flags.payload != "" {
		payload, err := requester.ReadFile(command, flags.payload, maxPayloadBytes)
		if err != nil {
			return body, err
		}
		body.Payload = payload
	}
	return body, nil
}

// requestRetrier sends one request repeatedly until its outcome is final or the time limit is reached.
type requestRetrier struct {
	clients []client
	body    encoder.RequestBody
	clock   almondcross.Clock
}

func (requestretrier requestRetrier) submitUntilFinal(ctx context.Context) (encoder.OutcomeJSON, error) {
	deadline, _ := ctx.Deadline()
	var lastErr error
	for attempt := 0; ; attempt++ {
		remaining := deadline.Sub(requestretrier.clock.Now()).Truncate(time.Millisecond)
		if remaining < time.Millisecond {
			return encoder.OutcomeJSON{}, requestretrier.timeoutError(lastErr)
		}
		requestretrier.body.Timeout = encoder.Duration(remaining - min(remaining/10, answerMargin).Truncate(time.Millisecond))
		result, err := requestretrier.clients[attempt%len(requestretrier.clients)].submit(ctx, requestretrier.body)
		if err == nil && isFinal(result) {
			return result.outcome, finalError(result, requestretrier.body.Retry)
		}
		if mayHaveEffect(result, err) {
			requestretrier.body.Retry = true
		}
		lastErr = err
		if err == nil {
			lastErr = errors.Errorf("%s %s: %s", result.outcome.Status, result.outcome.Code, result.outcome.Message)
		}
		if !waitForRetry(ctx, result.outcome.RetryAfter) {
			return encoder.OutcomeJSON{}, requestretrier.timeoutError(lastErr)
		}
	}
}

// timeoutError returns the error of a call that reached its time limit. It is a failure only if no
// attempt can have had an effect; otherwise the outcome is uncertain.
func (requestretrier requestRetrier) timeoutError(lastErr error) error {
	if requestretrier.body.Retry {
		return requester.Uncertain(errors.Annotate(lastErr, "no final outcome within the time limit; check with request show"))
	}
	return requester.Failed(errors.Annotate(lastErr, "not run"))
}

// mayHaveEffect reports whether an attempt may have started the work or may still start it.
func mayHaveEffect(result submitResult, err error) bool {
	if err != nil {
		return !errors.Is(err, requester.ErrNotSent)
	}
	return result.outcome.Status != almondcross.StatusNotRun
}

// isFinal reports whether the outcome is final, so that another attempt would not change it. A host
// whose queue is full has not recorded the key, so a request that is refused as overloaded is retried.
func isFinal(result submitResult) bool {
	if result.refused {
		return result.outcome.Code != almondcross.CodeOverloaded
	}
	return result.outcome.Status != almondcross.StatusRunning && result.outcome.Status != almondcross.StatusUnknown
}

// finalError returns the error of a final result, nil if the request is done. If a host refuses a retry
// without an outcome, the outcome of the earlier attempt is still uncertain.
func finalError(result submitResult, retried bool) error {
	outcome := result.outcome
	if outcome.Status == almondcross.StatusDone {
		return nil
	}
	if outcome.Status == "" && retried {
		return requester.Uncertain(errors.Errorf("an earlier attempt may be running; the last one was refused as %s: %s", outcome.Code, outcome.Message))
	}
	if outcome.Status == "" {
		return requester.Failed(errors.Errorf("refused as %s: %s", outcome.Code, outcome.Message))
	}
	return requester.Failed(errors.Errorf("%s: %s: %s", outcome.Status, outcome.Code, outcome.Message))
}

// waitForRetry waits before the next attempt. It returns false if the context ends first.
func waitForRetry(ctx context.Context, retryAfter *encoder.Duration) bool {
	interval := defaultRetryInterval
	if retryAfter != nil {
		interval = time.Duration(*retryAfter)
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
