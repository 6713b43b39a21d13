// Package commander implements the subcommands of the command line that
// change state, and the client for the commands of the API that they use.
//
// New returns the subcommands as cobra commands; the assembler adds those in
// Catalogue to the catalogue command of package lister. The subcommands read
// the state that they need through almondcross.CellViewer, which lister
// implements.
//
// A change or call whose answer is lost may have taken effect. Exit code 1 is
// used only if it was refused or certainly had no effect, and 3 if the outcome
// is not known.
package commander
