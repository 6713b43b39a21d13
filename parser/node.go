package parser

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// ErrInvalid is the cause of every FormatError.
const ErrInvalid = errors.ConstError("the file is not valid")

// maxFound bounds the text of a found value in an error line.
const maxFound = 60

// maxDepth bounds the nesting of a document, so that reading it needs little stack.
const maxDepth = 64

// FormatError is one fault of a file.
type FormatError struct {
	File    string // File is the name of the file.
	Line    int    // Line counts from 1.
	Key     string // Key is the path of the key, empty for the whole document.
	Found   string // Found is what the file holds.
	Allowed string // Allowed is what it may hold.
}

// Error returns the fault on one line.
func (formaterror *FormatError) Error() string {
	key := formaterror.Key
	if key == "" {
		key = "document"
	}
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", formaterror.File, formaterror.Line, key, formaterror.Found, formaterror.Allowed)
}

// Unwrap makes errors.Is recognise every FormatError as ErrInvalid.
func (formaterror *FormatError) Unwrap() error { return ErrInvalid }

// Node is one value of a document with its position.
type Node struct {
	file   string
	source []byte
	path   string
	value  hujson.Value
	secret bool // whether the text must not appear in an error
}

// Parse reads a document.
func Parse(file string, source []byte) (Node, error) {
	if line := deepLine(source); line > 0 {
		return Node{}, &FormatError{
			File: file, Line: line, Found: fmt.Sprintf("more than %d nested brackets", maxDepth), Allowed: "less nesting",
		}
	}
	// The parser reuses the memory of its input, so it gets a copy.
	value, err := hujson.Parse(bytes.Clone(source))
	if err != nil {
		line, text := syntaxError(err)
		return Node{}, &FormatError{File: file, Line: line, Found: "a syntax error (" + text + ")", Allowed: "JSON with comments"}
	}
	return Node{file: file, source: source, value: value}, nil
}

var positionPattern = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// syntaxError takes the line out of the error of the library, whose type holds it only as text.
// An invalid literal is not shown, because it may be a secret without quotes.
func syntaxError(err error) (int, string) {
	text := err.Error()
	line := 1
	if match := positionPattern.FindStringSubmatch(text); match != nil {
		line, _ = strconv.Atoi(match[1])
		text = text[len(match[0]):]
	}
	if before, _, found := strings.Cut(text, "invalid literal"); found {
		text = before + "invalid literal"
	}
	quoted := strconv.Quote(text)
	return line, strings.ReplaceAll(quoted[1:len(quoted)-1], `\"`, `"`)
}

// deepLine returns the line at which brackets nest deeper than maxDepth, 0 for none.
func deepLine(source []byte) int {
	depth, line := 0, 1
	for offset := 0; offset < len(source); offset++ {
		skipped := skipLength(source[offset:])
		if skipped > 0 {
			line += bytes.Count(source[offset:offset+skipped], []byte{'\n'})
			offset += skipped - 1
			continue
		}
		switch source[offset] {
		case '\n':
			line++
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return line
		}
	}
	return 0
}

// skipLength returns the length of the string or comment at the start of the text, 0 for none.
func skipLength(text []byte) int {
	end := -1
	switch {
	case text[0] == '"':
		for offset := 1; offset < len(text); offset++ {
			switch text[offset] {
			case '\\':
				offset++
			case '"':
				return offset + 1
			}
		}
	case bytes.HasPrefix(text, []byte("//")):
		end = bytes.IndexByte(text, '\n')
	case bytes.HasPrefix(text, []byte("/*")):
		if end = bytes.Index(text[2:], []byte("*/")); end >= 0 {
			end += len("/**/")
		}
	default:
		return 0
	}
	if end < 0 {
		return len(text)
	}
	return end
}

// problem returns a fault of this value.
func (node Node) problem(allowed string) error {
	return &FormatError{File: node.file, Line: node.Line(), Key: node.path, Found: node.found(), Allowed: allowed}
}

// invalid returns a fault of this value with its own description of what was found.
func (node Node) invalid(found, allowed string) error {
	return &FormatError{File: node.file, Line: node.Line(), Key: node.path, Found: found, Allowed: allowed}
}

// Line returns the line at which the value starts.
func (node Node) Line() int { return node.lineAt(node.value.StartOffset) }

// Path returns the path of keys that leads to the value.
func (node Node) Path() string { return node.path }

func (node Node) lineAt(offset int) int {
	return 1 + bytes.Count(node.source[:min(offset, len(node.source))], []byte{'\n'})
}

// found returns the text of the value, shortened and on one line. A secret is not shown.
func (node Node) found() string {
	switch kind := node.value.Value.Kind(); kind {
	case '{':
		return "an object"
	case '[':
		return "a list"
	default:
		if node.secret {
			return "a hidden value"
		}
		return shorten(string(node.source[node.value.StartOffset:node.value.EndOffset]))
	}
}

// printable returns a key for an error line, quoted when it holds anything but plain characters.
func printable(key string) string {
	if quoted := strconv.QuoteToASCII(key); quoted != `"`+key+`"` {
		return shorten(quoted)
	}
	return shorten(key)
}

func shorten(text string) string {
	if len(text) > maxFound {
		return strings.ToValidUTF8(text[:maxFound], "") + "..."
	}
	return text
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// text returns the value as a string.
func (node Node) text(allowed string) (string, error) {
	literal, ok := node.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", node.problem(allowed)
	}
	return literal.String(), nil
}

// elements returns the values of a list.
func (node Node) elements(allowed string) ([]Node, error) {
	array, ok := node.value.Value.(*hujson.Array)
	if !ok {
		return nil, node.problem(allowed)
	}
	nodes := make([]Node, len(array.Elements))
	for index, element := range array.Elements {
		nodes[index] = node
		nodes[index].value = element
		nodes[index].path = fmt.Sprintf("%s[%d]", node.path, index)
	}
	return nodes, nil
}

// member is one key of an object with its value.
type member struct {
	key   string
	line  int
	value Node
}

// members returns the keys of an object in their order and refuses a repeated key.
func (node Node) members() ([]member, error) {
	object, ok := node.value.Value.(*hujson.Object)
	if !ok {
		return nil, node.problem("an object")
	}
	list := make([]member, 0, len(object.Members))
	seen := make(map[string]int, len(object.Members))
	for _, item := range object.Members {
		key := item.Name.Value.(hujson.Literal).String()
		line := node.lineAt(item.Name.StartOffset)
		value := node
		value.value = item.Value
		value.path = join(node.path, printable(key))
		if first, ok := seen[key]; ok {
			return nil, &FormatError{
				File: node.file, Line: line, Key: value.path,
				Found: fmt.Sprintf("the key a second time (first on line %d)", first), Allowed: "each key once",
			}
		}
		seen[key] = line
		list = append(list, member{key: key, line: line, value: value})
	}
	return list, nil
}
