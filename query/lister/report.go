package lister

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross"
	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

func (lister lister) reportCommand() *cobra.Command {
	return parentCommand("report", "Show shares, decisions and catalogue changes",
		"Shows the shares that owners received, the decisions behind them and the audit trail of the catalogue.",
		lister.sharesCommand(), whyCommand(), lister.auditCommand())
}

func (lister lister) sharesCommand() *cobra.Command {
	var flags requester.Flags
	var period periodFlags
	var owner, entry, format string
	command := &cobra.Command{
		Use: "shares", Short: "Show the promised and the received shares",
		Long: "Shows the promised and the received share of each entry by interval and data centre, in percent of\n" +
			"the data centre's dominant resource. Notes on the standard error show how fresh the report is and\n" +
			"what is missing; if data is missing, the exit code is 3." + requester.ExitHelp,
		Example: "  almondcross report shares --owner counters --from 2h\n" +
			"  almondcross report shares --from 2026-03-01T00:00:00Z --to 2026-04-01T00:00:00Z --format csv",
		Args: requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			query := url.Values{}
			setNonEmpty(query, "owner", owner)
			setNonEmpty(query, "entry", entry)
			if err := period.addTo(query, lister.clock); err != nil {
				return err
			}
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.ShareReportJSON, error) {
				return client.Shares(ctx, query)
			})
			if err != nil {
				return err
			}
			if err := sharesTable(response).write(command.OutOrStdout(), format); err != nil {
				return err
			}
			return writeShareNotes(command.ErrOrStderr(), response)
		},
	}
	flags.Bind(command)
	period.bind(command)
	bindFormat(command, &format)
	command.Flags().StringVar(&owner, "owner", "", "only this owner")
	command.Flags().StringVar(&entry, "entry", "", "only this entry")
	return command
}

func sharesTable(response encoder.ShareReportJSON) outputTable {
	table := outputTable{
		header: []string{
			"from", "to", "data_centre", "owner", "entry", "promised_percent", "received_percent", "milli_cpu_sec",
			"memory_mb_sec", "accelerator_sec", "slot_sec", "started", "finished", "waited_sec", "reasons", "complete",
		},
		response: response,
	}
	for _, line := range response.Lines {
		table.rows = append(table.rows, []string{
			formatTime(line.From), formatTime(line.To), line.DataCentre, line.Owner, line.Entry,
			formatPercent(line.Promised), formatPercent(line.Received), formatFloat(line.MilliCPUSec),
			formatFloat(line.MemoryMBSec), formatFloat(line.AcceleratorSec), formatFloat(line.SlotSec),
			strconv.FormatInt(line.Started, 10), strconv.FormatInt(line.Finished, 10), formatFloat(line.WaitedSec),
			formatReasons(line.Reasons), strconv.FormatBool(!line.Incomplete),
		})
	}
	return table
}

func formatReasons(reasons map[almondcross.Code]int64) string {
	parts := make([]string, 0, len(reasons))
	for _, code := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("%s=%d", code, reasons[code]))
	}
	return strings.Join(parts, " ")
}

// writeShareNotes prints how fresh the report is and what is missing. It returns an error if data is missing.
func writeShareNotes(writer io.Writer, response encoder.ShareReportJSON) error {
	for _, name := range slices.Sorted(maps.Keys(response.FreshAt)) {
		_, _ = fmt.Fprintf(writer, "%s: account data up to %s\n", printable(name), formatTime(response.FreshAt[name]))
	}
	for _, gap := range response.Gaps {
		_, _ = fmt.Fprintf(writer, "%s: %s (incarnation %d): batches %d to %d after %s are missing\n", printable(gap.DataCentre),
			printable(gap.Host), gap.Incarnation, gap.FromSequence, gap.ToSequence, formatTime(gap.After))
	}
	for _, name := range response.Missing {
		_, _ = fmt.Fprintf(writer, "%s: the account could not be read\n", printable(name))
	}
	incomplete := slices.ContainsFunc(response.Lines, func(line encoder.ShareLineJSON) bool { return line.Incomplete })
	if len(response.Gaps) > 0 || len(response.Missing) > 0 || incomplete {
		return requester.Uncertain(errors.New("the report is incomplete"))
	}
	return nil
}

func (lister lister) auditCommand() *cobra.Command {
	var flags requester.Flags
	var period periodFlags
	var entry, format string
	command := &cobra.Command{
		Use: "audit", Short: "Show who changed the catalogue",
		Long:    "Shows the catalogue changes that operators requested, both accepted and refused." + requester.ExitHelp,
		Example: "  almondcross report audit --from 24h --format csv",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			query := url.Values{}
			setNonEmpty(query, "entry", entry)
			if err := period.addTo(query, lister.clock); err != nil {
				return err
			}
			response, err := queryFirst(command, &flags, func(ctx context.Context, client *Client) (encoder.AuditTrailJSON, error) {
				return client.Audit(ctx, query)
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
	command.Flags().StringVar(&entry, "entry", "", "only this entry")
	return command
}

func auditTable(response encoder.AuditTrailJSON) outputTable {
	table := outputTable{
		header: []string{"at", "operator", "entry", "change", "from_version", "to_version", "accepted", "code"}, response: response,
	}
	for _, line := range response.Lines {
		change := "put"
		if line.Removed {
			change = "remove"
		}
		table.rows = append(table.rows, []string{
			formatTime(line.At), line.Operator, line.Entry, change, formatInt(int64(line.FromVersion)),
			formatInt(int64(line.ToVersion)), strconv.FormatBool(line.Accepted), string(line.Code),
		})
	}
	return table
}

func whyCommand() *cobra.Command {
	var flags requester.Flags
	var caller, origin, key, entry, format string
	var limit int
	command := &cobra.Command{
		Use: "why", Short: "Show the decisions about a key or an entry",
		Long: "Shows the decisions about one key or one entry, sorted by time. Each host stores only its own\n" +
			"decisions, so every host given with --server is queried. If a host does not respond, or no longer\n" +
			"has the oldest decisions, the exit code is 3." + requester.ExitHelp,
		Example: "  almondcross report why --entry balance-lookup --server 127.0.0.1:7201 --server 127.0.0.1:7202\n" +
			"  almondcross report why --caller ledger --origin kamloops-1 --key reconciliation-2026-03",
		Args: requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			if (key == "") == (entry == "") || (key != "" && (caller == "" || origin == "")) {
				return requester.BadInput(errors.New("allowed: either --entry, or --key with --caller and --origin"))
			}
			query := url.Values{"limit": {strconv.Itoa(limit)}}
			setNonEmpty(query, "caller", caller)
			setNonEmpty(query, "origin", origin)
			setNonEmpty(query, "key", key)
			setNonEmpty(query, "entry", entry)
			return runWhy(command, &flags, query, format)
		},
	}
	flags.Bind(command)
	bindFormat(command, &format)
	command.Flags().StringVar(&caller, "caller", "", "caller of the key")
	command.Flags().StringVar(&origin, "origin", "", "origin of the key")
	command.Flags().StringVar(&key, "key", "", "name of the key")
	command.Flags().StringVar(&entry, "entry", "", "entry, for all its keys")
	command.Flags().IntVar(&limit, "limit", 1000, "maximum number of decisions from each host")
	return command
}

// runWhy queries every host, and merges and prints the decisions. Hosts that do not respond are reported on the
// standard error; the error then has the exit code for an uncertain result.
func runWhy(command *cobra.Command, flags *requester.Flags, query url.Values, format string) error {
	ctx, cancel, clients, err := newClients(command, flags)
	if err != nil {
		return err
	}
	defer cancel()
	merged := encoder.DecisionHistoryJSON{Events: []encoder.DecisionEventJSON{}}
	answered := 0
	var lastErr error
	for _, client := range clients {
		decisions, err := client.Decisions(ctx, query)
		if err != nil {
			lastErr = err
			_, _ = fmt.Fprintf(command.ErrOrStderr(), "no answer: %v\n", err)
			continue
		}
		answered++
		merged.Events = append(merged.Events, decisions.Events...)
		merged.Truncated = merged.Truncated || decisions.Truncated
	}
	if answered == 0 {
		return requester.Failed(lastErr)
	}
	slices.SortStableFunc(merged.Events, func(a, b encoder.DecisionEventJSON) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	if err := decisionsTable(merged).write(command.OutOrStdout(), format); err != nil {
		return err
	}
	if answered < len(clients) {
		return requester.Uncertain(errors.Errorf("%d of %d hosts responded", answered, len(clients)))
	}
	if merged.Truncated {
		return requester.Uncertain(errors.New("some hosts no longer have the oldest decisions"))
	}
	return nil
}

func decisionsTable(response encoder.DecisionHistoryJSON) outputTable {
	table := outputTable{
		header: []string{"at", "host", "caller", "origin", "key", "entry", "event", "code", "target", "detail"}, response: response,
	}
	for _, event := range response.Events {
		table.rows = append(table.rows, []string{
			formatTime(event.At), event.Host, event.Caller, event.Origin, event.Key, event.Entry,
			event.Event, string(event.Code), event.Target, event.Detail,
		})
	}
	return table
}
