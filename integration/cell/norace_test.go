//go:build !race

package cell_test

// defaultChecks is rapid's own default.
const defaultChecks = "100"
