package almondcross

import (
	"strings"
	"unique"
)

// QueueID identifies a queue across versions of the configuration, which may rename it or move it to another host or prefix. It is
// a comparable value of the size of a pointer, since each view of a job has one.
type QueueID struct{ parts unique.Handle[QueueIDConfig] }

// QueueIDConfig holds the parts of a QueueID.
type QueueIDConfig struct {
	Name   string // Name is the name of the queue.
	Host   string // Host is the host name under which callers reach it, in lower case; empty if it is not known.
	Prefix string // Prefix is the path under which callers reach it, empty if it is not known.
}

// NewQueueID returns a QueueID with the given parts.
func NewQueueID(config QueueIDConfig) QueueID { return QueueID{parts: unique.Make(config)} }

// ID returns the identity of the queue.
func (queue Queue) ID() QueueID {
	return NewQueueID(QueueIDConfig{Name: queue.name, Host: strings.ToLower(queue.host), Prefix: queue.prefix})
}

// Name returns the name of the queue.
func (queueid QueueID) Name() string { return queueid.config().Name }

// Host returns the host name under which callers reach the queue, empty if it is not known.
func (queueid QueueID) Host() string { return queueid.config().Host }

// Prefix returns the path under which callers reach the queue, empty if it is not known.
func (queueid QueueID) Prefix() string { return queueid.config().Prefix }

// WithName returns a copy with another name of the queue.
func (queueid QueueID) WithName(name string) QueueID {
	config := queueid.config()
	config.Name = name
	return NewQueueID(config)
}

// Same reports whether two identities are those of one queue: they have the same name, or the same host and prefix.
func (queueid QueueID) Same(other QueueID) bool {
	if queueid == other {
		return true
	}
	first, second := queueid.config(), other.config()
	return first.Name == second.Name || first.Prefix != "" && first.Host == second.Host && first.Prefix == second.Prefix
}

// config returns the parts of the identity, none for the zero value.
func (queueid QueueID) config() QueueIDConfig {
	if queueid == (QueueID{}) {
		return QueueIDConfig{}
	}
	return queueid.parts.Value()
}
