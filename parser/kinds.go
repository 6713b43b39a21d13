package parser

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// FieldSpec describes the key of a field.
type FieldSpec struct {
	Key         string // Key is in snake case.
	Unit        string // Unit is the unit of a plain number; durations and amounts of memory set their own.
	Default     string // Default is the default value as JSON; a field without one is required unless Optional is set.
	Optional    bool   // Optional is set if the zero value applies when the key is absent.
	Description string // Description is one sentence without a full stop.
}

func newField[C any](spec FieldSpec, kind, allowed string, decode func(Node, *C) error) Field[C] {
	return Field[C]{
		key: spec.Key, kind: kind, unit: spec.Unit, allowed: allowed, defaultJSON: spec.Default,
		required: spec.Default == "" && !spec.Optional, description: spec.Description, decode: decode,
	}
}

// maxNameLength limits the length of names, since they appear in every record and metric.
const maxNameLength = 100

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

const allowedName = "1 to 100 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// ValidName reports whether a text is a valid name of an entry, a host, a data centre or an owner.
func ValidName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

func decodeName(node Node) (string, error) {
	text, err := node.text(allowedName)
	if err != nil {
		return "", err
	}
	if !ValidName(text) {
		return "", node.valueError(allowedName)
	}
	return text, nil
}

// Name returns a field for a name in lower case.
func Name[C any](spec FieldSpec, fieldPointer func(*C) *string) Field[C] {
	return newField(spec, "name", allowedName, func(node Node, destination *C) (err error) {
		*fieldPointer(destination), err = decodeName(node)
		return err
	})
}

// Names returns a field for a list of at least minimum distinct names.
func Names[C any](spec FieldSpec, minimum int, fieldPointer func(*C) *[]string) Field[C] {
	allowed := fmt.Sprintf("a list of at least %d different names", minimum)
	return newField(spec, "list of names", allowed, func(node Node, destination *C) error {
		nodes, err := node.elements(allowed)
		if err != nil {
			return err
		}
		if len(nodes) < minimum {
			return node.formatError(fmt.Sprintf("%d names", len(nodes)), allowed)
		}
		names := make([]string, 0, len(nodes))
		for _, element := range nodes {
			name, err := decodeName(element)
			if err != nil {
				return err
			}
			if slices.Contains(names, name) {
				return element.formatError(strconv.Quote(name)+" a second time", allowed)
			}
			names = append(names, name)
		}
		*fieldPointer(destination) = names
		return nil
	})
}

// Choice returns a field for one of a fixed set of strings.
func Choice[C any, T ~string](spec FieldSpec, choices []T, fieldPointer func(*C) *T) Field[C] {
	names := make([]string, len(choices))
	for index, choice := range choices {
		names[index] = string(choice)
	}
	allowed := "one of " + strings.Join(names, ", ")
	return newField(spec, "word", allowed, func(node Node, destination *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		if !slices.Contains(choices, T(text)) {
			return node.valueError(allowed)
		}
		*fieldPointer(destination) = T(text)
		return nil
	})
}

// Address returns a field for an IP address and port. An unspecified address such as 0.0.0.0 is accepted only
// if listening is true.
func Address[C any](spec FieldSpec, listening bool, fieldPointer func(*C) *string) Field[C] {
	allowed := `an IP address and port such as "10.0.0.1:7201"`
	if listening {
		allowed = `an IP address and port such as "10.0.0.1:7201" or "0.0.0.0:7201"`
	}
	return newField(spec, "address", allowed, func(node Node, destination *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 || (!listening && address.Addr().IsUnspecified()) {
			return node.valueError(allowed)
		}
		*fieldPointer(destination) = text
		return nil
	})
}

// Integer returns a field for an integer from minimum to maximum.
func Integer[C any, T ~int | ~int64](spec FieldSpec, minimum, maximum T, fieldPointer func(*C) *T) Field[C] {
	allowed := fmt.Sprintf("a whole number from %d to %d", minimum, maximum)
	return newField(spec, "integer", allowed, func(node Node, destination *C) error {
		literal, ok := node.value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '0' {
			return node.valueError(allowed)
		}
		number, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || number < int64(minimum) || number > int64(maximum) {
			return node.valueError(allowed)
		}
		*fieldPointer(destination) = T(number)
		return nil
	})
}

// Decimal returns a field for a number from minimum to maximum.
func Decimal[C any](spec FieldSpec, minimum, maximum float64, fieldPointer func(*C) *float64) Field[C] {
	allowed := fmt.Sprintf("a number from %g to %g", minimum, maximum)
	return newField(spec, "number", allowed, func(node Node, destination *C) error {
		literal, ok := node.value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '0' {
			return node.valueError(allowed)
		}
		number, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || number < minimum || number > maximum {
			return node.valueError(allowed)
		}
		*fieldPointer(destination) = number
		return nil
	})
}

// Boolean returns a field for true or false.
func Boolean[C any](spec FieldSpec, fieldPointer func(*C) *bool) Field[C] {
	return newField(spec, "boolean", "true or false", func(node Node, destination *C) error {
		literal, ok := node.value.Value.(hujson.Literal)
		if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
			return node.valueError("true or false")
		}
		*fieldPointer(destination) = literal.Bool()
		return nil
	})
}

// Duration returns a field for a duration with units, from minimum to maximum.
func Duration[C any, T ~int64](spec FieldSpec, minimum, maximum time.Duration, fieldPointer func(*C) *T) Field[C] {
	allowed := fmt.Sprintf("a duration with unit (ms, s, m, h) from %s to %s", FormatDuration(minimum), FormatDuration(maximum))
	spec.Unit = "ms, s, m or h"
	return newField(spec, "duration", allowed, func(node Node, destination *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		duration, ok := ParseDuration(text)
		if !ok || duration < minimum || duration > maximum {
			return node.valueError(allowed)
		}
		*fieldPointer(destination) = T(duration)
		return nil
	})
}

var durationPattern = regexp.MustCompile(`^([0-9]+(\.[0-9]+)?(ms|s|m|h))+$`)

// ParseDuration parses a duration such as "1.5s" or "1h30m". It rejects numbers without a unit and fractions
// of a millisecond, so that every accepted duration can be formatted with the same units.
func ParseDuration(text string) (time.Duration, bool) {
	if !durationPattern.MatchString(text) {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil && duration%time.Millisecond == 0
}

// FormatDuration formats a duration without trailing zero minutes and seconds, such as "24h".
func FormatDuration(duration time.Duration) string {
	text := duration.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// memoryUnits holds the units of memory and their size in megabytes, largest first.
var memoryUnits = []struct {
	name      string
	megabytes int64
}{{"TB", 1_000_000}, {"GB", 1_000}, {"MB", 1}}

// ParseMemory parses an amount of memory such as "512MB" and returns megabytes.
func ParseMemory(text string) (int64, bool) {
	for _, unit := range memoryUnits {
		digits, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		number, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || int64(number) > math.MaxInt64/unit.megabytes {
			return 0, false
		}
		return int64(number) * unit.megabytes, true
	}
	return 0, false
}

// FormatMemory formats an amount in megabytes with the largest unit that gives a whole number.
func FormatMemory(megabytes int64) string {
	for _, unit := range memoryUnits {
		if megabytes != 0 && megabytes%unit.megabytes == 0 {
			return strconv.FormatInt(megabytes/unit.megabytes, 10) + unit.name
		}
	}
	return "0MB"
}

// Memory returns a field for an amount of memory with a unit, from minimum to maximum megabytes.
func Memory[C any, T ~int64](spec FieldSpec, minimum, maximum int64, fieldPointer func(*C) *T) Field[C] {
	allowed := fmt.Sprintf("an amount with unit (MB, GB, TB) from %s to %s", FormatMemory(minimum), FormatMemory(maximum))
	spec.Unit = "MB, GB or TB"
	return newField(spec, "memory", allowed, func(node Node, destination *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		megabytes, ok := ParseMemory(text)
		if !ok || megabytes < minimum || megabytes > maximum {
			return node.valueError(allowed)
		}
		*fieldPointer(destination) = T(megabytes)
		return nil
	})
}

// kindSecret is the kind of a Secret field.
const kindSecret = "secret"

// Secret returns a field for a string of at least minLength bytes that no error message shows.
func Secret[C any](spec FieldSpec, minLength int, fieldPointer func(*C) *string) Field[C] {
	allowed := fmt.Sprintf("at least %d characters", minLength)
	return newField(spec, kindSecret, allowed, func(node Node, destination *C) error {
		node.secret = true
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		if len(text) < minLength {
			return node.formatError(fmt.Sprintf("%d characters", len(text)), allowed)
		}
		*fieldPointer(destination) = text
		return nil
	})
}

// Object returns a field for an object that fields describes.
func Object[C, E any](spec FieldSpec, fields []Field[E], fieldPointer func(*C) *E) Field[C] {
	return newField(spec, "object", "an object with "+keyNames(fields), func(node Node, destination *C) error {
		_, err := Decode(node, fields, fieldPointer(destination))
		return err
	})
}

// Objects returns a field for a list of objects that fields describes. If check is not nil, it validates each
// element and gets the line numbers of its keys.
func Objects[C, E any](spec FieldSpec, fields []Field[E], check func(Lines, *E) error, fieldPointer func(*C) *[]E) Field[C] {
	allowed := "a list of objects with " + keyNames(fields)
	hasSecret := slices.ContainsFunc(fields, func(field Field[E]) bool { return field.kind == kindSecret })
	return newField(spec, "list of objects", allowed, func(node Node, destination *C) error {
		// Errors must not show a misplaced secret either, such as a list element that is a string instead of an object.
		node.secret = node.secret || hasSecret
		nodes, err := node.elements(allowed)
		if err != nil {
			return err
		}
		list := make([]E, len(nodes))
		for index, element := range nodes {
			lines, err := Decode(element, fields, &list[index])
			if err != nil {
				return err
			}
			if check == nil {
				continue
			}
			if err := check(lines, &list[index]); err != nil {
				return err
			}
		}
		*fieldPointer(destination) = list
		return nil
	})
}
