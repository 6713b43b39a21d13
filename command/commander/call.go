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

// maxPayload leaves room in a body of 1 MiB for base64, which adds a third, and the other keys.
const maxPayload = 768 << 10

// retryInterval is the time between two attempts when the host names none.
const retryInterval = 250 * time.Millisecond

// answerMargin is the time by which a host answers before the command's own limit, so that its
// last word arrives.
const answerMargin = 500 * time.Millisecond

// callFlags are the flags of call.
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
			"standard error. To repeat a call whose outcome is uncertain, give all three again: a new time of\n" +
			"issue makes an old key look fresh." + requester.ExitHelp,
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
		if body.Origin, err = commander.origin(ctx, configs); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(command.ErrOrStderr(), "key %s, origin %s, issued at %s\n",
		body.Key, body.Origin, body.IssuedAt.Format(time.RFC3339Nano))
	attempts := attempts{clients: clients, body: body, clock: commander.clock}
	outcome, err := attempts.run(ctx)
	if err != nil {
		return err
	}
	_, err = command.OutOrStdout().Write(outcome.Answer)
	return errors.Trace(err)
}

// origin returns the data centre of the first server that answers.
func (commander commander) origin(ctx context.Context, configs []requester.Config) (string, error) {
	var last error
	for _, config := range configs {
		viewer, err := commander.view(config)
		if err != nil {
			return "", requester.BadInput(err)
		}
		origin, err := viewer.DataCentre(ctx)
		if err == nil {
			return origin, nil
		}
		last = err
	}
	return "", requester.Failed(errors.Annotate(last, "nothing was sent: the origin could not be read"))
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
		payload, err := requester.ReadFile(command, flags.payload, maxPayload)
		if err != nil {
			return body, err
		}
		body.Payload = payload
	}
	return body, nil
}

// attempts sends one request until its outcome is final or the time is up.
type attempts struct {
	clients []client
	body    encoder.RequestBody
	clock   almondcross.Clock
}

func (attempts attempts) run(ctx context.Context) (encoder.OutcomeShape, error) {
	deadline, _ := ctx.Deadline()
	var last error
	for attempt := 0; ; attempt++ {
		remaining := deadline.Sub(attempts.clock.Now()).Truncate(time.Millisecond)
		if remaining < time.Millisecond {
			return encoder.OutcomeShape{}, attempts.giveUp(last)
		}
		attempts.body.Timeout = encoder.Duration(remaining - min(remaining/10, answerMargin).Truncate(time.Millisecond))
		answer, err := attempts.clients[attempt%len(attempts.clients)].submit(ctx, attempts.body)
		if err == nil && isFinal(answer) {
			return answer.outcome, finalError(answer, attempts.body.Retry)
		}
		if mayHaveEffect(answer, err) {
			attempts.body.Retry = true
		}
		last = err
		if err == nil {
			last = errors.Errorf("%s %s: %s", answer.outcome.Status, answer.outcome.Code, answer.outcome.Message)
		}
		if !pause(ctx, answer.outcome.RetryAfter) {
			return encoder.OutcomeShape{}, attempts.giveUp(last)
		}
	}
}

// giveUp ends a call whose time is up. It is a failure only when no attempt can have had an effect.
func (attempts attempts) giveUp(last error) error {
	if attempts.body.Retry {
		return requester.Uncertain(errors.Annotate(last, "no final outcome in time; ask with request show"))
	}
	return requester.Failed(errors.Annotate(last, "not run"))
}

// mayHaveEffect reports whether an attempt may have started the work or still start it.
func mayHaveEffect(answer submission, err error) bool {
	if err != nil {
		return !errors.Is(err, requester.ErrNotSent)
	}
	return answer.outcome.Status != almondcross.StatusNotRun
}

// isFinal reports whether another attempt would change nothing. A host whose queue is full has
// not recorded the key, so that refusal is tried again.
func isFinal(answer submission) bool {
	if answer.refused {
		return answer.outcome.Code != almondcross.CodeOverloaded
	}
	return answer.outcome.Status != almondcross.StatusRunning && answer.outcome.Status != almondcross.StatusUnknown
}

// finalError returns the error of a final answer. A host that refuses to read a retry says
// nothing of the earlier attempt.
func finalError(answer submission, retried bool) error {
	outcome := answer.outcome
	if outcome.Status == almondcross.StatusDone {
		return nil
	}
	if outcome.Status == "" && retried {
		return requester.Uncertain(errors.Errorf("an earlier attempt may run; the last one was refused as %s: %s", outcome.Code, outcome.Message))
	}
	if outcome.Status == "" {
		return requester.Failed(errors.Errorf("refused as %s: %s", outcome.Code, outcome.Message))
	}
	return requester.Failed(errors.Errorf("%s: %s: %s", outcome.Status, outcome.Code, outcome.Message))
}

// pause waits before the next attempt and reports false when the time is up.
func pause(ctx context.Context, retryAfter *encoder.Duration) bool {
	interval := retryInterval
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
