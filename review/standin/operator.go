package main

import (
	"errors"
	"strconv"
	"time"
)

// errNotTaken means that a configuration was not acknowledged in time.
var errNotTaken = errors.New("the configuration was not acknowledged")

// configure sends a change until it is acknowledged, to one core machine after the other, and returns when that was.
func (c *cluster) configure(path string, base int, body string, patience time.Duration) (time.Time, error) {
	headers := map[string]string{"Base-Version": strconv.Itoa(base), "Content-Type": "application/json"}
	until := time.Now().Add(patience)
	for target := 0; time.Now().Before(until); target++ {
		status, reply, err := call("POST", c.control(target), path, headers, body, time.Second)
		c.rec.line("operator: %s on version %d: status %d %v", path, base, status, err)
		if err == nil && status == 200 {
			return time.Now(), nil
		}
		if status == 400 || status == 412 {
			c.rec.line("operator: %s", reply)
			return time.Time{}, errNotTaken
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, errNotTaken
}

// awaitReady waits until all edge machines are ready.
func (c *cluster) awaitReady(patience time.Duration) bool {
	until := time.Now().Add(patience)
	for time.Now().Before(until) {
		ready := 0
		for i := range c.edges {
			if c.isReady(i) {
				ready++
			}
		}
		if ready == len(c.edges) {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
