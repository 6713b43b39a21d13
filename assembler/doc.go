// Package assembler joins the parts of each kind of process with fx.
//
// It is the only package that names concrete implementations. Entry builds an
// entry host, Platform and Worker build the stand-ins, Root builds the command
// line. Every duty is started when the application starts and ends with its
// context; the order of a planned stop is in stop.go.
package assembler
