//go:build linux

package fleettest

import (
	"os/exec"
	"testing"

	"marlreel/internal/standin"
)

// Requests that a killed process's backlog took were held against it until the harness heard of its end: on a busy
// machine that is long after the signal.
func TestAProxyIsAwayFromItsKillOn(t *testing.T) {
	t.Parallel()
	cmd := exec.Command("cat") // it reads until it is killed
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	defer input.Close()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	f := &Fleet{Clock: standin.NewClock()}
	p := &Proxy{Name: "n0", fleet: f, cmd: cmd, ended: make(chan struct{})}
	before := f.Clock.Now()
	if p.Away(before, before) {
		t.Error("it is away before it is killed")
	}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		p.Kill()
	}()
	cmd.Wait() // the process is dead, and the harness has not heard of it
	dead := f.Clock.Now()
	if !p.Away(dead, dead) {
		t.Error("a killed proxy is not away")
	}
	if p.died(before, dead) {
		t.Error("its end is noted before it is heard of")
	}
	p.gone(cmd)
	close(p.ended)
	<-returned
	if len(p.away) != 1 || !p.died(before, f.Clock.Now()) {
		t.Errorf("it was away in %v, and died at %v", p.away, p.deaths)
	}
}
