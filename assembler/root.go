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

// Main runs the command line with the arguments, prints any error to standard error, and returns the exit code.
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

// Root returns the root command with all subcommands.
func Root() *cobra.Command {
	root := &cobra.Command{
		Use:   "almondcross",
		Short: "Cluster scheduler for services, batch jobs and gang jobs",
		Long: "almondcross schedules services, batch jobs and gang jobs on a shared cluster and accounts for\n" +
			"the share of the cluster that each owner received, with the reasons." + requester.ExitHelp,
		Example: "  almondcross demo\n  almondcross entry --config examples/settings/entry-1.jsonc\n" +
			"  almondcross report shares --from 1h",
	}
	commands := commander.New(commander.Config{Clock: Clock{}, NewViewer: viewOf})
	queryCommands := lister.New(lister.Config{Clock: Clock{}, Build: readBuild})
	for _, queryCommand := range queryCommands {
		if queryCommand.Name() == "catalogue" {
			queryCommand.AddCommand(commands.Catalogue...)
		}
	}
	root.AddCommand(queryCommands...)
	root.AddCommand(commands.TopLevel...)
	root.AddCommand(requester.Prepare(entryCommand(), schedulerCommand(), platformCommand(), workerCommand(), demoCommand(), experimentCommand(), accountCommand(), explainCommand(), configurationCommand())...)
	requester.Prepare(root)
	return root
}

// viewOf returns a client of one server for reading the state of the cell.
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

// schedulerSettingsVariable is the environment variable for the path of the settings file of a scheduling host.
const schedulerSettingsVariable = "ALMONDCROSS_SETTINGS"

func schedulerCommand() *cobra.Command {
	command := processCommand("scheduler", "Run a host that serves jobs on the users' platform", func(path string) (fx.Option, error) {
		settings, err := configurator.LoadScheduler(path)
		if err != nil {
			return nil, requester.BadInput(err)
		}
		return SchedulerHost(settings, path), nil
	})
	configFlag := command.Flags().Lookup("config")
	configFlag.Usage += "; the default is the value of " + schedulerSettingsVariable
	if path := os.Getenv(schedulerSettingsVariable); path != "" {
		_ = command.Flags().Set(configFlag.Name, path) // Setting a string flag cannot fail.
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

// processCommand returns the command for a process that runs until it is stopped.
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

// runApp runs an application until the context ends or the application shuts itself down. Its errors have an exit code.
func runApp(ctx context.Context, options fx.Option) error {
	app := fx.New(options)
	if err := app.Err(); err != nil {
		return requester.BadInput(errors.Cause(err))
	}
	startCtx, cancel := context.WithTimeout(ctx, app.StartTimeout())
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return requester.Failed(errors.Annotate(err, "start"))
	}
	exitCode := 0
	select {
	case <-ctx.Done():
	case shutdownSignal := <-app.Wait():
		exitCode = shutdownSignal.ExitCode
	}
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancelStop()
	if err := app.Stop(stopCtx); err != nil {
		return requester.Failed(errors.Annotate(err, "stop"))
	}
	if exitCode != 0 {
		return requester.Failed(errors.New("a duty failed"))
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
