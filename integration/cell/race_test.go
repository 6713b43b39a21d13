//go:build race

package cell_test

// defaultChecks is lower under the race detector, where 100 histories take 107 s.
const defaultChecks = "60"
