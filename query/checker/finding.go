package checker

import (
	"cmp"
	"fmt"

	"github.com/almondcross/almondcross"
)

func newFinding(severity almondcross.FindingSeverity, place almondcross.ConfigurationPlace, text string) almondcross.Finding {
	return almondcross.NewFinding(almondcross.FindingConfig{Severity: severity, Place: place, Text: text})
}

func newError(place almondcross.ConfigurationPlace, format string, arguments ...any) almondcross.Finding {
	return newFinding(almondcross.FindingError, place, fmt.Sprintf(format, arguments...))
}

func newWarning(place almondcross.ConfigurationPlace, format string, arguments ...any) almondcross.Finding {
	return newFinding(almondcross.FindingWarning, place, fmt.Sprintf(format, arguments...))
}

func newDifference(place almondcross.ConfigurationPlace, format string, arguments ...any) almondcross.Finding {
	return newFinding(almondcross.FindingDifference, place, fmt.Sprintf(format, arguments...))
}

// compare orders findings by severity and place.
func compare(a, b almondcross.Finding) int {
	return cmp.Or(cmp.Compare(a.Severity(), b.Severity()), a.Place().Compare(b.Place()))
}

// sectionPlace returns the place of a whole section.
func sectionPlace(section almondcross.ConfigurationSection) almondcross.ConfigurationPlace {
	return itemPlace(section, almondcross.NoPosition, "")
}

// itemPlace returns the place of an item of a section's list.
func itemPlace(section almondcross.ConfigurationSection, position int, name string) almondcross.ConfigurationPlace {
	return almondcross.NewConfigurationPlace(almondcross.ConfigurationPlaceConfig{Section: section, Position: position, Name: name})
}
