package configurator

import (
	"fmt"
	"strings"

	"github.com/almondcross/almondcross/parser"
)

const pageHeader = `# Settings

Generated from the declarations in configurator; do not edit. Run ` + "`go generate ./...`" + ` after a change.

A settings file is JSON with comments (` + "`//`, `/* */`" + `, trailing commas). An unknown, repeated or missing key, a wrong unit, and settings that contradict each other are rejected with a one-line error that gives the file, the line, the key, the value found and the allowed values. ` + "`almondcross settings check FILE`" + ` validates a file without starting a process. A process reads its settings once, when it starts.
`

// SettingsPage returns the content of docs/settings.md, which documents all settings in Markdown.
func SettingsPage() string {
	var page strings.Builder
	page.WriteString(pageHeader)
	writeTable(&page, "Entry host (`role`: `entry`)", entryFields)
	writeTable(&page, "Element of `peers`", peerFields)
	writeTable(&page, "Element of `operators`, `reporters` and `callers`", tokenFields)
	writeTable(&page, "Platform stand-in (`role`: `platform`)", platformFields)
	writeTable(&page, "Worker stand-in (`role`: `worker`)", workerFields)
	writeTable(&page, "`capacity` of a worker", capacityFields)
	writeTable(&page, "Host on the users' platform (`role`: `scheduler`)", schedulerFields)
	return page.String()
}

// writeTable appends a section with a table of the fields.
func writeTable[C any](page *strings.Builder, title string, fields []parser.Field[C]) {
	fmt.Fprintf(page, "\n## %s\n\n| key | type | unit | default | allowed | description |\n|---|---|---|---|---|---|\n", title)
	for _, field := range fields {
		defaultText := "required"
		if !field.Required() {
			defaultText = "`" + field.Default() + "`"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s | %s |\n",
			field.Key(), field.Kind(), field.Unit(), defaultText, field.Allowed(), field.Description())
	}
}
