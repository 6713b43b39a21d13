// Package linker carries messages between entry hosts over WebSocket connections.
//
// A host opens two connections to each peer, one for each channel, and sends its messages on them; the
// peer sends only its hello and acknowledgements back. The first frame of a connection is a hello that
// names the sender, the run of its process and the channel; the receiver answers with its own name and
// run. A run is identified by a random number that the process chooses when it starts. A message that
// names another sender than the hello is dropped and counted.
//
// The data channel delivers each message once and in the order of sending, as long as both processes
// run. Messages wait in the ring of the peer. The sender duty of the peer numbers them, writes them
// and keeps them in its outbox until the receiver has acknowledged them; after a reconnect it writes
// the unacknowledged ones again. The receiver puts a message into the ring of its duty, waits while
// that ring is full, and only then counts the message as received, so an acknowledgement means that
// the message is in the ring of its duty. It drops a sequence number that it has already received from
// the same run of the sender. Ring and outbox are bounded; a full ring refuses messages. A message that
// was queued for an earlier run of the receiver is discarded, because the requests and tasks that it
// refers to ended with that process.
//
// A message may be delayed for as long as the peer is unreachable. This is safe for a placement, because
// the placer checks the link lease of the coordinator when the message arrives and again when it starts
// the task, and for a message with an outdated incarnation, because its duty ignores it.
//
// The heartbeat channel carries ping, pong, leaving and its confirmation without sequence numbers.
// They are not sent again, and a message that has waited for two ping intervals is dropped. The channel
// has its own connection and goroutines, and a full ring of the registrar refuses at once instead of
// blocking, so a full ring of a coordinator or placer delays data but no heartbeats. The heartbeats and
// the data of one peer are therefore not ordered relative to each other.
package linker
