package configurator

import (
	"time"

	"github.com/almondcross/almondcross/parser"
)

type platformDraft struct {
	role
	PlatformSettingsConfig
}

var platformFields = []parser.Field[platformDraft]{
	parser.Choice(parser.About{Key: "role", Description: "the role of the process"},
		[]Role{RolePlatform}, func(draft *platformDraft) *Role { return &draft.Role }),
	parser.Address(parser.About{Key: "listen", Description: "the address on which the log and the live list are served"},
		true, func(draft *platformDraft) *string { return &draft.Listen }),
	parser.Duration(parser.About{Key: "lag", Default: `"500ms"`, Description: "the time after which the live list and readers of the log see a change"},
		0, time.Minute, func(draft *platformDraft) *time.Duration { return &draft.Lag }),
	parser.Duration(parser.About{Key: "retention", Default: `"168h"`, Description: "the time for which the log keeps a record"},
		time.Second, 8760*time.Hour, func(draft *platformDraft) *time.Duration { return &draft.Retention }),
	parser.Choice(parser.About{Key: "log_format", Default: `"text"`, Description: "the format of log lines"},
		[]LogFormat{LogText, LogJSON}, func(draft *platformDraft) *LogFormat { return &draft.LogFormat }),
}

// ParsePlatform reads the settings of the stand-in for the platform.
func ParsePlatform(file string, source []byte) (PlatformSettings, error) {
	var draft platformDraft
	lines, err := parseDraft(file, source, platformFields, &draft)
	if err != nil {
		return PlatformSettings{}, err
	}
	if draft.Retention <= draft.Lag {
		return PlatformSettings{}, lines.Conflict("retention", parser.FormatDuration(draft.Retention),
			"more than lag, "+parser.FormatDuration(draft.Lag))
	}
	return NewPlatformSettings(draft.PlatformSettingsConfig), nil
}
