// Package answerer serves JSON over HTTP on behalf of duties.
//
// A handler decodes a bounded body, puts a typed message on the ring of a
// duty, waits for the response and encodes it. The duty makes all decisions;
// this package holds no protocol state.
package answerer
