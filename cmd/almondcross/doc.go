// Command almondcross is the cluster scheduler: entry host, operator's command
// line, and the stand-ins for development.
package main
