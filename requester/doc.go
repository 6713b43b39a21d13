// Package requester holds what the command line's command client and query
// client share: the flags that name entry hosts and the token, one HTTP call,
// and the exit codes.
//
// Do reports whether a failed call was certainly not sent, because a command
// whose answer is lost may have taken effect. The token is read from a file or
// the environment, never from an argument, which other users of the host could
// see; it appears in no error.
package requester
