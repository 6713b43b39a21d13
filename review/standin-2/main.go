package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a case; run.sh needs a few seconds more.
const maxDuration = 110 * time.Second

// options are the flags of the command.
type options struct {
	scenario, folder, work, template string
	// trouble is unset if the case is to run without its disruption.
	trouble bool
}

func main() {
	var options options
	flag.StringVar(&options.scenario, "case", "", "the name of the case")
	flag.StringVar(&options.folder, "folder", ".", "the folder with the job bodies, which gets the record")
	flag.StringVar(&options.work, "work", "", "the folder for the settings of the hosts")
	flag.StringVar(&options.template, "template", "", "the template of the settings")
	flag.Parse()
	options.trouble = os.Getenv("TROUBLE") != "0"
	broken, err := run(options)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// run plays a case and reports whether the rule was broken.
func run(options options) (bool, error) {
	play, known := scenarios[options.scenario]
	if !known {
		return false, errors.Errorf("no case %q", options.scenario)
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	record, err := newRecord(filepath.Join(options.folder, "record.txt"))
	if err != nil {
		return false, errors.Trace(err)
	}
	defer record.close()
	record.line("case %s, trouble %t", options.scenario, options.trouble)
	cell, err := newCell(ctx, options, record)
	if err != nil {
		return false, errors.Trace(err)
	}
	broken, err := play(ctx, cell)
	switch {
	case err != nil:
		record.line("not run: %v", err)
	case broken:
		record.line("BROKEN")
	default:
		record.line("held")
	}
	return broken, errors.Trace(err)
}

// pause waits, and reports false if the context ends first.
func pause(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
