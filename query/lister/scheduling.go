package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross/encoder"
	"github.com/almondcross/almondcross/requester"
)

// hostTimeout bounds the query of one host, so that a host that is paused does not use up the time for the others.
const hostTimeout = 3 * time.Second

// hostState is whether and how a scheduling host has answered.
type hostState string

const (
	hostAnswers     hostState = "ok"
	hostIsEarlier   hostState = "earlier" // hostIsEarlier stands for a version that has no status.
	hostUnreachable hostState = "unreachable"
)

// cellVersions is whether all scheduling hosts of a cell run one version.
type cellVersions string

const (
	cellUniform cellVersions = "one version"
	cellMixed   cellVersions = "mixed"
	cellUnknown cellVersions = "unknown" // cellUnknown means that no two versions were seen, and a host does not tell its own.
)

// hostRow is a scheduling host as it is shown.
type hostRow struct {
	Server string    `json:"server"`
	State  hostState `json:"state"`
	encoder.SchedulingStatusJSON
}

// program identifies the program of a host, as far as it tells.
func (hostrow hostRow) program() string {
	return fmt.Sprintf("%s %s %s %d", hostrow.State, hostrow.Version, hostrow.Revision, hostrow.Format)
}

// schedulingCell is the answer of all hosts.
type schedulingCell struct {
	Cell  cellVersions `json:"cell"`
	Hosts []hostRow    `json:"hosts"`
}

func newSchedulingCell(rows []hostRow) schedulingCell {
	programs, told := map[string]bool{}, 0
	for _, row := range rows {
		if row.State != hostUnreachable {
			programs[row.program()] = true
		}
		if row.State == hostAnswers {
			told++
		}
	}
	cell := schedulingCell{Cell: cellUniform, Hosts: rows}
	switch {
	case len(programs) > 1:
		cell.Cell = cellMixed
	case told < len(rows):
		cell.Cell = cellUnknown
	}
	return cell
}

func schedulingStatusCommand() *cobra.Command {
	var flags requester.Flags
	var format string
	command := &cobra.Command{
		Use: "scheduling", Short: "Show the versions of scheduling hosts",
		Long: "Shows the version of each scheduling host, the format of the journal that it reads and writes, the highest one\n" +
			"that it has met in the journal, and the scheduler that it knows; and whether the cell is mixed. Each --server is the\n" +
			"address for metrics of a host. A host of a version without a status is shown as earlier. If a host does not answer,\n" +
			"the exit code is 3." + requester.ExitHelp,
		Example: "  almondcross status scheduling --server 10.0.0.1:9464 --server 10.0.0.2:9464",
		Args:    requester.Args(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			if err := checkFormat(format); err != nil {
				return err
			}
			ctx, cancel, clients, err := newClients(command, &flags)
			if err != nil {
				return err
			}
			defer cancel()
			rows := make([]hostRow, len(clients))
			for index, client := range clients {
				if rows[index], err = client.schedulingStatus(ctx); err != nil {
					return requester.Failed(err)
				}
			}
			return writeSchedulingCell(command.OutOrStdout(), newSchedulingCell(rows), format)
		},
	}
	flags.Bind(command)
	bindFormat(command, &format)
	return command
}

// schedulingStatus asks a scheduling host for its status. A host that cannot be reached is no error.
func (client *Client) schedulingStatus(ctx context.Context) (hostRow, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	row := hostRow{Server: client.Server(), State: hostUnreachable}
	response, err := client.requester.Do(ctx, requester.Call{Method: http.MethodGet, Path: strings.Split(strings.Trim(encoder.StatusPath, "/"), "/")})
	switch {
	case err != nil:
		return row, nil //nolint:nilerr // The row tells it.
	case response.Status == http.StatusNotFound:
		row.State = hostIsEarlier
		return row, nil
	case response.Status != http.StatusOK:
		return row, client.requester.ResponseError(response)
	}
	row.State = hostAnswers
	if err := json.Unmarshal(response.Body, &row.SchedulingStatusJSON); err != nil || row.Host == "" {
		return row, errors.Errorf("%s: the answer is not the status of a scheduling host", client.Server())
	}
	return row, nil
}

func writeSchedulingCell(writer io.Writer, cell schedulingCell, format string) error {
	table := outputTable{
		header:   []string{"host", "server", "state", "version", "revision", "format", "journal_format", "scheduler", "epoch", "ready"},
		response: cell,
	}
	unreachable := 0
	for _, row := range cell.Hosts {
		cells := []string{row.Host, row.Server, string(row.State), "", "", "", "", "", "", ""}
		if row.State == hostAnswers {
			copy(cells[3:], []string{
				row.Version, row.Revision, strconv.Itoa(row.Format), strconv.Itoa(row.JournalFormat), row.Scheduler,
				formatInt(row.Epoch), strconv.FormatBool(row.Ready),
			})
		}
		if row.State == hostUnreachable {
			unreachable++
		}
		table.rows = append(table.rows, cells)
	}
	if err := table.write(writer, format); err != nil {
		return err
	}
	if format == "table" {
		_, _ = fmt.Fprintf(writer, "\ncell: %s\n", cell.Cell)
	}
	if unreachable > 0 {
		return requester.Uncertain(errors.Errorf("%d of %d hosts do not answer", unreachable, len(cell.Hosts)))
	}
	return nil
}
