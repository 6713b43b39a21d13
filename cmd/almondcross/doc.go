// Command almondcross is the cluster scheduler: its hosts, the command line for
// operators, and the stand-ins for development.
package main
