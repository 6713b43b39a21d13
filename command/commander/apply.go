package commander

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/parser"
	"github.com/almondcross/almondcross/requester"
)

// maxCatalogueFileBytes is the size limit of a catalogue file.
const maxCatalogueFileBytes = 64 << 20

// waitFlags are the flags for waiting until every data centre has a change.
type waitFlags struct {
	wait      bool
	timeLimit time.Duration
}

func (waitflags *waitFlags) bind(command *cobra.Command) {
	command.Flags().BoolVar(&waitflags.wait, "wait", false, "wait until every data centre reports the change")
	command.Flags().DurationVar(&waitflags.timeLimit, "wait-limit", 15*time.Second, "time limit of --wait")
}

// waitIfRequested waits if --wait is set. The wait has its own time limit, separate from that of
// the change.
func (waitflags *waitFlags) waitIfRequested(session session, version almondcross.Offset) error {
	if !waitflags.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(session.command.Context(), waitflags.timeLimit)
	defer cancel()
	return session.waitForOffset(ctx, version)
}

func (commander commander) applyCommand() *cobra.Command {
	var flags requester.Flags
	var wait waitFlags
	var dryRun bool
	command := &cobra.Command{
		Use: "apply FILE", Short: "Change entries to match a file",
		Long: "Shows the difference between a catalogue file and the catalogue, and sends it entry by entry with the\n" +
			"versions that were read. If someone else changes an entry in the meantime, its change is refused and\n" +
			"the rest is not sent. Entries that are not in the file stay unchanged; catalogue remove removes them.\n" +
			"FILE may be - for the standard input." + requester.ExitHelp,
		Example: "  almondcross catalogue apply examples/registers.jsonc --dry-run\n" +
			"  almondcross catalogue apply examples/registers.jsonc --wait",
		Args: requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			source, err := requester.ReadFile(command, arguments[0], maxCatalogueFileBytes)
			if err != nil {
				return err
			}
			file, err := encoder.DecodeCatalogueFile(arguments[0], source)
			if err != nil {
				return requester.BadInput(err)
			}
			session, ctx, cancel, err := commander.openSession(command, &flags)
			if err != nil {
				return err
			}
			defer cancel()
			version, err := session.apply(ctx, file, dryRun)
			if err != nil || dryRun {
				return err
			}
			return wait.waitIfRequested(session, version)
		},
	}
	flags.Bind(command)
	wait.bind(command)
	command.Flags().BoolVar(&dryRun, "dry-run", false, "only show the difference")
	return command
}

// apply prints the difference between the file and the catalogue and, unless it is a dry run, sends the
// changes. It returns the highest accepted version, or the offset of the catalogue if that is higher.
func (session session) apply(ctx context.Context, file encoder.CatalogueFile, dryRun bool) (almondcross.Offset, error) {
	catalogue, err := session.viewer.Catalogue(ctx)
	if err != nil {
		return 0, requester.Failed(err)
	}
	changes, err := planChanges(file, catalogue)
	if err != nil {
		return 0, requester.Failed(err)
	}
	for _, entrychange := range changes {
		for _, line := range entrychange.lines {
			session.printf("%s\n", line)
		}
	}
	session.printf("%d to change, %d unchanged\n", len(changes), len(file.Entries())-len(changes))
	if dryRun {
		return 0, nil
	}
	version := catalogue.Offset()
	for index, entrychange := range changes {
		session.showProgress("%d of %d: %s", index+1, len(changes), entrychange.entry.Name())
		body, err := newChangeBody(entrychange)
		if err != nil {
			return 0, requester.Failed(err)
		}
		accepted, err := session.change(ctx, body, entrychange.entry)
		session.showProgress("")
		if err != nil {
			session.printf("stopped: %d accepted, %d not sent\n", index, len(changes)-index-1)
			return 0, err
		}
		session.printf("%s: accepted as version %d\n", entrychange.entry.Name(), accepted)
		version = max(version, accepted)
	}
	return version, nil
}

func (commander commander) removeCommand() *cobra.Command {
	var flags requester.Flags
	var wait waitFlags
	var version int64
	command := &cobra.Command{
		Use: "remove NAME", Short: "Remove an entry",
		Long: "Removes an entry from the catalogue. With --version the removal is refused when the entry has\n" +
			"changed since; without it the version that is read before the removal is used." + requester.ExitHelp,
		Example: "  almondcross catalogue remove delivery-planning --wait",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			name := arguments[0]
			if !parser.ValidName(name) {
				return requester.BadInput(errors.Errorf("NAME: found %q; allowed: the name of an entry", name))
			}
			session, ctx, cancel, err := commander.openSession(command, &flags)
			if err != nil {
				return err
			}
			defer cancel()
			accepted, err := session.remove(ctx, name, almondcross.Offset(version))
			if err != nil {
				return err
			}
			return wait.waitIfRequested(session, accepted)
		},
	}
	flags.Bind(command)
	wait.bind(command)
	command.Flags().Int64Var(&version, "version", 0, "version that the entry must have (default: the one that is read)")
	return command
}

func (session session) remove(ctx context.Context, name string, expected almondcross.Offset) (almondcross.Offset, error) {
	catalogue, err := session.viewer.Catalogue(ctx)
	if err != nil {
		return 0, requester.Failed(err)
	}
	entry, exists := catalogue.Entry(name)
	if !exists {
		return 0, requester.Failed(errors.Errorf("%s: unknown_entry: the catalogue has no such entry", name))
	}
	if expected == 0 {
		expected = entry.Version()
	}
	session.printf("- %s (version %d, of %s)\n", name, entry.Version(), entry.Owner())
	accepted, err := session.change(ctx, encoder.ChangeBody{Name: name, Removed: true, ExpectedVersion: expected}, almondcross.Entry{})
	if err != nil {
		return 0, err
	}
	session.printf("%s: removed at offset %d\n", name, accepted)
	return accepted, nil
}
