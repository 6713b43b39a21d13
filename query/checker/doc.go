// Package checker checks a version of the operators' configuration before it is sent to the store.
//
// Read decodes it as hosts do, Check decides what is wrong or hardly intended in it, and Differences compares it with the
// version in force, which InForce reads from the store. The decisions are functions of their arguments. They import no
// transport and no encoding, and no finding quotes a key of a workspace. All functions are safe for concurrent use.
package checker
