package placer_test

import (
	"flag"
	"os"
	"testing"

	"github.com/almondcross/almondcross/standin/defaulter"
)

// defaultSeed makes the results of the randomised tests reproducible.
const defaultSeed = "1"

// TestMain sets the seed of rapid unless -rapid.seed or RAPID_SEED is given.
func TestMain(main *testing.M) {
	flag.Parse()
	if err := defaulter.Set("rapid.seed", "RAPID_SEED", defaultSeed); err != nil {
		panic(err)
	}
	os.Exit(main.Run())
}
