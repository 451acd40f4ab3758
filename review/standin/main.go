// Command standin plays the cases of the review (review/REPORT.md): it starts the project's own programs as separate
// processes on loopback addresses, with stand-ins for the clients, the backends, the operator and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is the exit status of a case.
type verdict int

const (
	held        verdict = 0
	broken      verdict = 1
	couldNotRun verdict = 2
)

var errNotReady = errors.New("the system did not become ready")

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(int(couldNotRun))
	}
	os.Exit(int(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0")))
}

// edgesOf is how many edge machines a case has.
var edgesOf = map[string]int{"health": 1, "unframed": 1, "freeze": 4}

// timeLimit is how long a case may take.
const timeLimit = 112 * time.Second

// stopEarly ends the case, with all its processes, when it takes too long or is told to end.
func (c *cluster) stopEarly() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-ended:
	case <-time.After(timeLimit):
	}
	c.rec.line("ended early")
	c.stop()
	os.Exit(int(couldNotRun))
}

// play plays one case.
func play(name, path string, trouble bool) verdict {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer rec.close()
	rec.line("case %s, with its disruption: %t", name, trouble)
	c, err := startCluster(rec, edgesOf[name])
	if c != nil {
		defer c.stop()
		go c.stopEarly()
	}
	result := couldNotRun
	if err == nil {
		switch name {
		case "health":
			result, err = healthCase(c, trouble)
		case "unframed":
			result, err = unframedCase(c, trouble)
		case "freeze":
			result, err = freezeCase(c, trouble)
		default:
			err = errors.New("no such case")
		}
	}
	if err != nil {
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = couldNotRun
	}
	rec.line("verdict: %d (0 held, 1 broken, 2 could not run)", result)
	return result
}
