package parser

import (
	"fmt"
	"slices"
	"strings"
)

// Field describes one key of an object and decodes its value into a field of the struct C.
type Field[C any] struct {
	key         string
	kind        string // kind is the type shown in generated documentation.
	unit        string // unit is empty for a value without a unit.
	allowed     string // allowed describes the accepted values.
	defaultJSON string // defaultJSON is the default value as JSON, empty for none.
	required    bool
	description string
	decode      func(node Node, destination *C) error
}

// Key returns the key, in snake case.
func (field Field[C]) Key() string { return field.key }

// Kind returns the type of the value as shown in generated documentation.
func (field Field[C]) Kind() string { return field.kind }

// Unit returns the unit of the value, empty for none.
func (field Field[C]) Unit() string { return field.unit }

// Allowed returns a description of the accepted values.
func (field Field[C]) Allowed() string { return field.allowed }

// Default returns the default value as JSON, empty if the key is required or its default is the zero value.
func (field Field[C]) Default() string { return field.defaultJSON }

// Required reports whether the key must be present.
func (field Field[C]) Required() bool { return field.required }

// Description returns the purpose of the value, for generated documentation.
func (field Field[C]) Description() string { return field.description }

// WithDefault returns a copy whose key is optional and has the given JSON value as its default. An empty
// default stands for the zero value.
func (field Field[C]) WithDefault(json string) Field[C] {
	field.defaultJSON = json
	field.required = false
	return field
}

// Decode decodes an object into destination as its table of fields describes and applies defaults. It returns
// the line number of each key that was present, or a FormatError for the first invalid key.
func Decode[C any](node Node, fields []Field[C], destination *C) (Lines, error) {
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
		if err := fields[index].decode(item.value, destination); err != nil {
			return lines, err
		}
	}
	for _, field := range fields {
		if _, present := lines.byKey[field.key]; present {
			continue
		}
		if field.required {
			return lines, &FormatError{
				File: node.file, Line: node.Line(), Key: joinPath(node.path, field.key), Found: "no value", Allowed: field.allowed,
			}
		}
		if field.defaultJSON == "" {
			continue
		}
		value, err := Parse("default", []byte(field.defaultJSON))
		if err != nil {
			return lines, err
		}
		value.path = field.key
		if err := field.decode(value, destination); err != nil {
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

// Lines holds the line numbers of the keys of a decoded object.
type Lines struct {
	node  Node
	byKey map[string]int
}

// Conflict returns a FormatError for a key whose value conflicts with that of another key. For an absent key,
// it names the line of the object and marks the found value as the default.
func (lines Lines) Conflict(key, found, allowed string) error {
	line, ok := lines.byKey[key]
	if !ok {
		line = lines.node.Line()
		found = fmt.Sprintf("%s (the default)", found)
	}
	return &FormatError{File: lines.node.file, Line: line, Key: joinPath(lines.node.path, key), Found: found, Allowed: allowed}
}

// DecodeChoice returns the value of one required key, which must be one of choices, and ignores the other keys
// of the object.
func DecodeChoice[T ~string](node Node, key string, choices []T) (T, error) {
	members, err := node.members()
	if err != nil {
		return "", err
	}
	field := Choice(FieldSpec{Key: key}, choices, func(choice *T) *T { return choice })
	for _, item := range members {
		if item.key == key {
			var choice T
			err := field.decode(item.value, &choice)
			return choice, err
		}
	}
	return "", &FormatError{File: node.file, Line: node.Line(), Key: joinPath(node.path, key), Found: "no value", Allowed: field.allowed}
}
