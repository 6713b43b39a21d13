// Package configurator reads the settings of each role.
//
// A setting is declared once, as a row of a table with its key, type, unit,
// default, allowed range and description. Reading, checking and
// docs/settings.md all use that row. Files are JSON with comments; the first
// fault is reported as one line with the file, the line, the key, what was
// found and what is allowed. Settings are immutable after they are read.
package configurator

//go:generate go run ../tools/valuer -output values_generated.go values.go
//go:generate go run ../tools/describer -output ../docs/settings.md
