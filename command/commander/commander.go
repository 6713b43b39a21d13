package commander

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/requester"
)

// pollInterval is the time between two looks at the state of the cell. Changes are in force
// within 4 s, so a quarter of a second shows progress at little cost.
const pollInterval = 250 * time.Millisecond

// Config holds what the verbs need.
type Config struct {
	Clock almondcross.Clock
	// View returns a reader of the cell through an entry host.
	View func(config requester.Config) (almondcross.CellViewer, error)
}

// Commands are the verbs that change state.
type Commands struct {
	Catalogue []*cobra.Command // Catalogue holds apply and remove, which belong below the catalogue verb.
	Top       []*cobra.Command // Top holds call, which belongs below the root.
}

// commander holds what the verbs share.
type commander struct {
	clock almondcross.Clock
	view  func(config requester.Config) (almondcross.CellViewer, error)
}

// New returns the verbs.
func New(config Config) Commands {
	commander := commander{clock: config.Clock, view: config.View}
	return Commands{
		Catalogue: requester.Prepare(commander.applyCommand(), commander.removeCommand()),
		Top:       requester.Prepare(commander.callCommand()),
	}
}

// session is one run of a verb against one host.
type session struct {
	command *cobra.Command
	client  client
	viewer  almondcross.CellViewer
}

// open connects to the first server; a change is sent to one host only.
func (commander commander) open(command *cobra.Command, flags *requester.Flags) (session, context.Context, context.CancelFunc, error) {
	configs, err := flags.Configs()
	if err != nil {
		return session{}, nil, nil, err
	}
	client, err := newClient(configs[0])
	if err != nil {
		return session{}, nil, nil, requester.BadInput(err)
	}
	viewer, err := commander.view(configs[0])
	if err != nil {
		return session{}, nil, nil, requester.BadInput(err)
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.Timeout())
	return session{command: command, client: client, viewer: viewer}, ctx, cancel, nil
}

func (session session) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(session.command.OutOrStdout(), format, arguments...)
}

// progress overwrites one line of a terminal.
func (session session) progress(format string, arguments ...any) {
	if requester.IsTerminal(session.command.ErrOrStderr()) {
		_, _ = fmt.Fprintf(session.command.ErrOrStderr(), "\r\033[K"+format, arguments...)
	}
}

// poll calls check at once and then at every interval until it reports true or the context ends.
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
