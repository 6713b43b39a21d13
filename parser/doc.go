// Package parser reads JSON with comments strictly.
//
// An object is described by a table of fields. Decode reports the first
// unknown, missing, repeated or invalid key as a FormatError, which prints as one
// line with the file, the line, the key, what was found and what is allowed.
// The table also carries the unit, the default and the description of each
// key, from which pages are generated. The package holds no state and may be
// used from any goroutine.
package parser
