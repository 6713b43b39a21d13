package cataloguer_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes the property tests reproducible.
const defaultSeed = "1"

// TestMain sets the seed of rapid unless -rapid.seed or RAPID_SEED is given.
func TestMain(main *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "RAPID_SEED", defaultSeed)
	os.Exit(main.Run())
}

// setDefault sets a flag that is given neither on the command line nor in the environment, and prints
// its value.
func setDefault(name, variable, value string) {
	_, given := os.LookupEnv(variable)
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == name })
	if !given {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Printf("-%s=%s\n", name, flag.Lookup(name).Value)
}
