package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/requester"
)

// pollInterval is the time between two reads of the state of the cell. Changes are in force
// within 4 s, so a quarter of a second shows progress at little cost.
const pollInterval = 250 * time.Millisecond

// Config holds the dependencies of the subcommands.
type Config struct {
	Clock almondcross.Clock
	// NewViewer returns a viewer that reads the state of the cell through an entry host.
	NewViewer func(config requester.Config) (almondcross.CellViewer, error)
}

// Commands are the subcommands that change state.
type Commands struct {
	Catalogue []*cobra.Command // Catalogue holds apply and remove, subcommands of the catalogue command.
	TopLevel  []*cobra.Command // TopLevel holds call, a subcommand of the root command.
}

// commander holds the dependencies that the subcommands share.
type commander struct {
	clock     almondcross.Clock
	newViewer func(config requester.Config) (almondcross.CellViewer, error)
}

// New returns the subcommands.
func New(config Config) Commands {
	commander := commander{clock: config.Clock, newViewer: config.NewViewer}
	return Commands{
		Catalogue: requester.Prepare(commander.applyCommand(), commander.removeCommand()),
		TopLevel:  requester.Prepare(commander.callCommand()),
	}
}

// session is one execution of a subcommand against one host.
type session struct {
	command *cobra.Command
	client  client
	viewer  almondcross.CellViewer
}

// openSession returns a session with the first server and a context with the time limit of the command.
// Only the first server is used, because a change is sent to one host only.
func (commander commander) openSession(command *cobra.Command, flags *requester.Flags) (session, context.Context, context.CancelFunc, error) {
	configs, err := flags.Configs()
	if err != nil {
		return session{}, nil, nil, err
	}
	client, err := newClient(configs[0])
	if err != nil {
		return session{}, nil, nil, requester.BadInput(err)
	}
	viewer, err := commander.newViewer(configs[0])
	if err != nil {
		return session{}, nil, nil, requester.BadInput(err)
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.Timeout())
	return session{command: command, client: client, viewer: viewer}, ctx, cancel, nil
}

func (session session) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(session.command.OutOrStdout(), format, arguments...)
}

// showProgress overwrites the current line of the standard error if that is a terminal.
func (session session) showProgress(format string, arguments ...any) {
	if requester.IsTerminal(session.command.ErrOrStderr()) {
		_, _ = fmt.Fprintf(session.command.ErrOrStderr(), "\r\033[K"+format, arguments...)
	}
}

// poll calls check immediately and then at every poll interval until it returns true. It returns false
// if the context ends first.
func poll(ctx context.Context, check func() bool) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !check() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
