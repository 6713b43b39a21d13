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

// Config holds the dependencies of the commands.
type Config struct {
	Clock almondcross.Clock        // Clock returns the time to which ages in flags refer.
	Build func() almondcross.Build // Build returns the build information of this program.
}

// lister holds the dependencies that the commands share.
type lister struct {
	clock almondcross.Clock
	build func() almondcross.Build
}

// New returns the commands catalogue, request, report, status, settings and version.
func New(config Config) []*cobra.Command {
	lister := lister{clock: config.Clock, build: config.Build}
	return requester.Prepare(
		lister.catalogueCommand(), lister.requestCommand(), lister.reportCommand(),
		lister.statusCommand(), settingsCommand(), lister.versionCommand(),
	)
}

// parentCommand returns a command that only groups subcommands.
func parentCommand(use, short, long string, children ...*cobra.Command) *cobra.Command {
	command := &cobra.Command{Use: use, Short: short, Long: long + requester.ExitHelp}
	command.AddCommand(children...)
	return command
}

// newClients returns the clients of all servers, and a context with the timeout of the flags. It opens no connection.
func newClients(command *cobra.Command, flags *requester.Flags) (context.Context, context.CancelFunc, []*Client, error) {
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

// queryFirst runs a query against the servers in order until one can be reached.
func queryFirst[T any](command *cobra.Command, flags *requester.Flags, query func(context.Context, *Client) (T, error)) (T, error) {
	var result T
	ctx, cancel, clients, err := newClients(command, flags)
	if err != nil {
		return result, err
	}
	defer cancel()
	for _, client := range clients {
		result, err = query(ctx, client)
		if !errors.Is(err, almondcross.ErrAPIUnreachable) {
			break
		}
	}
	if err != nil {
		return result, requester.Failed(err)
	}
	return result, nil
}

func checkEntryName(argument, name string) error {
	if !parser.ValidName(name) {
		return requester.BadInput(errors.Errorf("%s: found %q; allowed: the name of an entry", argument, name))
	}
	return nil
}

// periodFlags holds the flags --from and --to of a period.
type periodFlags struct {
	from, to string
}

func (periodflags *periodFlags) bind(command *cobra.Command) {
	command.Flags().StringVar(&periodflags.from, "from", "", `start: a time such as 2026-03-01T00:00:00Z, or an age such as 2h (default: a day before the end)`)
	command.Flags().StringVar(&periodflags.to, "to", "", "end: a time or an age (default: now)")
}

// addTo adds the period to the parameters of a query. Ages are relative to the time of the clock.
func (periodflags *periodFlags) addTo(query url.Values, clock almondcross.Clock) error {
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

func setNonEmpty(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}
