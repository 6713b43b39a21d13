// Package crowd starts real scheduling hosts and entry hosts on loopback ports and lets many clients abuse their servers at once: with
// bodies that never end, with answers that nobody reads, with connections that stay open, and with complete requests that fill the memory
// for accepted jobs. The tests check that the processes stay alive and within their memory and descriptors, and that they answer ordinary
// callers.
package crowd
