// Package exchanger sends JSON requests over HTTP and decodes the responses,
// with limits on the size of both.
//
// A failed exchange returns an ExchangeError, which says whether the request
// may have reached the server and with which code the server rejected it. The
// adapters in command/ and query/ convert it to the errors of the root package.
package exchanger
