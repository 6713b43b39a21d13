// Package parser decodes and validates JSON with comments.
//
// A table of fields describes an object. Decode reports the first unknown,
// missing, repeated or invalid key as a FormatError, whose text is one line
// with the file, the line, the key, the value found and the allowed values.
// The table also holds the unit, the default and the description of each key,
// from which documentation is generated. The package holds no state and may
// be used from any goroutine.
package parser
