// Command valuer generates the immutable values of the root package.
//
// It reads every struct whose doc comment contains the line "value:generate"
// and writes, for each of them, a configuration struct with exported fields,
// a constructor, one accessor per field and one With method per field. The
// comment of a field becomes the doc comment of its accessor.
package main
