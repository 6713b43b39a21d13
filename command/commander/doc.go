// Package commander holds the command-line verbs that change state, and the
// command client of the API that they use.
//
// New returns the verbs as cobra commands; the assembler puts those in
// Catalogue below lister's catalogue verb. What a verb must read first, it
// reads through almondcross.CellViewer, which lister implements.
//
// A change or a call whose answer is lost may have taken effect. Exit code 1
// is used only where it certainly has not, or was refused, and 3 where the
// outcome is not known.
package commander
