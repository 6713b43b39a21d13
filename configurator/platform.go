package configurator

import (
	"time"

	"github.com/almondcross/almondcross/parser"
)

type rawPlatformSettings struct {
	roleField
	PlatformSettingsConfig
}

var platformFields = []parser.Field[rawPlatformSettings]{
	parser.Choice(parser.FieldSpec{Key: "role", Description: "the role of the process"},
		[]Role{RolePlatform}, func(settings *rawPlatformSettings) *Role { return &settings.Role }),
	parser.Address(parser.FieldSpec{Key: "listen", Description: "the listen address of the log and the live list"},
		true, func(settings *rawPlatformSettings) *string { return &settings.Listen }),
	parser.Duration(parser.FieldSpec{Key: "lag", Default: `"500ms"`, Description: "the delay until a change is visible in the live list and to readers of the log"},
		0, time.Minute, func(settings *rawPlatformSettings) *time.Duration { return &settings.Lag }),
	parser.Duration(parser.FieldSpec{Key: "retention", Default: `"168h"`, Description: "the time for which the log keeps a record"},
		time.Second, 8760*time.Hour, func(settings *rawPlatformSettings) *time.Duration { return &settings.Retention }),
	parser.Choice(parser.FieldSpec{Key: "log_format", Default: `"text"`, Description: "the format of log lines"},
		[]LogFormat{LogText, LogJSON}, func(settings *rawPlatformSettings) *LogFormat { return &settings.LogFormat }),
}

// ParsePlatform decodes and validates the settings of the stand-in for the platform.
func ParsePlatform(file string, source []byte) (PlatformSettings, error) {
	var settings rawPlatformSettings
	lines, err := parseRaw(file, source, platformFields, &settings)
	if err != nil {
		return PlatformSettings{}, err
	}
	if settings.Retention <= settings.Lag {
		return PlatformSettings{}, lines.Conflict("retention", parser.FormatDuration(settings.Retention),
			"more than lag, "+parser.FormatDuration(settings.Lag))
	}
	return NewPlatformSettings(settings.PlatformSettingsConfig), nil
}
