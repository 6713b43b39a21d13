// Package lister holds the read-only commands of the command line, and the
// query client of the API that they use.
//
// New returns them as cobra commands. The assembler adds the commands of package
// commander that change the catalogue to the catalogue command. The commands
// of this package change no state. They print data to the standard output, and
// notes on missing data to the standard error.
package lister
