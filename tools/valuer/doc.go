// Command valuer generates the methods of immutable value types.
//
// For every struct whose doc comment contains the directive "value:generate",
// it generates a configuration struct with exported fields, a constructor, and
// an accessor and a With method for each field. The comment of a field becomes
// the doc comment of its accessor.
package main
