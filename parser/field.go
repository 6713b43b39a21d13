package parser

import (
	"fmt"
	"slices"
	"strings"
)

// Field binds one key of an object to a field of C.
type Field[C any] struct {
	key         string
	kind        string // kind is the type shown on generated pages.
	unit        string // unit is empty for a value without one.
	allowed     string // allowed describes the accepted values.
	fallback    string // fallback is the default as JSON.
	required    bool
	description string
	decode      func(node Node, into *C) error
}

// Key returns the key in snake case.
func (field Field[C]) Key() string { return field.key }

// Kind returns the type of the value.
func (field Field[C]) Kind() string { return field.kind }

// Unit returns the unit of the value, empty for none.
func (field Field[C]) Unit() string { return field.unit }

// Allowed returns the accepted values.
func (field Field[C]) Allowed() string { return field.allowed }

// Default returns the default as JSON, empty when the key is required.
func (field Field[C]) Default() string { return field.fallback }

// Required reports whether the key must be present.
func (field Field[C]) Required() bool { return field.required }

// Description returns what the value is for.
func (field Field[C]) Description() string { return field.description }

// WithDefault returns a copy that may be absent and then has the given JSON value.
func (field Field[C]) WithDefault(json string) Field[C] {
	field.fallback = json
	field.required = false
	return field
}

// Decode reads an object by its table of fields. Lines gives the line of each key that was present.
func Decode[C any](node Node, fields []Field[C], into *C) (Lines, error) {
	members, err := node.members()
	if err != nil {
		return Lines{}, err
	}
	lines := Lines{node: node, byKey: make(map[string]int, len(members))}
	for _, item := range members {
		index := slices.IndexFunc(fields, func(field Field[C]) bool { return field.key == item.key })
		if index < 0 {
			return lines, &FormatError{
				File: node.file, Line: item.line, Key: item.value.path, Found: "an unknown key", Allowed: keyNames(fields),
			}
		}
		lines.byKey[item.key] = item.line
		if err := fields[index].decode(item.value, into); err != nil {
			return lines, err
		}
	}
	for _, field := range fields {
		if _, present := lines.byKey[field.key]; present {
			continue
		}
		if field.required {
			return lines, &FormatError{
				File: node.file, Line: node.Line(), Key: join(node.path, field.key), Found: "no value", Allowed: field.allowed,
			}
		}
		if field.fallback == "" {
			continue
		}
		value, err := Parse("default", []byte(field.fallback))
		if err != nil {
			return lines, err
		}
		value.path = field.key
		if err := field.decode(value, into); err != nil {
			return lines, err
		}
	}
	return lines, nil
}

func keyNames[C any](fields []Field[C]) string {
	names := make([]string, len(fields))
	for index, field := range fields {
		names[index] = field.key
	}
	return strings.Join(names, ", ")
}

// Lines tells where the keys of a decoded object stand.
type Lines struct {
	node  Node
	byKey map[string]int
}

// Conflict returns the fault of a key that contradicts another one.
func (lines Lines) Conflict(key, found, allowed string) error {
	line, ok := lines.byKey[key]
	if !ok {
		line = lines.node.Line()
		found = fmt.Sprintf("%s (the default)", found)
	}
	return &FormatError{File: lines.node.file, Line: line, Key: join(lines.node.path, key), Found: found, Allowed: allowed}
}

// Word returns the value of one required key of an object and ignores the other keys.
func Word[T ~string](node Node, key string, words []T) (T, error) {
	members, err := node.members()
	if err != nil {
		return "", err
	}
	field := Choice(About{Key: key}, words, func(word *T) *T { return word })
	for _, item := range members {
		if item.key == key {
			var word T
			err := field.decode(item.value, &word)
			return word, err
		}
	}
	return "", &FormatError{File: node.file, Line: node.Line(), Key: join(node.path, key), Found: "no value", Allowed: field.allowed}
}
