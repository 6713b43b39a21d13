package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/almondcross/almondcross/configurator"
)

func main() {
	output := flag.String("output", "docs/settings.md", "file to write")
	flag.Parse()
	if err := os.WriteFile(*output, []byte(configurator.SettingsPage()), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
