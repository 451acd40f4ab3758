// Command standin-2 holds the stand-ins of the second review: a server of the users' protocol, clients and an operator,
// and the cases that play them against the programs of the deploy file. review/build-2.sh builds it.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout ends a case that takes too long.
const caseTimeout = 110 * time.Second

// play runs one case. It reports whether the rule was broken.
type play func(s *system, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"upload": playUpload, "shed": playShed,
	"freeze": playFreeze,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		serveBackend(os.Args[2:])
		return
	}
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "the file of the record")
	flag.Parse()
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit code.
func run(name, path string, trouble bool) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer file.Close()
	r := newRecord(file)
	r.add("case %s, trouble %v", name, trouble)
	s, err := newSystem(r)
	if err != nil {
		r.add("can't run: %v", err)
		return exitFailed
	}
	defer stopAll()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	type outcome struct {
		broken bool
		err    error
	}
	outcomes := make(chan outcome, 1)
	go func() {
		broken, err := plays[name](s, trouble)
		outcomes <- outcome{broken, err}
	}()
	select {
	case o := <-outcomes:
		return conclude(r, o.broken, o.err)
	case <-stopped:
		return conclude(r, false, errStopped)
	case <-time.After(caseTimeout):
		return conclude(r, false, errTooLong)
	}
}

// conclude records the result of a case and returns its exit code.
func conclude(r *record, broken bool, err error) int {
	switch {
	case broken:
		r.add("BROKEN: the rule was broken")
		return exitBroken
	case err != nil:
		r.add("can't run: %v", err)
		return exitFailed
	}
	r.add("HELD: the rule held")
	return exitHeld
}
