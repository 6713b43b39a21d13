// Package linker carries messages between entry hosts over WebSocket connections.
//
// Each peer has one sender duty with a ring and its own outgoing connection, which carries messages
// in one direction. Each incoming connection has one goroutine that decodes messages and puts them
// into the rings of the duties. The first frame of a connection is a hello that names its sender;
// later messages that claim another member are dropped and counted.
//
// Delivery is at most once. A message is lost, and counted, when the ring is full, when it waited
// longer than the link lease it depends on, or when a write fails. Task reports wait for room in the
// rings; forwarded requests do not, so that an overloaded coordinator does not hold up heartbeats.
package linker
