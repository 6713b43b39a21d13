// Package configurator loads and validates the settings files of each process role.
//
// Each setting is declared once, in a table with its key, type, unit, default,
// allowed range and description. Decoding, validation and docs/settings.md all
// use that declaration. Files are JSON with comments. The first error in a file
// is reported as one line with the file, the line, the key, the value found and
// the allowed values. Settings are immutable once loaded.
package configurator

//go:generate go run ../tools/valuer -output values_generated.go values.go
//go:generate go run ../tools/describer -output ../docs/settings.md
