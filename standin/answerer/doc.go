// Package answerer serves JSON over HTTP on behalf of duties.
//
// A handler decodes a bounded body, puts a typed message on the ring of a
// duty, waits for the answer and encodes it. The duty decides; this package
// holds no state of the protocols.
package answerer
