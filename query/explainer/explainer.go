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
	// maxLineBytes is the maximum length of a line in bytes.
	maxLineBytes = 1 << 20
	// minGap is the shortest time between two lines that Write reports as a gap.
	minGap = 2 * time.Second
)

// Line is one log line about a job.
type Line struct {
	At     time.Time
	Host   string
	Event  string
	Fields []string // Fields holds the other fields in the form name=value, sorted.
}

// Read returns the lines about a job. It returns an error if the source cannot be read or a line is too long.
func Read(source io.Reader, job string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(source)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, job) {
			continue
		}
		var fields map[string]json.RawMessage
		if json.Unmarshal([]byte(text[start:]), &fields) != nil {
			continue // Other programs may write to the same file.
		}
		if line, ok := parseLine(fields, job); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Annotate(scanner.Err(), "reading log lines")
}

func parseLine(fields map[string]json.RawMessage, job string) (Line, bool) {
	var line Line
	matches := false
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
			matches = matches || value == job || strings.HasPrefix(value, job+".")
			line.Fields = append(line.Fields, name+"="+value)
		}
	}
	slices.Sort(line.Fields)
	return line, matches
}

// Write prints the lines sorted by time, with the gaps between them. It sorts the given slice in place.
func Write(output io.Writer, lines []Line) error {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var previous time.Time
	for _, line := range lines {
		if gap := line.At.Sub(previous); !previous.IsZero() && gap >= minGap {
			if _, err := fmt.Fprintf(output, "%-24s no line for %s\n", "", gap.Round(time.Millisecond)); err != nil {
				return errors.Trace(err)
			}
		}
		previous = line.At
		_, err := fmt.Fprintf(output, "%s %-22s %-18s %s\n", line.At.Format("15:04:05.000"), line.Host, line.Event, strings.Join(line.Fields, " "))
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
