package lister

import (
	"io"

	"github.com/spf13/cobra"
)

// Table is the output of a reading command outside this package, in the formats of the commands of this package.
type Table struct {
	Header   []string
	Rows     [][]string
	Response any // Response is the same data for the JSON format.
}

// BindFormat adds the flag that selects the format.
func BindFormat(command *cobra.Command, format *string) { bindFormat(command, format) }

// CheckFormat returns an error with the exit code for bad input if there is no such format.
func CheckFormat(format string) error { return checkFormat(format) }

// Write writes the table in a format that CheckFormat allows.
func (table Table) Write(writer io.Writer, format string) error {
	return outputTable{header: table.Header, rows: table.Rows, response: table.Response}.write(writer, format)
}
