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

// metric returns the value of a metric of a process, or "" if it is missing.
func (q *process) metric(t *testing.T, name string) string {
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

// ask sends one request on a new connection.
func (p *platform) ask(n int) {
	p.t.Helper()
	c, err := net.Dial("tcp4", p.addr)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitTimeout))
	fmt.Fprintf(c, "GET /lot-list/x HTTP/1.1\r\nHost: origin.svc\r\nX-Account: a\r\nX-Time-Left: 1000m\r\nX-Correlation-Id: %016x\r\n\r\n", n)
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		p.t.Fatal(err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
}

// A process that starts next to another one knows from the moment it is ready which node is ejected there,
// without having sent a request itself.
func TestNextProcessTakesOverLearnedState(t *testing.T) {
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
	for until := time.Now().Add(waitTimeout); old.metric(t, "ejected") != "1|g"; n++ {
		if time.Now().After(until) {
			t.Fatalf("the dead node is not ejected: %s", old.metric(t, "ejected"))
		}
		p.ask(n + 1)
	}
	next := p.start(p.dir)
	p.ready(next)
	for until := time.Now().Add(waitTimeout); next.metric(t, "ejected") != "1|g"; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Errorf("the next process does not know that the dead node is ejected: %s", next.log.String())
			break
		}
	}
	if got := next.metric(t, "forwards"); got != "0|c" {
		t.Errorf("it had already sent %s requests", got)
	}
	p.stop(old)
	p.stop(next)
	if !strings.Contains(next.log.String(), "restored the state of process") {
		t.Errorf("the restored state is not logged: %s", next.log.String())
	}
}

// A stuck process delays the start of another one by no more than a fraction of a second, and the failure to get its
// state is logged.
func TestStuckProcessDoesNotDelayStart(t *testing.T) {
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
		t.Errorf("the failure to fetch the state is not logged: %s", next.log.String())
	}
}
