// Package exchanger makes one JSON exchange over HTTP with bounded bodies.
//
// A failed exchange returns an ExchangeError, which tells whether the request
// may have reached the server and which code the server refused it with. The
// adapters below command/ and query/ turn it into the errors of the root
// package.
package exchanger
