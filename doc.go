// Package almondcross holds the core values of the cluster scheduler and every
// interface behind which behaviour varies.
//
// Two services share this package; both run on entry hosts. Callers send requests
// for entries of a catalogue; the tasks of a request are placed on targets (placer
// and dispatcher) and the answers are returned. Callers submit jobs to queues; their
// tasks are scheduled on announced workers (scheduler, journal and advice service).
// docs/design.md describes the protocols.
//
// # Architecture
//
// Code that changes state is below command/, code that reads it below query/.
// Each duty (coordinator, placer, dispatcher, registrar, and so on) is one
// goroutine that alone owns its tables and receives typed messages from a bounded
// ring. Values that are sent through a ring, stored or published are immutable:
// they are built from a configuration struct and changed through With methods,
// which return a copy. The slices and maps that an accessor returns are shared
// and must not be modified.
//
// The interfaces of this package are implemented below it; only the assembler
// package names concrete implementations.
package almondcross

//go:generate go run ./tools/valuer -output values_generated.go key.go resources.go entry.go request.go task.go target.go member.go record.go account.go messages.go reports.go
