package cell_test

import (
	"flag"
	"os"
	"testing"

	"github.com/almondcross/almondcross/standin/defaulter"
)

// defaultSeed makes the random tests reproducible.
const defaultSeed = "1"

// TestMain sets the seed and the number of histories unless a flag or the environment sets them.
func TestMain(main *testing.M) {
	flag.Parse()
	if err := defaulter.Set("rapid.seed", "RAPID_SEED", defaultSeed); err != nil {
		panic(err)
	}
	if err := defaulter.Set("rapid.checks", "RAPID_CHECKS", defaultChecks); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}
