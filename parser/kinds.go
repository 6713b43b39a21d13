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

// About describes the key of a field.
type About struct {
	Key         string // Key is in snake case.
	Unit        string // Unit is for values without one of their own.
	Default     string // Default is JSON; a field without one is required unless Optional is set.
	Optional    bool   // Optional leaves the zero value when the key is absent.
	Description string // Description is one sentence without a full stop.
}

func newField[C any](about About, kind, allowed string, decode func(Node, *C) error) Field[C] {
	return Field[C]{
		key: about.Key, kind: kind, unit: about.Unit, allowed: allowed, fallback: about.Default,
		required: about.Default == "" && !about.Optional, description: about.Description, decode: decode,
	}
}

// maxNameLength bounds names, which appear in every record and metric.
const maxNameLength = 100

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

const allowedName = "1 to 100 of a-z, 0-9, '.', '_' and '-', with a letter or digit at both ends"

// ValidName reports whether a text may name an entry, a host, a data centre or an owner.
func ValidName(text string) bool {
	return len(text) <= maxNameLength && namePattern.MatchString(text)
}

func decodeName(node Node) (string, error) {
	text, err := node.text(allowedName)
	if err != nil {
		return "", err
	}
	if !ValidName(text) {
		return "", node.problem(allowedName)
	}
	return text, nil
}

// Name is a name in lower case.
func Name[C any](about About, at func(*C) *string) Field[C] {
	return newField(about, "name", allowedName, func(node Node, into *C) (err error) {
		*at(into), err = decodeName(node)
		return err
	})
}

// Names is a list of different names.
func Names[C any](about About, least int, at func(*C) *[]string) Field[C] {
	allowed := fmt.Sprintf("a list of at least %d different names", least)
	return newField(about, "list of names", allowed, func(node Node, into *C) error {
		nodes, err := node.elements(allowed)
		if err != nil {
			return err
		}
		if len(nodes) < least {
			return node.invalid(fmt.Sprintf("%d names", len(nodes)), allowed)
		}
		names := make([]string, 0, len(nodes))
		for _, element := range nodes {
			name, err := decodeName(element)
			if err != nil {
				return err
			}
			if slices.Contains(names, name) {
				return element.invalid(strconv.Quote(name)+" a second time", allowed)
			}
			names = append(names, name)
		}
		*at(into) = names
		return nil
	})
}

// Choice is one of a few words.
func Choice[C any, T ~string](about About, words []T, at func(*C) *T) Field[C] {
	quoted := make([]string, len(words))
	for index, word := range words {
		quoted[index] = string(word)
	}
	allowed := "one of " + strings.Join(quoted, ", ")
	return newField(about, "word", allowed, func(node Node, into *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		if !slices.Contains(words, T(text)) {
			return node.problem(allowed)
		}
		*at(into) = T(text)
		return nil
	})
}

// Address is an IP address and port. An unspecified address is accepted for listening only.
func Address[C any](about About, listening bool, at func(*C) *string) Field[C] {
	allowed := `an IP address and port such as "10.0.0.1:7201"`
	if listening {
		allowed = `an IP address and port such as "10.0.0.1:7201" or "0.0.0.0:7201"`
	}
	return newField(about, "address", allowed, func(node Node, into *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		address, err := netip.ParseAddrPort(text)
		if err != nil || address.Port() == 0 || (!listening && address.Addr().IsUnspecified()) {
			return node.problem(allowed)
		}
		*at(into) = text
		return nil
	})
}

// Integer is a whole number in a range.
func Integer[C any, T ~int | ~int64](about About, least, most T, at func(*C) *T) Field[C] {
	allowed := fmt.Sprintf("a whole number from %d to %d", least, most)
	return newField(about, "integer", allowed, func(node Node, into *C) error {
		literal, ok := node.value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '0' {
			return node.problem(allowed)
		}
		number, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil || number < int64(least) || number > int64(most) {
			return node.problem(allowed)
		}
		*at(into) = T(number)
		return nil
	})
}

// Decimal is a number in a range.
func Decimal[C any](about About, least, most float64, at func(*C) *float64) Field[C] {
	allowed := fmt.Sprintf("a number from %g to %g", least, most)
	return newField(about, "number", allowed, func(node Node, into *C) error {
		literal, ok := node.value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '0' {
			return node.problem(allowed)
		}
		number, err := strconv.ParseFloat(string(literal), 64)
		if err != nil || number < least || number > most {
			return node.problem(allowed)
		}
		*at(into) = number
		return nil
	})
}

// Boolean is true or false.
func Boolean[C any](about About, at func(*C) *bool) Field[C] {
	return newField(about, "boolean", "true or false", func(node Node, into *C) error {
		literal, ok := node.value.Value.(hujson.Literal)
		if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
			return node.problem("true or false")
		}
		*at(into) = literal.Bool()
		return nil
	})
}

// Duration is a time span with a unit, in a range.
func Duration[C any, T ~int64](about About, least, most time.Duration, at func(*C) *T) Field[C] {
	allowed := fmt.Sprintf("a duration with unit (ms, s, m, h) from %s to %s", FormatDuration(least), FormatDuration(most))
	about.Unit = "ms, s, m or h"
	return newField(about, "duration", allowed, func(node Node, into *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		duration, ok := ParseDuration(text)
		if !ok || duration < least || duration > most {
			return node.problem(allowed)
		}
		*at(into) = T(duration)
		return nil
	})
}

var durationPattern = regexp.MustCompile(`^([0-9]+(\.[0-9]+)?(ms|s|m|h))+$`)

// ParseDuration reads a time span such as "1.5s" or "1h30m". It takes neither a number without
// unit nor a fraction of a millisecond, so that every span can be written with the same units.
func ParseDuration(text string) (time.Duration, bool) {
	if !durationPattern.MatchString(text) {
		return 0, false
	}
	duration, err := time.ParseDuration(text)
	return duration, err == nil && duration%time.Millisecond == 0
}

// FormatDuration returns a duration without zero minutes and seconds, such as "24h".
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

// memoryUnits are the units of memory in megabytes, largest first.
var memoryUnits = []struct {
	name      string
	megabytes int64
}{{"TB", 1_000_000}, {"GB", 1_000}, {"MB", 1}}

// ParseMemory reads an amount such as "512MB" and returns megabytes.
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

// FormatMemory returns megabytes in the largest unit that leaves a whole number.
func FormatMemory(megabytes int64) string {
	for _, unit := range memoryUnits {
		if megabytes != 0 && megabytes%unit.megabytes == 0 {
			return strconv.FormatInt(megabytes/unit.megabytes, 10) + unit.name
		}
	}
	return "0MB"
}

// Memory is an amount of memory with a unit, at most a number of megabytes.
func Memory[C any, T ~int64](about About, least, most int64, at func(*C) *T) Field[C] {
	allowed := fmt.Sprintf("an amount with unit (MB, GB, TB) from %s to %s", FormatMemory(least), FormatMemory(most))
	about.Unit = "MB, GB or TB"
	return newField(about, "memory", allowed, func(node Node, into *C) error {
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		megabytes, ok := ParseMemory(text)
		if !ok || megabytes < least || megabytes > most {
			return node.problem(allowed)
		}
		*at(into) = T(megabytes)
		return nil
	})
}

// kindSecret is the type of a Secret on generated pages.
const kindSecret = "secret"

// Secret is a text that is never shown.
func Secret[C any](about About, shortest int, at func(*C) *string) Field[C] {
	allowed := fmt.Sprintf("at least %d characters", shortest)
	return newField(about, kindSecret, allowed, func(node Node, into *C) error {
		node.secret = true
		text, err := node.text(allowed)
		if err != nil {
			return err
		}
		if len(text) < shortest {
			return node.invalid(fmt.Sprintf("%d characters", len(text)), allowed)
		}
		*at(into) = text
		return nil
	})
}

// Object is an object with a table of its own.
func Object[C, E any](about About, fields []Field[E], at func(*C) *E) Field[C] {
	return newField(about, "object", "an object with "+keyNames(fields), func(node Node, into *C) error {
		_, err := Decode(node, fields, at(into))
		return err
	})
}

// Objects is a list of objects with a table of their own. Check sees each element with its position.
func Objects[C, E any](about About, fields []Field[E], check func(Lines, *E) error, at func(*C) *[]E) Field[C] {
	allowed := "a list of objects with " + keyNames(fields)
	secret := slices.ContainsFunc(fields, func(field Field[E]) bool { return field.kind == kindSecret })
	return newField(about, "list of objects", allowed, func(node Node, into *C) error {
		// A secret in the wrong place, such as one of a list of plain texts, is not shown either.
		node.secret = node.secret || secret
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
		*at(into) = list
		return nil
	})
}
