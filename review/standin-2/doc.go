// Command standin-2 plays the cases of the second review: it serves the platform's store and the workers with the project's
// stand-ins, sends jobs to scheduling hosts that run as separate processes, and checks what callers and workers see.
//
// It writes the hosts' settings into a work folder, from the template of the deploy file; run.sh in this folder starts the hosts.
// Job bodies are files of the case's folder. Everything listens on loopback addresses.
package main
