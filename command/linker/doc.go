// Package linker carries messages between entry hosts over WebSocket connections.
//
// A host opens two connections to each peer and carries messages in one direction on them. The first
// frame of a connection is a hello that names the sender, the run of its process and the channel;
// the receiver answers with its own name and run. Messages that claim another member than the hello
// are dropped and counted.
//
// The data channel delivers each message once and in the order of sending, while both processes run.
// Messages wait in the ring of the peer, whose sender duty numbers and writes them and keeps them in
// its outbox until the receiver has acknowledged them; after a reconnect it writes them again. The
// receiver hands a message to the ring of its duty, waits for room if necessary, and only then counts
// it as received, so an acknowledgement means that the duty has the message. It drops a sequence that
// it has received before from the same run of the sender. Ring and outbox are bounded; a full ring
// refuses. A message that was queued for an earlier run of the receiver is discarded, since the
// requests and tasks that it belongs to are gone.
//
// Delivery may be late by as long as the peer cannot be reached. This is safe for a placement, because
// the placer checks the link lease of the coordinator on arrival and at the start, and for a message
// that names an incarnation which is gone, because its duty ignores it.
//
// The heartbeat channel carries ping, pong, leaving and their confirmation without sequence numbers.
// They are not repeated, and one that waited for two ping intervals is dropped. The channel is a
// connection of its own with its own goroutine, and a full ring of the registrar refuses at once, so
// a full ring of a coordinator or placer holds up data but no heartbeat. Heartbeats and data of one
// peer are therefore not ordered with respect to each other.
package linker
