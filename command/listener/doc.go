// Package listener accepts the connections of a server up to a limit and refuses further ones with an answer.
//
// The goroutine of the server accepts and never waits for a client: a refusal fits the empty send buffer of its socket.
// The Refuser is the duty that closes refused connections a moment later, since a client that is still sending loses an
// answer that is followed by a reset.
//
// A connection also counts the lines of its headers, since a line of four bytes takes hundreds once it is decoded.
package listener
