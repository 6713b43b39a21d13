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

// maxFoundLength limits the length of a found value in an error, in bytes.
const maxFoundLength = 60

// maxDepth limits the nesting of a document and so the stack that parsing needs.
const maxDepth = 64

// FormatError describes one error in a file.
type FormatError struct {
	File    string // File is the name of the file.
	Line    int    // Line counts from 1.
	Key     string // Key is the path of the key, empty for the whole document.
	Found   string // Found describes the value in the file.
	Allowed string // Allowed describes the accepted values.
}

// Error returns the error as one line.
func (formaterror *FormatError) Error() string {
	key := formaterror.Key
	if key == "" {
		key = "document"
	}
	return fmt.Sprintf("%s:%d: %s: found %s; allowed: %s", formaterror.File, formaterror.Line, key, formaterror.Found, formaterror.Allowed)
}

// Unwrap returns ErrInvalid, so that errors.Is matches it for every FormatError.
func (formaterror *FormatError) Unwrap() error { return ErrInvalid }

// Node is a value of a document with its position.
type Node struct {
	file   string
	source []byte
	path   string
	value  hujson.Value
	secret bool // whether the text must not appear in an error
}

// Parse parses a document. The file name is used in errors only.
func Parse(file string, source []byte) (Node, error) {
	if line := tooDeepLine(source); line > 0 {
		return Node{}, &FormatError{
			File: file, Line: line, Found: fmt.Sprintf("more than %d nested brackets", maxDepth), Allowed: "less nesting",
		}
	}
	// hujson reuses the memory of its input, so it gets a copy.
	value, err := hujson.Parse(bytes.Clone(source))
	if err != nil {
		line, text := syntaxError(err)
		return Node{}, &FormatError{File: file, Line: line, Found: "a syntax error (" + text + ")", Allowed: "JSON with comments"}
	}
	return Node{file: file, source: source, value: value}, nil
}

var positionPattern = regexp.MustCompile(`^hujson: line (\d+), column \d+: `)

// syntaxError extracts the line number from an error of hujson, which has it only in its text. It removes an
// invalid literal from the text because that may be a secret without quotes.
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

// tooDeepLine returns the line at which brackets are nested deeper than maxDepth, 0 if none are.
func tooDeepLine(source []byte) int {
	depth, line := 0, 1
	for offset := 0; offset < len(source); offset++ {
		skippedLength := stringOrCommentLength(source[offset:])
		if skippedLength > 0 {
			line += bytes.Count(source[offset:offset+skippedLength], []byte{'\n'})
			offset += skippedLength - 1
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

// stringOrCommentLength returns the length of the string or comment with which the text starts, 0 if it starts
// with neither. It is the length of the whole text if the string or comment does not end.
func stringOrCommentLength(text []byte) int {
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

// valueError returns a FormatError that shows the value of the node.
func (node Node) valueError(allowed string) error {
	return &FormatError{File: node.file, Line: node.Line(), Key: node.path, Found: node.foundText(), Allowed: allowed}
}

// formatError returns a FormatError for the node with a given description of what was found.
func (node Node) formatError(found, allowed string) error {
	return &FormatError{File: node.file, Line: node.Line(), Key: node.path, Found: found, Allowed: allowed}
}

// Line returns the line at which the value starts.
func (node Node) Line() int { return node.lineAt(node.value.StartOffset) }

// Path returns the path of keys to the value, such as "entries[0].name".
func (node Node) Path() string { return node.path }

// lineAt returns the line number of an offset in the document.
func (node Node) lineAt(offset int) int {
	return 1 + bytes.Count(node.source[:min(offset, len(node.source))], []byte{'\n'})
}

// foundText returns the text of a literal, truncated, or the kind of any other value. It does not show a secret.
func (node Node) foundText() string {
	switch kind := node.value.Value.Kind(); kind {
	case '{':
		return "an object"
	case '[':
		return "a list"
	default:
		if node.secret {
			return "a hidden value"
		}
		return truncate(string(node.source[node.value.StartOffset:node.value.EndOffset]))
	}
}

// printableKey returns a key as errors show it: truncated, and quoted if it needs escaping.
func printableKey(key string) string {
	if quoted := strconv.QuoteToASCII(key); quoted != `"`+key+`"` {
		return truncate(quoted)
	}
	return truncate(key)
}

// truncate limits a text to maxFoundLength bytes.
func truncate(text string) string {
	if len(text) > maxFoundLength {
		return strings.ToValidUTF8(text[:maxFoundLength], "") + "..."
	}
	return text
}

// joinPath appends a key to a path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// text returns the value of a string, or a FormatError for any other value.
func (node Node) text(allowed string) (string, error) {
	literal, ok := node.value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return "", node.valueError(allowed)
	}
	return literal.String(), nil
}

// elements returns the values of an array, or a FormatError for any other value.
func (node Node) elements(allowed string) ([]Node, error) {
	array, ok := node.value.Value.(*hujson.Array)
	if !ok {
		return nil, node.valueError(allowed)
	}
	nodes := make([]Node, len(array.Elements))
	for index, element := range array.Elements {
		nodes[index] = node
		nodes[index].value = element
		nodes[index].path = fmt.Sprintf("%s[%d]", node.path, index)
	}
	return nodes, nil
}

// member is a key of an object with its line number and value.
type member struct {
	key   string
	line  int
	value Node
}

// members returns the members of an object in order. It returns a FormatError for a value that is not an object
// and for a repeated key.
func (node Node) members() ([]member, error) {
	object, ok := node.value.Value.(*hujson.Object)
	if !ok {
		return nil, node.valueError("an object")
	}
	members := make([]member, 0, len(object.Members))
	seen := make(map[string]int, len(object.Members))
	for _, item := range object.Members {
		key := item.Name.Value.(hujson.Literal).String()
		line := node.lineAt(item.Name.StartOffset)
		value := node
		value.value = item.Value
		value.path = joinPath(node.path, printableKey(key))
		if first, ok := seen[key]; ok {
			return nil, &FormatError{
				File: node.file, Line: line, Key: value.path,
				Found: fmt.Sprintf("the key a second time (first on line %d)", first), Allowed: "each key once",
			}
		}
		seen[key] = line
		members = append(members, member{key: key, line: line, value: value})
	}
	return members, nil
}
