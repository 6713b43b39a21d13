package almondcross

import (
	"cmp"
	"strconv"
	"strings"
)

// Key is the idempotency key that identifies a request. To start a key is to start the tasks of its request.
//
//value:generate
type Key struct {
	caller string // the caller that issued the key; two callers never share a key
	origin string // the home data centre of the key
	name   string // the name that the caller chose
}

// String returns the key as caller/origin/name.
func (key Key) String() string { return key.caller + "/" + key.origin + "/" + key.name }

// Compare orders keys by caller, origin and name.
func (key Key) Compare(other Key) int {
	return cmp.Or(
		strings.Compare(key.caller, other.caller),
		strings.Compare(key.origin, other.origin),
		strings.Compare(key.name, other.name),
	)
}

// TaskID identifies one task of a request.
//
//value:generate
type TaskID struct {
	key   Key // the key of the request
	index int // the index of the task within the request, from 0
}

// String returns the key followed by the index.
func (taskid TaskID) String() string { return taskid.key.String() + "#" + strconv.Itoa(taskid.index) }
