package main

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"time"
)

type tapFunc = func(net.Conn) net.Conn

const shortTask = `{"run_ms":300}`

// warmUp hands jobs in at every host and requires that they complete.
func (c *cell) warmUp(queue string) error {
	ids := map[string]*host{}
	for range 5 {
		for _, h := range c.hosts {
			id, status := c.submit(h, queue, shortTask, 500)
			if status/100 != 2 {
				return fmt.Errorf("warm-up: status %d", status)
			}
			ids[id] = h
		}
	}
	deadline := time.Now().Add(8 * time.Second)
	for id, h := range ids {
		for {
			if _, state := c.state(h, queue, id); state == "completed" {
				break
			}
			if time.Now().After(deadline) {
				return errors.New("warm-up: a job does not complete")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// removedRoute: the store turns one of three hosts away for 4.5 s; meanwhile the operator removes a route, and jobs for it
// are handed in at that host within config_apply_ms of the ack. A job that was accepted has to run.
func removedRoute(c *cell) (int, error) {
	c.publish(route("stays", 3), route("goes", 3))
	if err := c.startHosts(nil); err != nil {
		return 0, err
	}
	if err := c.warmUp("goes"); err != nil {
		return 0, err
	}
	h := c.hosts[2]
	if c.trouble {
		h.door.away.Store(true)
		c.record.line("the store turns %s away", h.name)
	}
	awayUntil := time.Now().Add(4500 * time.Millisecond)
	time.Sleep(time.Second)
	if c.trouble {
		c.publish(route("stays", 3))
	}
	ackAt := time.Now()
	accepted := map[string]time.Time{}
	for time.Since(ackAt) < 2300*time.Millisecond {
		if id, status := c.submit(h, "goes", shortTask, 500); status/100 == 2 {
			accepted[id] = time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Until(awayUntil))
	h.door.away.Store(false)
	c.record.line("the store serves %s again", h.name)
	if len(accepted) == 0 {
		return 0, errors.New("no job was accepted")
	}
	// The rule allows 3 s. The workers are all but idle meanwhile.
	time.Sleep(20 * time.Second)
	if err := c.warmUp("stays"); err != nil {
		return 0, err
	}
	broken := 0
	for id, at := range accepted {
		if c.record.of(taskName(id, 0)).starts == 0 {
			broken++
			c.record.line("LOST: job %s was accepted %.1f s ago and has never run", id, time.Since(at).Seconds())
		}
	}
	c.record.line("%d jobs were accepted on the removed route, %d of them never ran", len(accepted), broken)
	return broken, nil
}

// crashes: one of eight workers crashes and is back after 4.5 s, again and again. No task ever ends as failed, so no job may
// be shown as failed.
func crashes(c *cell) (int, error) {
	c.publish(route("work", 3))
	if err := c.startHosts(nil); err != nil {
		return 0, err
	}
	if err := c.warmUp("work"); err != nil {
		return 0, err
	}
	const inFlight = 5
	open, broken := map[string]struct{}{}, 0
	random := rand.New(rand.NewSource(1))
	begin, nextCrash := time.Now(), time.Now().Add(3*time.Second)
	var down *worker
	var upAt time.Time
	for time.Since(begin) < 80*time.Second {
		for len(open) < inFlight && time.Since(begin) < 55*time.Second {
			id, status := c.submit(c.hosts[random.Intn(3)], "work", `{"run_ms":20000}`, 12000)
			if status/100 != 2 {
				return 0, fmt.Errorf("status %d", status)
			}
			open[id] = struct{}{}
		}
		if down != nil && time.Now().After(upAt) {
			if err := down.start(); err != nil {
				return 0, err
			}
			down = nil
		}
		if c.trouble && down == nil && time.Now().After(nextCrash) {
			down, upAt, nextCrash = c.workers[random.Intn(len(c.workers))], time.Now().Add(4500*time.Millisecond), time.Now().Add(4700*time.Millisecond)
			down.crash()
		}
		for id := range open {
			status, state := c.state(c.hosts[0], "work", id)
			if status != http.StatusOK || state == "queued" || state == "running" {
				continue
			}
			delete(open, id)
			seen := c.record.of(taskName(id, 0))
			c.record.line("job %s is shown as %s; starts %d, ends %v", id, state, seen.starts, seen.ends)
			if state == "failed" && seen.ends["failed"] == 0 {
				broken++
				c.record.line("LOST: job %s is shown as failed, and none of its runs ended as failed", id)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return broken, nil
}

// attempts: one open connection between the scheduler's host and the store goes silent, the one on which it waits for the
// configuration. The operator adds a route, and a job that fails at each attempt is handed in at another host. It may be
// started max_attempts times.
func attempts(c *cell) (int, error) {
	const maxAttempts = 3
	taps := &tapList{}
	c.publish(route("stays", maxAttempts))
	if err := c.startHosts(taps.wrap); err != nil {
		return 0, err
	}
	if err := c.warmUp("stays"); err != nil {
		return 0, err
	}
	if c.trouble {
		c.record.line("%d connections of the scheduler's host to the store go silent", taps.silence("keyed.op"))
	}
	time.Sleep(200 * time.Millisecond)
	c.publish(route("stays", maxAttempts), route("added", maxAttempts))
	ackAt := time.Now()
	var ids []string
	for len(ids) < 5 && time.Since(ackAt) < 1500*time.Millisecond {
		if id, status := c.submit(c.hosts[1], "added", `{"run_ms":100,"fails":true}`, 500); status/100 == 2 {
			ids = append(ids, id)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(ids) == 0 {
		return 0, errors.New("no job was accepted")
	}
	time.Sleep(20 * time.Second)
	broken := 0
	for _, id := range ids {
		seen := c.record.of(taskName(id, 0))
		_, state := c.state(c.hosts[1], "added", id)
		c.record.line("job %s is shown as %s after %d starts; %d ends as failed were taken note of", id, state, seen.starts, seen.noted["failed"])
		if seen.failedBefore >= maxAttempts && seen.noted["failed"] >= seen.failedBefore {
			broken++
			c.record.line("BUDGET: job %s was started after %d runs had ended as failed, max_attempts is %d", id, seen.failedBefore, maxAttempts)
		}
	}
	return broken, nil
}

// taskName returns the name of a task of the first step of a job without occurrences.
func taskName(id string, index int) string { return fmt.Sprintf("%s.0.0.%d", id, index) }
