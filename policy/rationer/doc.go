// Package rationer decides whether a further job of a workspace or a queue may enter the memory for jobs.
//
// The load that it answers is one holder that submits jobs faster than they end. A fixed share for each holder would leave most of
// the memory unused while few of them have jobs, and a common limit would let the first one shut the others out.
package rationer
