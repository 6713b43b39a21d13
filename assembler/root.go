package assembler

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/command/commander"
	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/query/lister"
	"github.com/almondcross/almondcross/requester"
)

// Main runs the command line and returns the exit code.
func Main(arguments []string) int {
	root := Root()
	root.SetArgs(arguments)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
	}
	return requester.ExitCode(err)
}

// Root returns the root of the command line.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:   "almondcross",
		Short: "Cluster scheduler for services, batch and all-at-once jobs",
		Long: "almondcross schedules services, batch and all-at-once jobs on a shared cluster and keeps\n" +
			"the account of who received what share and why." + requester.ExitHelp,
		Example: "  almondcross demo\n  almondcross entry --config examples/settings/entry-1.jsonc\n" +
			"  almondcross report shares --from 1h",
	}
	verbs := commander.New(commander.Config{Clock: Clock{}, View: viewOf})
	readers := lister.New(lister.Config{Clock: Clock{}})
	for _, reader := range readers {
		if reader.Name() == "catalogue" {
			reader.AddCommand(verbs.Catalogue...)
		}
	}
	root.AddCommand(readers...)
	root.AddCommand(verbs.Top...)
	root.AddCommand(requester.Prepare(entryCommand(), schedulerCommand(), platformCommand(), workerCommand(), demoCommand(), experimentCommand(), accountCommand(), explainCommand())...)
	requester.Prepare(root)
	return root
}

func viewOf(config requester.Config) (almondcross.CellViewer, error) { return lister.NewClient(config) }

func entryCommand() *cobra.Command {
	return processCommand("entry", "Run an entry host", func(path string) (fx.Option, error) {
		settings, err := configurator.LoadEntry(path)
		if err != nil {
			return nil, requester.BadInput(err)
		}
		return Entry(settings, newLogger(settings.LogFormat())), nil
	})
}

// schedulerSettings is the variable with the path of the settings file of a scheduling host.
const schedulerSettings = "ALMONDCROSS_SETTINGS"

func schedulerCommand() *cobra.Command {
	command := processCommand("scheduler", "Run a host that serves jobs on the users' platform", func(path string) (fx.Option, error) {
		settings, err := configurator.LoadScheduler(path)
		if err != nil {
			return nil, requester.BadInput(err)
		}
		return SchedulerHost(settings, path), nil
	})
	config := command.Flags().Lookup("config")
	config.Usage += "; the default is the value of " + schedulerSettings
	if path := os.Getenv(schedulerSettings); path != "" {
		_ = command.Flags().Set(config.Name, path) // A path is a text; setting it cannot fail.
	}
	return command
}

func platformCommand() *cobra.Command {
	return processCommand("platform", "Run the stand-in for the platform's log and live list (development only)",
		func(path string) (fx.Option, error) {
			settings, err := configurator.LoadPlatform(path)
			if err != nil {
				return nil, requester.BadInput(err)
			}
			return Platform(settings, newLogger(settings.LogFormat())), nil
		})
}

func workerCommand() *cobra.Command {
	return processCommand("worker", "Run the stand-in for a worker (development only)",
		func(path string) (fx.Option, error) {
			settings, err := configurator.LoadWorker(path)
			if err != nil {
				return nil, requester.BadInput(err)
			}
			return Worker(settings, newLogger(settings.LogFormat())), nil
		})
}

// processCommand returns the verb of a process that runs until it is stopped.
func processCommand(name, short string, build func(path string) (fx.Option, error)) *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:     name + " --config FILE",
		Short:   short,
		Long:    short + "." + requester.ExitHelp,
		Example: "  almondcross " + name + " --config examples/settings/" + name + "-1.jsonc",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			options, err := build(path)
			if err != nil {
				return err
			}
			return runApp(command.Context(), options)
		},
	}
	command.Flags().StringVar(&path, "config", "", "settings file, JSON with comments")
	_ = command.MarkFlagRequired("config")
	_ = command.MarkFlagFilename("config", "json", "jsonc")
	return command
}

// runApp runs an application until the context or one of its duties ends it.
func runApp(ctx context.Context, options fx.Option) error {
	app := fx.New(options)
	if err := app.Err(); err != nil {
		return requester.BadInput(errors.Cause(err))
	}
	start, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(start); err != nil {
		return requester.Failed(errors.Annotate(err, "start"))
	}
	code := 0
	select {
	case <-ctx.Done():
	case signal := <-app.Wait():
		code = signal.ExitCode
	}
	stop, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stop); err != nil {
		return requester.Failed(errors.Annotate(err, "stop"))
	}
	if code != 0 {
		return requester.Failed(errors.New("a duty ended with an error"))
	}
	return nil
}

func newLogger(format configurator.LogFormat) *logrus.Logger {
	logger := logrus.New()
	if format == configurator.LogJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger
}
