// Package replicator replicates the configuration between linked hosts, so that a host that cannot read it from the store puts a new
// version in force as well.
//
// Each end of a link tells the other one which version is in force on it, shortly after a version came into force there. An end with an
// older version asks for the newer one. A host that reads the store in time has the version before it is told, so that nothing but
// version numbers passes; over a link to the scheduler's host, a host tells its version only if the scheduler's host is behind.
//
// Machine decides and has no transport; Duty is the duty that owns it.
package replicator
