// Package encoder turns the values of the root package into bytes and back:
// catalogue files and the JSON of the public API.
package encoder
