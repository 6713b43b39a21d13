package cell_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the random tests reproducible.
const defaultSeed = "1"

// TestMain sets the seed and the number of histories unless a flag or the environment sets them.
func TestMain(main *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "RAPID_SEED", defaultSeed)
	setDefault("rapid.checks", "RAPID_CHECKS", defaultChecks)
	os.Exit(main.Run())
}

// setDefault sets a flag to a value unless the command line or the environment sets it, and prints the result.
func setDefault(name, variable, value string) {
	_, isSet := os.LookupEnv(variable)
	flag.Visit(func(visited *flag.Flag) { isSet = isSet || visited.Name == name })
	if !isSet {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Printf("-%s=%s\n", name, flag.Lookup(name).Value)
}
