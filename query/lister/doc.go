// Package lister holds the command-line verbs that read, and the query client
// of the API that they use.
//
// New returns the verbs as cobra commands. The catalogue verb also takes the
// verbs of commander that change the catalogue; the assembler adds them. A
// verb changes nothing anywhere. It prints data on the standard output, and
// notes on what is missing on the standard error.
package lister
