package almondcross

import (
	"cmp"
	"fmt"
)

//go:generate go run ./tools/valuer -output configuration_generated.go configuration.go

// ConfigurationDecoder decodes versions of the operators' configuration as hosts do, and tells where one cannot be decoded.
type ConfigurationDecoder interface {
	// DecodeRoutes returns the configuration with the given stored form. Its errors quote no keys.
	DecodeRoutes(source []byte) (RouteTable, error)
	// ErrorOffset returns the number of bytes that were read up to the cause of an error of DecodeRoutes, and whether it is known.
	ErrorOffset(err error) (int64, bool)
}

// FindingSeverity is how much a finding matters. Lower numbers come first.
type FindingSeverity int

// The severities of findings.
const (
	FindingError      FindingSeverity = 1 // FindingError means that hosts ignore the configuration or a part of it.
	FindingWarning    FindingSeverity = 2 // FindingWarning means that a part is in force, but hardly as intended.
	FindingDifference FindingSeverity = 3 // FindingDifference is a change from the version in force.
)

// String returns the severity as it is shown.
func (findingseverity FindingSeverity) String() string {
	switch findingseverity {
	case FindingError:
		return "error"
	case FindingWarning:
		return "warning"
	default:
		return "difference"
	}
}

// ConfigurationSection is a section of the configuration. Findings are listed in the order of the numbers.
type ConfigurationSection int

// The sections of a configuration.
const (
	SectionSource     ConfigurationSection = 0 // SectionSource is the text of the configuration.
	SectionVersion    ConfigurationSection = 1 // SectionVersion is the version number.
	SectionBodyLimit  ConfigurationSection = 2 // SectionBodyLimit is the limit of request bodies.
	SectionQueues     ConfigurationSection = 3 // SectionQueues is a queue, or all of them if the place has no position and no name.
	SectionPools      ConfigurationSection = 4 // SectionPools is a pool.
	SectionWorkspaces ConfigurationSection = 5 // SectionWorkspaces is a workspace, or all of them if the place has no position and no name.
)

// NoPosition is the position of a part that the list of its section does not have, and of a whole section.
const NoPosition = -1

// ConfigurationPlace is the part of a configuration that a finding is about.
//
//value:generate
type ConfigurationPlace struct {
	section  ConfigurationSection // the section
	position int                  // the position in the section's list, counted from 0 like in the decoder's errors, or NoPosition
	name     string               // the name of the part, empty for a whole section
	line     int                  // the line in the source, counted from 1, 0 if it is not known
	column   int                  // the byte in the line, counted from 1
}

// Compare orders places as the sections, the positions and the lines are ordered.
func (configurationplace ConfigurationPlace) Compare(other ConfigurationPlace) int {
	return cmp.Or(
		cmp.Compare(configurationplace.section, other.section), cmp.Compare(configurationplace.position, other.position),
		cmp.Compare(configurationplace.name, other.name), cmp.Compare(configurationplace.line, other.line),
		cmp.Compare(configurationplace.column, other.column),
	)
}

// String returns the place as it is shown to operators.
func (configurationplace ConfigurationPlace) String() string {
	switch configurationplace.section {
	case SectionVersion:
		return "version"
	case SectionBodyLimit:
		return "body limit"
	case SectionQueues:
		return configurationplace.item("queue")
	case SectionPools:
		return configurationplace.item("pool")
	case SectionWorkspaces:
		return configurationplace.item("workspace")
	default:
		if configurationplace.line == 0 {
			return "file"
		}
		return fmt.Sprintf("line %d, column %d", configurationplace.line, configurationplace.column)
	}
}

// item returns the place of one item of a list, or of the list.
func (configurationplace ConfigurationPlace) item(kind string) string {
	switch {
	case configurationplace.position > NoPosition:
		return fmt.Sprintf("%s %d %q", kind, configurationplace.position, configurationplace.name)
	case configurationplace.name != "":
		return fmt.Sprintf("%s %q", kind, configurationplace.name)
	default:
		return kind + "s"
	}
}

// Finding is a result of the check of a configuration. It has no keys.
//
//value:generate
type Finding struct {
	severity FindingSeverity    // how much it matters
	place    ConfigurationPlace // the part that it is about
	text     string             // what was found
}
