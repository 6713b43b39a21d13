// Package requester holds the code that the command and query clients of the
// command line share: the flags for the server addresses and the token, the
// HTTP client, and the exit codes.
//
// Client.Do tells a call that was never sent from one whose response was lost,
// because a command may have taken effect in the second case. The token is read
// from a file or the environment, never from an argument, which other users of
// the machine could see. It appears in no error.
package requester
