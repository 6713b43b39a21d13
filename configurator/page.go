package configurator

import (
	"fmt"
	"strings"

	"github.com/almondcross/almondcross/parser"
)

const pageHead = `# Settings

Generated from the declarations in configurator; do not edit. Run ` + "`go generate ./...`" + ` after a change.

A settings file is JSON with comments (` + "`//`, `/* */`" + `, trailing commas). An unknown, repeated or missing key, a wrong unit, and settings that contradict each other are refused with one line that names the file, the line, the key, what was found and what is allowed. ` + "`almondcross settings check FILE`" + ` checks a file without starting anything. A process reads its settings once, at its start.
`

// Page returns docs/settings.md.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	table(&page, "Entry host (`role`: `entry`)", entryFields)
	table(&page, "Element of `peers`", peerFields)
	table(&page, "Element of `operators`, `reporters` and `callers`", tokenFields)
	table(&page, "Platform stand-in (`role`: `platform`)", platformFields)
	table(&page, "Worker stand-in (`role`: `worker`)", workerFields)
	table(&page, "`capacity` of a worker", capacityFields)
	table(&page, "Host on the users' platform (`role`: `scheduler`)", schedulerFields)
	return page.String()
}

func table[C any](page *strings.Builder, title string, fields []parser.Field[C]) {
	fmt.Fprintf(page, "\n## %s\n\n| key | type | unit | default | allowed | description |\n|---|---|---|---|---|---|\n", title)
	for _, field := range fields {
		fallback := "required"
		if !field.Required() {
			fallback = "`" + field.Default() + "`"
		}
		fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s | %s |\n",
			field.Key(), field.Kind(), field.Unit(), fallback, field.Allowed(), field.Description())
	}
}
