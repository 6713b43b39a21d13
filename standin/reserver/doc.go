// Package reserver reserves loopback ports for processes that have to be told their port before they listen on it.
package reserver
