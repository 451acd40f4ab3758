//go:build linux

package fleettest

import (
	"os/exec"
	"testing"

	"marlreel/internal/standin"
)

// A killed proxy counts as away from the signal on. If it did so only once the harness sees the exit, which on a busy
// machine is much later, the auditor would blame it for requests that only the backlog of the killed process accepted.
func TestProxyIsAwayFromKillSignal(t *testing.T) {
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
		t.Error("the proxy is away before it is killed")
	}
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		p.Kill()
	}()
	cmd.Wait() // the process has ended, but the harness has not recorded that
	dead := f.Clock.Now()
	if !p.Away(dead, dead) {
		t.Error("a killed proxy is not away")
	}
	if p.died(before, dead) {
		t.Error("the end of the process is recorded too early")
	}
	p.recordExit(cmd)
	close(p.ended)
	<-returned
	if len(p.away) != 1 || !p.died(before, f.Clock.Now()) {
		t.Errorf("away in %v, ended at %v, want one period and one end", p.away, p.deaths)
	}
}
