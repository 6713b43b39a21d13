package lister

import (
	"context"
	"net/url"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/parser"
	"github.com/almondcross/almondcross/requester"
)

// Config holds what the verbs need.
type Config struct {
	Clock almondcross.Clock // Clock gives the end of a period that is given as an age.
}

// lister holds what the verbs share.
type lister struct {
	clock almondcross.Clock
}

// New returns the verbs: catalogue, request, report, status, settings and version.
func New(config Config) []*cobra.Command {
	lister := lister{clock: config.Clock}
	return requester.Prepare(
		lister.catalogueCommand(), lister.requestCommand(), lister.reportCommand(),
		lister.statusCommand(), settingsCommand(), versionCommand(),
	)
}

// parent returns a command that only holds others.
func parent(use, short, long string, children ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Long: long + requester.ExitHelp}
	command.AddCommand(children...)
	return command
}

// connect returns the clients of all servers and a context with the time limit.
func connect(command *cobra.Command, flags *requester.Flags) (context.Context, context.CancelFunc, []*Client, error) {
	configs, err := flags.Configs()
	if err != nil {
		return nil, nil, nil, err
	}
	clients := make([]*Client, len(configs))
	for index, config := range configs {
		if clients[index], err = NewClient(config); err != nil {
			return nil, nil, nil, requester.BadInput(err)
		}
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.Timeout())
	return ctx, cancel, clients, nil
}

// ask runs one query against the first server that can be reached.
func ask[T any](command *cobra.Command, flags *requester.Flags, query func(context.Context, *Client) (T, error)) (T, error) {
	var answer T
	ctx, cancel, clients, err := connect(command, flags)
	if err != nil {
		return answer, err
	}
	defer cancel()
	for _, client := range clients {
		answer, err = query(ctx, client)
		if !errors.Is(err, almondcross.ErrAPIUnreachable) {
			break
		}
	}
	if err != nil {
		return answer, requester.Failed(err)
	}
	return answer, nil
}

func checkName(what, name string) error {
	if !parser.ValidName(name) {
		return requester.BadInput(errors.Errorf("%s: found %q; allowed: the name of an entry", what, name))
	}
	return nil
}

// periodFlags are the flags of a period.
type periodFlags struct {
	from, to string
}

func (periodflags *periodFlags) bind(command *cobra.Command) {
	command.Flags().StringVar(&periodflags.from, "from", "", `start: a time such as 2026-03-01T00:00:00Z, or an age such as 2h (default: a day before the end)`)
	command.Flags().StringVar(&periodflags.to, "to", "", "end: a time or an age (default: now)")
}

// add puts the period into a query.
func (periodflags *periodFlags) add(query url.Values, clock almondcross.Clock) error {
	for name, text := range map[string]string{"from": periodflags.from, "to": periodflags.to} {
		if text == "" {
			continue
		}
		at, err := time.Parse(time.RFC3339, text)
		if age, ok := parser.ParseDuration(text); ok {
			at, err = clock.Now().Add(-age), nil
		}
		if err != nil {
			return requester.BadInput(errors.Errorf("--%s: found %q; allowed: a time such as 2026-03-01T00:00:00Z, or an age such as 2h", name, text))
		}
		query.Set(name, at.Format(time.RFC3339Nano))
	}
	return nil
}

func setIf(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}
