// Package soak holds a randomised test that runs the real program as separate processes on this machine and
// injects faults from outside: loopback proxies delay, block, lose and reset connections, signals pause, stop
// and kill processes, which are resumed or restarted, and tasks crash the stand-ins of workers.
package soak
