package standin

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// Each network fault as the other side sees it, and none of them before it is set or after
// it is removed.
func TestNetwork(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	n := startNode(t, cfg)
	last := 0
	id := func() string { last++; return fmt.Sprintf("%016x", last) }
	ok := func(p *peer) {
		t.Helper()
		if status, _, _ := p.ask(t, "GET", "/lot-list/7", id()); status != 200 {
			t.Errorf("answered %d", status)
		}
	}
	calm := dial(t, n.Addr())
	ok(calm)
	time.Sleep(60 * time.Millisecond)
	ok(calm)

	n.Network(Network{StaleAfter: 50 * time.Millisecond, StaleRate: 1})
	p := dial(t, n.Addr())
	ok(p) // the first request on a connection is no reuse
	time.Sleep(60 * time.Millisecond)
	stale := id()
	p.send(t, "POST", "/bid/7", stale)
	if !p.ends(t) {
		t.Error("a stale connection was closed without a reset")
	}
	found := false
	for _, s := range cfg.Journal.Records().Sends {
		found = found || s.ID == stale && s.Effect == Ran
	}
	if !found {
		t.Error("a request that may have run is not in the journal as such")
	}

	n.Network(Network{NewRate: 1})
	p = dial(t, n.Addr())
	p.send(t, "GET", "/lot-list/7", id())
	if !p.ends(t) {
		t.Error("a new connection was closed without a reset")
	}

	n.Network(Network{CloseRate: 1})
	p = dial(t, n.Addr())
	ok(p)
	if p.ends(t) {
		t.Error("a connection that CloseRate closes after an answer was reset")
	}

	n.Network(Network{BodyRate: 1})
	p = dial(t, n.Addr())
	fmt.Fprintf(p, "POST /bid/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %s\r\nContent-Length: 40000\r\n\r\n%s", id(), strings.Repeat("x", 30000))
	if !p.ends(t) {
		t.Error("a connection cut in a request body was closed without a reset")
	}

	n.Network(Network{DropAfter: 50 * time.Millisecond})
	p = dial(t, n.Addr())
	ok(p)
	time.Sleep(60 * time.Millisecond)
	dropped := id()
	p.send(t, "GET", "/lot-list/7", dropped)
	p.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := p.in.ReadByte(); err == nil {
		t.Error("a dropped connection sent an answer")
	} else if ne, timeout := err.(net.Error); !timeout || !ne.Timeout() {
		t.Errorf("a dropped connection ended: %v", err)
	}
	for _, s := range cfg.Journal.Records().Sends {
		if s.ID == dropped {
			t.Error("a request written to a dropped connection arrived")
		}
	}

	n.Network(Network{})
	p = dial(t, n.Addr())
	ok(p)
	time.Sleep(60 * time.Millisecond)
	ok(p)
}

// Addresses are reserved for this process, so that a concurrent run can't take one before it is used.
func TestAddressesAreReserved(t *testing.T) {
	seen := map[string]bool{}
	for range 3000 {
		a, b, err := AddressPair(1000)
		if err != nil {
			t.Fatal(err)
		}
		if seen[a] || seen[b] || a == b {
			t.Fatalf("%s or %s was given out before", a, b)
		}
		seen[a], seen[b] = true, true
	}
	if ports.kept == nil {
		t.Skip("this system has only one loopback address")
	}
	if l, err := net.Listen("tcp4", ports.prefix+"1:14999"); err == nil {
		l.Close()
		t.Error("another process could reserve the same block")
	}
}
