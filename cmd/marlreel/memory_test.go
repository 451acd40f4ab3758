package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// figure is a line of the figures of a process, behind its name.
func (q *process) figure(t *testing.T, name string) string {
	t.Helper()
	resp, err := http.Get("http://" + q.control + "/control/counters")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(text)) {
		if v, found := strings.CutPrefix(strings.TrimSpace(line), "proxy."+name+":"); found {
			return v
		}
	}
	return ""
}

// ask asks once on a connection of its own.
func (p *platform) ask(n int) {
	p.t.Helper()
	c, err := net.Dial("tcp4", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET /lot-list/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: a\r\nX-Time-Left: 1000m\r\nX-Correlation-Id: %016x\r\n\r\n", n)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		p.t.Fatal(err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
}

// A process that starts beside another one knows from its yes on which node is out there, and
// learns so without a request of its own. One that can't ask starts all the same.
func TestTheNextProcessRemembers(t *testing.T) {
	p := newPlatform(t, 5)
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := dead.Addr().String()
	dead.Close() // nobody listens there
	p.list(p.instances[0].HostPort, p.instances[1].HostPort, addr)
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	probing := strings.Replace(string(text), `"MaxAttempts":4`, `"MaxAttempts":4,"Probes":true`, 1)
	if err := os.WriteFile(p.config, []byte(probing), 0o600); err != nil {
		t.Fatal(err)
	}
	old := p.start(p.dir)
	p.ready(old)
	n := 0
	for until := time.Now().Add(patience); old.figure(t, "ejected") != "1|g"; n++ {
		if time.Now().After(until) {
			t.Fatalf("the dead node is not out: %s", old.figure(t, "ejected"))
		}
		p.ask(n + 1)
	}
	next := p.start(p.dir)
	p.ready(next)
	for until := time.Now().Add(patience); next.figure(t, "ejected") != "1|g"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("the next process has not heard of the dead node: %s", next.log.String())
			break
		}
	}
	if got := next.figure(t, "forwards"); got != "0|c" {
		t.Errorf("it has sent %s by then", got)
	}
	p.stop(old)
	p.stop(next)
	if !strings.Contains(next.log.String(), "restored the state of process") {
		t.Errorf("not a word of what was taken over: %s", next.log.String())
	}
}

// A process that is stuck holds up no start for longer than a part of a second; and it is
// answered for by who starts.
func TestAStuckProcessHoldsUpNoStart(t *testing.T) {
	p := newPlatform(t, 6)
	old := p.start(p.dir)
	p.ready(old)
	old.cmd.Process.Signal(syscall.SIGSTOP)
	next := p.start(p.dir)
	p.ready(next)
	old.cmd.Process.Signal(syscall.SIGCONT)
	p.stop(old)
	p.stop(next)
	if !strings.Contains(next.log.String(), "got no state from process") {
		t.Errorf("not a word of what could not be taken over: %s", next.log.String())
	}
}
