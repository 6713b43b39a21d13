package lister

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"github.com/almondcross/almondcross/requester"
)

var formats = []string{"table", "json", "csv"}

// outputTable holds the rows of a table and its header; response is the same data for the JSON format.
type outputTable struct {
	header   []string
	rows     [][]string
	response any
}

// bindFormat adds the flag that selects the format.
func bindFormat(command *cobra.Command, format *string) {
	command.Flags().StringVar(format, "format", "table", "format of the output: table, json or csv")
	_ = command.RegisterFlagCompletionFunc("format", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
}

func checkFormat(format string) error {
	if !slices.Contains(formats, format) {
		return requester.BadInput(errors.Errorf("--format: found %q; allowed: table, json, csv", format))
	}
	return nil
}

func (outputtable outputTable) write(writer io.Writer, format string) error {
	switch format {
	case "json":
		return writeJSON(writer, outputtable.response)
	case "csv":
		file := csv.NewWriter(writer)
		_ = file.Write(outputtable.header)
		_ = file.WriteAll(outputtable.rows)
		return errors.Trace(file.Error())
	default:
		table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintln(table, strings.ToUpper(strings.Join(outputtable.header, "\t")))
		for _, row := range outputtable.rows {
			cells := make([]string, len(row))
			for index, cell := range row {
				cells[index] = printable(cell)
			}
			_, _ = fmt.Fprintln(table, strings.Join(cells, "\t"))
		}
		return errors.Trace(table.Flush())
	}
}

func writeJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(value))
}

// printable replaces characters that would move the cursor or break the layout of the table.
func printable(text string) string {
	return strings.Map(func(char rune) rune {
		if unicode.IsPrint(char) {
			return char
		}
		return '?'
	}, text)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format("2006-01-02T15:04:05.000Z")
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

// formatPercent returns a fraction in percent.
func formatPercent(value float64) string {
	return strconv.FormatFloat(100*value, 'f', 2, 64)
}
