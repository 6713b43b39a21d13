package main

import (
	"errors"
	"net/http"
	"time"
)

// tokens: one of eight workers resets two calls in five, again and again for 6.5 s, while there is more work than room. Once
// all workers are sound again and no work comes any more, every accepted job has to complete.
func tokens(c *cell) (int, error) {
	const (
		waves    = 9
		waveTime = 6500 * time.Millisecond
		pause    = 300 * time.Millisecond
		backlog  = 30 // backlog is the number of open jobs that the consumers keep.
		tasks    = 40
	)
	c.publish(route("work", 30))
	if err := c.startHosts(nil); err != nil {
		return 0, err
	}
	if err := c.warmUp("work"); err != nil {
		return 0, err
	}
	grey := c.workers[3]
	open := map[string]struct{}{}
	poll := func() {
		for id := range open {
			if status, state := c.state(c.hosts[0], "work", id); status == http.StatusOK && state != "queued" && state != "running" {
				delete(open, id)
			}
		}
	}
	accepted := 0
	for range waves {
		if c.trouble {
			grey.setGrey(0.4)
		}
		for begin := time.Now(); time.Since(begin) < waveTime; {
			for len(open) < backlog {
				if id, status := c.submitWide(c.hosts[accepted%3], "work", `{"run_ms":400}`, 500, tasks); status/100 == 2 {
					open[id] = struct{}{}
					accepted++
				}
			}
			poll()
			time.Sleep(50 * time.Millisecond)
		}
		grey.setGrey(0)
		time.Sleep(pause)
	}
	grey.lock.Lock()
	c.record.line("the highest token that the worker has seen is %d, its low ten bits %d", grey.fence, grey.fence&1023)
	grey.lock.Unlock()
	c.record.line("the traffic ends; %d jobs were accepted, %d are open", accepted, len(open))
	if accepted == 0 {
		return 0, errors.New("no job was accepted")
	}
	for calm := time.Now(); time.Since(calm) < 25*time.Second && len(open) > 0; {
		poll()
		time.Sleep(100 * time.Millisecond)
	}
	for id := range open {
		_, state := c.state(c.hosts[0], "work", id)
		missing := 0
		for index := range tasks {
			if c.record.of(taskName(id, index)).ends["done"] == 0 {
				missing++
			}
		}
		c.record.line("LOST: job %s is shown as %s, %d of its tasks have not ended done, and nothing of it has run for long", id, state, missing)
	}
	return len(open), nil
}
