package lister

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

func (lister lister) catalogueCommand() *cobra.Command {
	return parentCommand("catalogue", "Show and change the catalogue", "Shows and changes the catalogue of the cell.",
		listCommand(), showCommand(), lister.historyCommand(), validateCommand())
}

func listCommand() *cobra.Command {
	var flags requester.Flags
	var format string
	command := &cobra.Command{
		Use: "list", Short: "List the entries of the catalogue",
		Long:    "Lists the entries of the catalogue as known to the queried host." + requester.ExitHelp,
		Example: "  almondcross catalogue list\n  almondcross catalogue list --format csv > entries.csv",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.CatalogueJSON, error) {
				return client.Entries(ctx)
			})
			if err != nil {
				return err
			}
			return entriesTable(response).write(command.OutOrStdout(), format)
		},
	}
	flags.Bind(command)
	bindFormat(command, &format)
	return command
}

func entriesTable(response encoder.CatalogueJSON) outputTable {
	table := outputTable{
		header: []string{
			"name", "owner", "class", "share", "milli_cpu", "memory", "accelerators", "slots",
			"timeout", "repeatable", "urgent", "data_centres", "version",
		},
		response: response,
	}
	for _, entry := range response.Entries {
		resources := entry.Resources
		memory, _ := resources.Memory.MarshalText()
		table.rows = append(table.rows, []string{
			entry.Name, entry.Owner, string(entry.Class), strconv.FormatInt(entry.Share, 10),
			strconv.FormatInt(resources.MilliCPU, 10), string(memory), strconv.FormatInt(resources.Accelerators, 10),
			strconv.FormatInt(resources.Slots, 10), entry.Timeout.String(), strconv.FormatBool(entry.Repeatable),
			strconv.FormatBool(entry.Urgent), strings.Join(entry.DataCentres, " "), formatInt(int64(entry.Version)),
		})
	}
	return table
}

func formatInt(offset int64) string { return strconv.FormatInt(offset, 10) }

func showCommand() *cobra.Command {
	var flags requester.Flags
	command := &cobra.Command{
		Use: "show NAME", Short: "Show one entry as JSON",
		Long: "Shows one entry in the format of an entry in a catalogue file. If the file keeps the version,\n" +
			"apply refuses the change when the entry has changed in the meantime." + requester.ExitHelp,
		Example: "  almondcross catalogue show balance-lookup",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := checkEntryName("NAME", arguments[0]); err != nil {
				return err
			}
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.EntryJSON, error) {
				return client.Entry(ctx, arguments[0])
			})
			if err != nil {
				return err
			}
			return writeJSON(command.OutOrStdout(), response)
		},
	}
	flags.Bind(command)
	return command
}

func (lister lister) historyCommand() *cobra.Command {
	var flags requester.Flags
	var period periodFlags
	var format string
	command := &cobra.Command{
		Use: "history NAME", Short: "Show who changed an entry",
		Long:    "Shows every change of an entry that the log still keeps, including refused changes." + requester.ExitHelp,
		Example: "  almondcross catalogue history balance-lookup",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			if err := checkEntryName("NAME", arguments[0]); err != nil {
				return err
			}
			query := url.Values{}
			if err := period.addTo(query, lister.clock); err != nil {
				return err
			}
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.AuditTrailJSON, error) {
				return client.History(ctx, arguments[0], query)
			})
			if err != nil {
				return err
			}
			return auditTable(response).write(command.OutOrStdout(), format)
		},
	}
	flags.Bind(command)
	period.bind(command)
	bindFormat(command, &format)
	return command
}

// maxCatalogueFileBytes is the maximum size of a catalogue file in bytes.
const maxCatalogueFileBytes = 64 << 20

func validateCommand() *cobra.Command {
	return &cobra.Command{
		Use: "validate FILE", Short: "Check a catalogue file",
		Long:    "Checks a catalogue file without querying any host." + requester.ExitHelp,
		Example: "  almondcross catalogue validate examples/registers.jsonc",
		Args:    requester.Args(cobra.ExactArgs(1)),
		RunE: func(command *cobra.Command, arguments []string) error {
			source, err := requester.ReadFile(command, arguments[0], maxCatalogueFileBytes)
			if err != nil {
				return err
			}
			file, err := encoder.DecodeCatalogueFile(arguments[0], source)
			if err != nil {
				return requester.BadInput(err)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s: %d entries, valid\n", arguments[0], len(file.Entries()))
			return errors.Trace(err)
		},
	}
}
