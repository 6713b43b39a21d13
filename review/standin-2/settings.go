package main

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"regexp"
	"strings"

	"github.com/juju/errors"
)

//go:embed settings.json
var fixedSettings []byte

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// renderSettings fills in the template of a host's settings from the fields of the platform. Sections without a value are left out.
func renderSettings(template string, own map[string]any) (string, error) {
	fields := map[string]any{}
	decoder := json.NewDecoder(bytes.NewReader(fixedSettings))
	decoder.UseNumber()
	if err := decoder.Decode(&fields); err != nil {
		return "", errors.Trace(err)
	}
	for name, value := range own {
		fields[name] = value
	}
	template = section.ReplaceAllStringFunc(template, func(found string) string {
		parts := section.FindStringSubmatch(found)
		value, known := fields[parts[1]]
		if !known {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.|json}}", quoted(value))
	})
	var missing error
	rendered := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := fields[parts[1]]
		switch {
		case !known:
			missing = errors.Errorf("no value for %s", parts[1])
			return ""
		case parts[2] != "":
			return quoted(value)
		default:
			return fmt.Sprint(value)
		}
	})
	return rendered, missing
}

func quoted(value any) string {
	source, _ := json.Marshal(value) // The values are strings and numbers.
	return string(source)
}
