// Command standin plays a case of the review: it starts the project's hosts as processes, plays the platform's store, the
// workers, the operator and the consumers, and checks one rule. Its arguments are the case and the folder for record.txt.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	cases := map[string]func(c *cell) (broken int, err error){
		"removed-route": removedRoute, "crashes": crashes, "attempts": attempts, "tokens": tokens,
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Println("no such case")
		os.Exit(exitFailed)
	}
	os.Exit(run1(play, os.Args[2]))
}

func run1(play func(c *cell) (int, error), folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	c, err := newCell(dir, record, 8)
	if err != nil {
		fmt.Println(err)
		return exitFailed
	}
	defer c.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		c.stop()
		_ = os.RemoveAll(dir)
		os.Exit(exitFailed)
	}()
	broken, err := play(c)
	switch {
	case err != nil:
		record.line("the case could not run: %s", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken > 0:
		record.line("RULE BROKEN: %d", broken)
		fmt.Println("rule broken:", broken)
		return exitBroken
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// startHosts starts three hosts, the first one alone, so that it is the scheduler.
func (c *cell) startHosts(tap tapFunc) error {
	for index, zone := range []string{"kamloops-a", "vernon-b", "vernon-b"} {
		var wrap tapFunc
		if index == 0 {
			wrap = tap
		}
		if _, err := c.startHost(fmt.Sprintf("front-%s-%d", zone, index+1), zone, wrap); err != nil {
			return err
		}
		if index == 0 {
			time.Sleep(4 * time.Second)
		}
	}
	if err := c.awaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	return nil
}
