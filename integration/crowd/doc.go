// Package crowd starts a real scheduling host on loopback ports and lets many clients abuse its servers at once: with
// bodies that never end, with answers that nobody reads, and with connections that stay open. The tests check that the
// process stays alive and within its memory and descriptors, and that it answers ordinary callers.
package crowd
