// Package driver sends commands to workers over HTTP.
//
// It opens at most 3 connections to a target. Together with the one connection of
// query/observer a holder uses at most 4, so that the limit of about 60 connections
// of a target suffices while holders are replaced (docs/design.md 3.5).
package driver
