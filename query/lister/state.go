package lister

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross/configurator"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

func (lister lister) requestCommand() *cobra.Command {
	return parentCommand("request", "Show requests", "Shows requests of the caller whose token is used.", requestShowCommand())
}

func requestShowCommand() *cobra.Command {
	var flags requester.Flags
	var origin string
	command := &cobra.Command{
		Use: "show KEY", Short: "Show the outcome of a request",
		Long: "Shows the outcome of a request. A caller sees only its own keys. Without --origin the data centre\n" +
			"of the queried host is used." + requester.ExitHelp,
		Example: "  almondcross request show reconciliation-2026-03 --origin kamloops-1",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.OutcomeJSON, error) {
				dataCentre := origin
				if dataCentre == "" {
					var err error
					if dataCentre, err = client.DataCentre(ctx); err != nil {
						return encoder.OutcomeJSON{}, err
					}
				}
				return client.Request(ctx, arguments[0], dataCentre)
			})
			if err != nil {
				return err
			}
			return writeJSON(command.OutOrStdout(), response)
		},
	}
	flags.Bind(command)
	command.Flags().StringVar(&origin, "origin", "", "origin of the key (default: the data centre of the host)")
	return command
}

func (lister lister) statusCommand() *cobra.Command {
	var flags requester.Flags
	var format string
	command := &cobra.Command{
		Use: "status", Short: "Show the state of an entry host",
		Long: "Shows the members, the targets that the host holds, and its rings. The formats json and table show\n" +
			"everything, csv only the members." + requester.ExitHelp,
		Example: "  almondcross status --server 127.0.0.1:7202",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.StatusJSON, error) {
				return client.Status(ctx)
			})
			if err != nil {
				return err
			}
			if format != "table" {
				return membersTable(response).write(command.OutOrStdout(), format)
			}
			return writeStatus(command.OutOrStdout(), response)
		},
	}
	flags.Bind(command)
	bindFormat(command, &format)
	command.AddCommand(schedulingStatusCommand())
	return command
}

func writeStatus(writer io.Writer, response encoder.StatusJSON) error {
	_, _ = fmt.Fprintf(writer, "host %s: ready %t, standing %t, catalogue offset %d of log end %d, log down %t\n\n",
		printable(response.Host), response.Ready, response.HasLinkLeases, response.CatalogueOffset, response.LogEnd, response.LogDown)
	for _, table := range []outputTable{dataCentresTable(response), membersTable(response), targetsTable(response), ringsTable(response)} {
		if err := table.write(writer, "table"); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(writer)
	}
	for _, lost := range response.Lost {
		_, _ = fmt.Fprintf(writer, "lost %s (incarnation %d) at %s\n", printable(lost.Name), lost.Incarnation, formatTime(lost.At))
	}
	return nil
}

func dataCentresTable(response encoder.StatusJSON) outputTable {
	table := outputTable{header: []string{"data_centre", "members", "lowest_catalogue_offset"}}
	for _, dataCentre := range response.DataCentres {
		table.rows = append(table.rows, []string{
			dataCentre.Name, strconv.Itoa(dataCentre.Members), formatInt(int64(dataCentre.CatalogueOffset)),
		})
	}
	return table
}

func membersTable(response encoder.StatusJSON) outputTable {
	table := outputTable{
		header:   []string{"member", "incarnation", "data_centre", "address", "leaving", "catalogue_offset", "held", "waiting", "oldest"},
		response: response,
	}
	for _, member := range response.Members {
		table.rows = append(table.rows, []string{
			member.Name, strconv.FormatUint(member.Incarnation, 10), member.DataCentre, member.Address,
			strconv.FormatBool(member.Leaving), formatInt(int64(member.CatalogueOffset)),
			strconv.Itoa(member.HeldTargets), strconv.Itoa(member.Waiting), member.OldestWait.String(),
		})
	}
	return table
}

func targetsTable(response encoder.StatusJSON) outputTable {
	table := outputTable{header: []string{
		"target", "rack", "state", "running", "free_milli_cpu", "milli_cpu", "free_memory", "memory", "free_slots", "slots", "leaving", "ejected",
	}}
	for _, target := range response.Targets {
		freeMemory, _ := target.Free.Memory.MarshalText()
		memory, _ := target.Total.Memory.MarshalText()
		table.rows = append(table.rows, []string{
			target.Name, target.Rack, string(target.State), strconv.Itoa(target.Running),
			formatInt(target.Free.MilliCPU), formatInt(target.Total.MilliCPU), string(freeMemory), string(memory),
			formatInt(target.Free.Slots), formatInt(target.Total.Slots),
			strconv.FormatBool(target.Leaving), strconv.FormatBool(target.Ejected),
		})
	}
	return table
}

func ringsTable(response encoder.StatusJSON) outputTable {
	table := outputTable{header: []string{"ring", "depth", "capacity", "refused"}}
	for _, ring := range response.Rings {
		table.rows = append(table.rows, []string{
			ring.Name, strconv.Itoa(ring.Depth), strconv.Itoa(ring.Capacity), strconv.FormatUint(ring.Refused, 10),
		})
	}
	return table
}

func settingsCommand() *cobra.Command {
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a settings file",
		Long:    "Checks a settings file of any role without starting a process." + requester.ExitHelp,
		Example: "  almondcross settings check examples/settings/entry-1.jsonc",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			role, err := configurator.Check(arguments[0])
			if err != nil {
				return requester.BadInput(err)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s: settings of role %s, valid\n", arguments[0], role)
			return errors.Trace(err)
		},
	}
	describe := &cobra.Command{
		Use: "describe", Short: "Describe every setting",
		Long:    "Prints every setting with its type, unit, default and allowed range, as Markdown." + requester.ExitHelp,
		Example: "  almondcross settings describe",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			_, err := io.WriteString(command.OutOrStdout(), configurator.SettingsPage())
			return errors.Trace(err)
		},
	}
	return parentCommand("settings", "Check and describe settings", "Checks settings files and describes the settings.", check, describe)
}

func (lister lister) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Show the version of this program",
		Long:    "Shows the version, the revision and the Go version of this program." + requester.ExitHelp,
		Example: "  almondcross version",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			build := lister.build()
			_, err := fmt.Fprintf(command.OutOrStdout(), "almondcross %s, revision %s, %s\n", build.Version(), build.Revision(), build.GoVersion())
			return errors.Trace(err)
		},
	}
}
