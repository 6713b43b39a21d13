package defaulter

import (
	"flag"
	"fmt"
	"os"

	"github.com/juju/errors"
)

// Set sets a flag unless the command line or the environment variable sets it, and prints its value. The flags must have been parsed.
// It fails if the flag is unknown or does not take the value.
func Set(name, variable, value string) error {
	_, given := os.LookupEnv(variable)
	flag.Visit(func(set *flag.Flag) { given = given || set.Name == name })
	if !given {
		if err := flag.Set(name, value); err != nil {
			return errors.Annotatef(err, "default of flag %s", name)
		}
	}
	fmt.Printf("-%s=%s\n", name, flag.Lookup(name).Value)
	return nil
}
