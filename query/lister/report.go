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
	return parent("report", "Answer who received what share, and why",
		"Answers who received what share and why, from the account, the decisions and the audit trail.",
		lister.sharesCommand(), whyCommand(), lister.auditCommand())
}

func (lister lister) sharesCommand() *cobra.Command {
	var flags requester.Flags
	var period periodFlags
	var owner, entry, format string
	command := &cobra.Command{
		Use: "shares", Short: "Show the promised and the received shares",
		Long: "Shows the promised and the received share of each entry by interval and data centre, in percent of\n" +
			"the data centre's dominant resource. Notes on the standard error say how fresh the report is and\n" +
			"what is missing; a report with missing data ends with exit code 3." + requester.ExitHelp,
		Example: "  almondcross report shares --owner counters --from 2h\n" +
			"  almondcross report shares --from 2026-03-01T00:00:00Z --to 2026-04-01T00:00:00Z --format csv",
		Args: requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			query := url.Values{}
			setIf(query, "owner", owner)
			setIf(query, "entry", entry)
			if err := period.add(query, lister.clock); err != nil {
				return err
			}
			shape, err := ask(command, &flags, func(ctx context.Context, client *Client) (encoder.ShareReportShape, error) {
				return client.Shares(ctx, query)
			})
			if err != nil {
				return err
			}
			if err := sharesSheet(shape).write(command.OutOrStdout(), format); err != nil {
				return err
			}
			return noteShares(command.ErrOrStderr(), shape)
		},
	}
	flags.Bind(command)
	period.bind(command)
	bindFormat(command, &format)
	command.Flags().StringVar(&owner, "owner", "", "only this owner")
	command.Flags().StringVar(&entry, "entry", "", "only this entry")
	return command
}

func sharesSheet(shape encoder.ShareReportShape) sheet {
	sheet := sheet{
		header: []string{
			"from", "to", "data_centre", "owner", "entry", "promised_percent", "received_percent", "milli_cpu_sec",
			"memory_mb_sec", "accelerator_sec", "slot_sec", "started", "finished", "waited_sec", "reasons", "complete",
		},
		shape: shape,
	}
	for _, line := range shape.Lines {
		sheet.rows = append(sheet.rows, []string{
			formatTime(line.From), formatTime(line.To), line.DataCentre, line.Owner, line.Entry,
			formatPercent(line.Promised), formatPercent(line.Received), formatFloat(line.MilliCPUSec),
			formatFloat(line.MemoryMBSec), formatFloat(line.AcceleratorSec), formatFloat(line.SlotSec),
			strconv.FormatInt(line.Started, 10), strconv.FormatInt(line.Finished, 10), formatFloat(line.WaitedSec),
			formatReasons(line.Reasons), strconv.FormatBool(!line.Incomplete),
		})
	}
	return sheet
}

func formatReasons(reasons map[almondcross.Code]int64) string {
	parts := make([]string, 0, len(reasons))
	for _, code := range slices.Sorted(maps.Keys(reasons)) {
		parts = append(parts, fmt.Sprintf("%s=%d", code, reasons[code]))
	}
	return strings.Join(parts, " ")
}

// noteShares says how fresh the report is and what it lacks.
func noteShares(writer io.Writer, shape encoder.ShareReportShape) error {
	for _, name := range slices.Sorted(maps.Keys(shape.FreshAt)) {
		_, _ = fmt.Fprintf(writer, "%s: accounted until %s\n", printable(name), formatTime(shape.FreshAt[name]))
	}
	for _, gap := range shape.Gaps {
		_, _ = fmt.Fprintf(writer, "%s: %s (incarnation %d): batches %d to %d after %s are missing\n", printable(gap.DataCentre),
			printable(gap.Host), gap.Incarnation, gap.FromSequence, gap.ToSequence, formatTime(gap.After))
	}
	for _, name := range shape.Missing {
		_, _ = fmt.Fprintf(writer, "%s: the account could not be read\n", printable(name))
	}
	incomplete := slices.ContainsFunc(shape.Lines, func(line encoder.ShareLineShape) bool { return line.Incomplete })
	if len(shape.Gaps) > 0 || len(shape.Missing) > 0 || incomplete {
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
		Long:    "Shows the changes of the catalogue that operators asked for, accepted and refused." + requester.ExitHelp,
		Example: "  almondcross report audit --from 24h --format csv",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			query := url.Values{}
			setIf(query, "entry", entry)
			if err := period.add(query, lister.clock); err != nil {
				return err
			}
			shape, err := ask(command, &flags, func(ctx context.Context, client *Client) (encoder.AuditShape, error) {
				return client.Audit(ctx, query)
			})
			if err != nil {
				return err
			}
			return auditSheet(shape).write(command.OutOrStdout(), format)
		},
	}
	flags.Bind(command)
	period.bind(command)
	bindFormat(command, &format)
	command.Flags().StringVar(&entry, "entry", "", "only this entry")
	return command
}

func auditSheet(shape encoder.AuditShape) sheet {
	sheet := sheet{
		header: []string{"at", "operator", "entry", "change", "from_version", "to_version", "accepted", "code"}, shape: shape,
	}
	for _, line := range shape.Lines {
		change := "put"
		if line.Removed {
			change = "remove"
		}
		sheet.rows = append(sheet.rows, []string{
			formatTime(line.At), line.Operator, line.Entry, change, formatOffset(int64(line.FromVersion)),
			formatOffset(int64(line.ToVersion)), strconv.FormatBool(line.Accepted), string(line.Code),
		})
	}
	return sheet
}

func whyCommand() *cobra.Command {
	var flags requester.Flags
	var caller, origin, key, entry, format string
	var limit int
	command := &cobra.Command{
		Use: "why", Short: "Show the decisions about a key or an entry",
		Long: "Shows the decisions about one key or one entry in the order of time. Each host keeps its own\n" +
			"decisions, so every host given with --server is asked. When one cannot be asked, or no longer has\n" +
			"the oldest decisions, the exit code is 3." + requester.ExitHelp,
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
			setIf(query, "caller", caller)
			setIf(query, "origin", origin)
			setIf(query, "key", key)
			setIf(query, "entry", entry)
			return why(command, &flags, query, format)
		},
	}
	flags.Bind(command)
	bindFormat(command, &format)
	command.Flags().StringVar(&caller, "caller", "", "caller of the key")
	command.Flags().StringVar(&origin, "origin", "", "origin of the key")
	command.Flags().StringVar(&key, "key", "", "name of the key")
	command.Flags().StringVar(&entry, "entry", "", "entry, for all its keys")
	command.Flags().IntVar(&limit, "limit", 1000, "most decisions from each host")
	return command
}

// why asks every host and joins the answers.
func why(command *cobra.Command, flags *requester.Flags, query url.Values, format string) error {
	ctx, cancel, clients, err := connect(command, flags)
	if err != nil {
		return err
	}
	defer cancel()
	joined := encoder.StoryShape{Events: []encoder.StoryEventShape{}}
	answered := 0
	var last error
	for _, client := range clients {
		story, err := client.Story(ctx, query)
		if err != nil {
			last = err
			_, _ = fmt.Fprintf(command.ErrOrStderr(), "no answer: %v\n", err)
			continue
		}
		answered++
		joined.Events = append(joined.Events, story.Events...)
		joined.Truncated = joined.Truncated || story.Truncated
	}
	if answered == 0 {
		return requester.Failed(last)
	}
	slices.SortStableFunc(joined.Events, func(a, b encoder.StoryEventShape) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Host, b.Host))
	})
	if err := storySheet(joined).write(command.OutOrStdout(), format); err != nil {
		return err
	}
	if answered < len(clients) {
		return requester.Uncertain(errors.Errorf("%d of %d hosts answered", answered, len(clients)))
	}
	if joined.Truncated {
		return requester.Uncertain(errors.New("older decisions are no longer kept"))
	}
	return nil
}

func storySheet(shape encoder.StoryShape) sheet {
	sheet := sheet{
		header: []string{"at", "host", "caller", "origin", "key", "entry", "event", "code", "target", "detail"}, shape: shape,
	}
	for _, event := range shape.Events {
		sheet.rows = append(sheet.rows, []string{
			formatTime(event.At), event.Host, event.Caller, event.Origin, event.Key, event.Entry,
			event.Event, string(event.Code), event.Target, event.Detail,
		})
	}
	return sheet
}
