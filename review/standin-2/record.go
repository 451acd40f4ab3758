package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

var (
	errTooLong = errors.New("the case takes too long")
	errStopped = errors.New("the case was stopped")
)

// record writes what is sent, answered and run, with the time since its start.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	began time.Time
	runs  map[string][]string // the servers that have begun work on a request, by its id
}

func newRecord(out io.Writer) *record {
	return &record{out: out, began: time.Now(), runs: map[string][]string{}}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.out, line)
	fmt.Print(line)
}

// addServerLine records a line of a server's output. "run ID" says that the server has begun work on a request.
func (r *record) addServerLine(server, line string) {
	if id, isRun := strings.CutPrefix(line, "run "); isRun {
		r.mu.Lock()
		r.runs[id] = append(r.runs[id], server)
		r.mu.Unlock()
	}
	r.add("server %s: %s", server, line)
}

// runsOf returns the servers that have begun work on a request.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}

// awaitRun waits until a server has begun work on a request, and returns that server.
func (r *record) awaitRun(id string, wait time.Duration) (server string, begun bool) {
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if runs := r.runsOf(id); len(runs) > 0 {
			return runs[0], true
		}
	}
	return "", false
}
