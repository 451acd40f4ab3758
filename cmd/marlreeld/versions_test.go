package main

import (
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
)

// internal/tools/sidebyside sets these environment variables to run two versions side by side.
const (
	// otherProgramVariable names the test program of another version of this package.
	otherProgramVariable = "MARLREELD_OTHER_PROGRAM"
	// otherFirstVariable, if set, makes the other version the first in turn.
	otherFirstVariable = "MARLREELD_OTHER_FIRST"
)

// versions are the programs from which processes are started in turn.
type versions struct {
	mu       sync.Mutex
	programs []string // one, or two
	starts   int
}

func readVersions(t *testing.T) *versions {
	t.Helper()
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	v := &versions{programs: []string{own}}
	if other := os.Getenv(otherProgramVariable); other != "" {
		v.programs = append(v.programs, other)
	}
	if os.Getenv(otherFirstVariable) != "" {
		slices.Reverse(v.programs)
	}
	return v
}

// next returns the program for the next start.
func (v *versions) next() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.starts++
	return v.programs[v.starts%len(v.programs)]
}

// rollTo ends each process by SIGTERM and starts it from a program: the control processes one after the other, and the
// machines at the edge in two halves, as a proxy takes long to drain.
func (s *testSystem) rollTo(program string) {
	s.t.Helper()
	for _, c := range s.controls {
		s.replace(program, c)
		s.awaitChain(c.settings.NodeName+" is back; all are in the chain", controlCount)
	}
	for half := range slices.Chunk(s.edges, len(s.edges)/2) {
		s.replace(program, half...)
		for _, p := range half {
			if p.role == "proxy" {
				s.await(p.settings.NodeName+" serves again", func() bool { return s.sendRequest(p, "slip") == http.StatusOK })
			}
		}
	}
}

// replace ends processes by SIGTERM, and starts them from a program.
func (s *testSystem) replace(program string, processes ...*process) {
	s.t.Helper()
	for _, p := range processes {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range processes {
		if err := p.command.Wait(); err != nil {
			s.t.Errorf("%s %s ended with %v after SIGTERM", p.settings.NodeName, p.role, err)
		}
		p.command = nil
		p.program = func() string { return program }
		p.start()
	}
}

// evacuateAndRestore evacuates a zone and restores it, repeating each call until it is acknowledged.
func (s *testSystem) evacuateAndRestore(zone string) {
	for _, order := range []string{"begin", "terminate"} {
		s.await("the order to "+order+" the evacuation of "+zone+" is committed", func() bool {
			return slices.ContainsFunc(s.controls, func(c *process) bool {
				code, _ := s.call(c.settings.Listen.Control, http.MethodPost, "/marlreel/evacuation/"+zone+"/"+order, "", "")
				return code == http.StatusOK
			})
		})
	}
}

// Guards against failures during a rolling upgrade under requests, configuration changes and evacuations. If another
// version is given, the system is upgraded to it, rolled back and upgraded again. Otherwise all processes are restarted.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	all := readVersions(t).programs
	s := startSystemFrom(t, &versions{programs: all[:1]})
	s.await("the first configuration is committed", func() bool {
		code, _ := s.call(s.controls[0].settings.Listen.Control, http.MethodPost, "/marlreel/config/replace", "0", testDocument(1, "first"))
		return code == http.StatusOK
	})
	s.awaitChain("all five are in the chain", controlCount)
	for _, p := range s.proxies() {
		s.await(p.settings.NodeName+" serves", func() bool { return s.sendRequest(p, "slip") == http.StatusOK })
	}
	steps := []func(){
		func() { s.changeConfiguration(0) },
		func() { s.changeConfiguration(1) },
		func() { s.evacuateAndRestore(zoneNames[2]) },
	}
	for _, c := range s.controls {
		steps = append(steps, func() { s.readConfiguration(c) })
	}
	for _, p := range s.proxies() {
		steps = append(steps, func() { s.sendRequest(p, "slip") })
	}
	next := []string{all[0]}
	if len(all) > 1 {
		next = []string{all[1], all[0], all[1]}
	}
	whileRunning(func() {
		for _, program := range next {
			s.rollTo(program)
		}
	}, steps...)
	s.await("a change is committed", func() bool { return s.changeConfiguration(0) })
	s.awaitInForce()
	s.checkHistory()
}
