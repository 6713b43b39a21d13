// Package soak holds a randomised test that runs the real program as separate processes on this machine and
// injects faults from outside: loopback proxies delay, block, lose and reset connections, signals pause, stop
// and kill processes, which are resumed or restarted, and tasks crash the stand-ins of workers. Some tests run hosts of
// two builds, of which the earlier one is built from a commit of the repository's history.
package soak
