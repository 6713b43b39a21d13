package explainer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// maxLine is the longest line that is read, in bytes.
	maxLine = 1 << 20
	// gapLimit is the time without a line from which an explanation names a gap.
	gapLimit = 2 * time.Second
)

// Line is one log line that concerns a job.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Fields []string // Fields holds the other fields as name=value, sorted.
}

// Read returns the lines that concern a job.
func Read(source io.Reader, job string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, job) {
			continue
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue // Other programs may write to the same files.
		}
		if line, ok := lineOf(fields, job); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Annotate(scanner.Err(), "reading log lines")
}

func lineOf(fields map[string]json.RawMessage, job string) (Line, bool) {
	var line Line
	concerns := false
	for name, raw := range fields {
		value := strings.Trim(string(raw), `"`)
		switch name {
		case "time":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			line.At = at
		case "host":
			line.Host = value
		case "msg":
			line.Event = value
		case "level":
		default:
			concerns = concerns || value == job || strings.HasPrefix(value, job+".")
			line.Fields = append(line.Fields, name+"="+value)
		}
	}
	slices.Sort(line.Fields)
	return line, concerns
}

// Write prints the lines of all sources in the order of their times, with the gaps between them.
func Write(output io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var before time.Time
	for _, line := range lines {
		if gap := line.At.Sub(before); !before.IsZero() && gap >= gapLimit {
			if _, err := fmt.Fprintf(output, "%-24s no line for %s\n", "", gap.Round(time.Millisecond)); err != nil {
				return errors.Trace(err)
			}
		}
		before = line.At
		_, err := fmt.Fprintf(output, "%s %-22s %-18s %s\n", line.At.Format("15:04:05.000"), line.Host, line.Event, strings.Join(line.Fields, " "))
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
