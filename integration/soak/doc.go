// Package soak holds a randomised test that runs the real program as separate processes on this machine and
// injects faults from outside: loopback proxies delay, silence and reset connections, and signals stop, pause,
// kill and restart processes.
package soak
