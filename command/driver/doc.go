// Package driver sends commands to workers over HTTP.
//
// It keeps at most 3 connections to a target. With the one connection of
// query/observer a holder uses at most 4, so that the about 60 connections of a
// target suffice while holders are replaced (docs/design.md 3.5).
package driver
