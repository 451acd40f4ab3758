package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/standin"
	"marlreel/internal/standin/machine"
)

// unreliableNode starts a node whose connections break as configured by w.
func unreliableNode(t *testing.T, id string, journal *standin.Journal, w standin.Network) *standin.Node {
	t.Helper()
	addr, err := standin.Address()
	if err != nil {
		t.Fatal(err)
	}
	n, err := standin.StartNode(standin.NodeConfig{
		ID: id, Zone: "koper", Warm: true, Journal: journal,
		Machine: machine.Config{Cores: 8, Speed: 1, Slots: 64, Queue: 64},
		Demand:  func(string, string) (machine.Job, bool) { return machine.Job{Work: time.Millisecond}, true },
		Paths:   []standin.Path{{Addr: addr}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	n.Network(w)
	return n
}

// noBidTwice checks that no bid was sent again after it may have run.
func noBidTwice(t *testing.T, j *standin.Journal) {
	t.Helper()
	ran := map[string]int{}
	for _, s := range j.Records().Sends {
		if s.Class == "bid" && s.Effect != standin.TurnedAway {
			if ran[s.ID]++; ran[s.ID] > 1 {
				t.Errorf("bid %s was sent again after it may have run", s.ID)
			}
		}
	}
}

// rounds sends a listing, pauses and sends a bid, n times, and returns the bids that failed.
func rounds(t *testing.T, p *running, n int, pause time.Duration, body string) (failed []int) {
	t.Helper()
	for i := range n {
		do(t, newRequest(t, p, "lot-list", ""))
		time.Sleep(pause)
		if status, _, _ := do(t, newRequest(t, p, "bid", body)); status != http.StatusOK {
			failed = append(failed, i)
		}
	}
	return failed
}

// Idle connections older than 50 ms are reset at their next request. A proxy that doesn't learn this
// loses every bid after a pause; one that does loses only the first few.
func TestStaleConnectionsCostFewBids(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := unreliableNode(t, "s-1", j, standin.Network{StaleAfter: 50 * time.Millisecond, StaleRate: 1})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())))
	const all = 60
	if failed := rounds(t, p, all, 70*time.Millisecond, "x"); len(failed) > all/5 {
		t.Errorf("%d of %d bids failed: %v", len(failed), all, failed)
	}
	noBidTwice(t, j)
}

// A backend that resets a kept-alive connection at the first bytes of a request has not run it, because
// the last byte was not written yet. Once the proxy has learned that this happens, no bid is lost.
func TestBreakBeforeTheLastByteProvesThatNothingRan(t *testing.T) {
	t.Parallel()
	var complete atomic.Int64 // bids received completely
	serve := func(breaks bool) string {
		return rawBackend(t, func(c net.Conn, in *bufio.Reader) {
			for first := true; ; first = false {
				if _, err := in.Peek(1); err != nil {
					return
				}
				if breaks && !first {
					c.(*net.TCPConn).SetLinger(0)
					return
				}
				r, ok := readRequest(in)
				if !ok {
					return
				}
				if strings.HasPrefix(r.URL.Path, "/bid") {
					complete.Add(1)
				}
				io.WriteString(c, okAnswer)
			}
		})
	}
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", serve(true)), ready("s-2", serve(true)), ready("s-3", serve(false))))
	const all = 60
	failed := rounds(t, p, all, 0, "x")
	if len(failed) > all/4 || len(failed) > 0 && failed[len(failed)-1] > all*3/4 {
		t.Errorf("bids failed: %v of %d", failed, all)
	}
	if n := complete.Load(); n > all {
		t.Errorf("%d bids were received completely, of %d", n, all)
	}
}

// Every backend resets half of the large requests in the middle of their bodies. None of those
// requests has run, so each is retried on another backend until one receives it completely.
func TestBreakInTheMiddleOfABody(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	var list []platformwatch.Instance
	for i := range 4 {
		id := fmt.Sprintf("s-%d", i)
		list = append(list, ready(id, unreliableNode(t, id, j, standin.Network{BodyRate: 0.5}).Addr()))
	}
	p := start(t, testConfig(t, closedAddr(t), list...))
	const all = 80
	failed := rounds(t, p, all, 0, strings.Repeat("x", 60<<10))
	late := 0
	for _, i := range failed {
		if i >= all/4 {
			late++
		}
	}
	if late > all/4 { // one in sixteen is reset by all four; without retries half would fail
		t.Errorf("%d of the last %d large bids failed: %v", late, all*3/4, failed)
	}
	noBidTwice(t, j)
}

// One in five new connections is reset at its first request and kept-alive ones are not, so bids must
// go out on kept-alive connections.
func TestNewConnectionsThatBreak(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := unreliableNode(t, "s-1", j, standin.Network{NewRate: 0.2})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())))
	const all = 60
	if failed := rounds(t, p, all, 0, "x"); len(failed) > all/6 {
		t.Errorf("%d of %d bids failed", len(failed), all)
	}
	if got := j.Records().Connections; got > all/3 {
		t.Errorf("%d handshakes for %d requests", got, 2*all)
	}
	noBidTwice(t, j)
}

// A middlebox silently drops connections that were idle for 600 ms. What is written to them is lost, while the
// backend answers on others. After a few such silences the proxy must stop using connections that were idle for long.
func TestMiddlebox(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := unreliableNode(t, "s-1", j, standin.Network{DropAfter: 600 * time.Millisecond})
	cfg := testConfig(t, closedAddr(t), ready("s-1", n.Addr()))
	for i := range cfg.Settings.Classes {
		cfg.Settings.Classes[i].LatencyTarget, cfg.Settings.Classes[i].ClientTimeout = 300*time.Millisecond, 2*time.Second
	}
	p := start(t, cfg)
	const all = 14
	lost := 0
	for i := range all {
		do(t, newRequest(t, p, "lot-list", ""))
		time.Sleep(650 * time.Millisecond)
		answered := make(chan int, 1)
		go func() {
			status, _, _ := do(t, newRequest(t, p, "bid", "x"))
			answered <- status
		}()
		// Other requests are answered meanwhile, on other connections.
		time.Sleep(30 * time.Millisecond)
		do(t, newRequest(t, p, "lot-list", ""))
		do(t, newRequest(t, p, "lot-list", ""))
		status := receive(t, answered, "the bid's answer")
		if status != http.StatusOK && i >= all/2 {
			lost++
		}
	}
	if lost > all/4 {
		t.Errorf("%d of the last %d bids vanished", lost, all-all/2)
	}
	noBidTwice(t, j)
}

// Without network faults connections are kept alive: 300 sequential requests need at most 3 handshakes.
func TestHealthyNetworkNeedsFewHandshakes(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := unreliableNode(t, "s-1", j, standin.Network{})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())))
	if failed := rounds(t, p, 150, 0, "x"); len(failed) != 0 {
		t.Errorf("bids failed: %v", failed)
	}
	if got := j.Records().Connections; got > 3 {
		t.Errorf("%d handshakes for 300 requests one after the other", got)
	}
}

// Where connections break by themselves, a backend that fails is still ejected soon, and its
// requests go to others.
func TestFailedBackendAmongConnectionBreaks(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	w := standin.Network{StaleAfter: time.Nanosecond, StaleRate: 0.3}
	var nodes []*standin.Node
	for i := range 3 {
		nodes = append(nodes, unreliableNode(t, fmt.Sprintf("s-%d", i), j, w))
	}
	p := start(t, testConfig(t, closedAddr(t), ready("s-0", nodes[0].Addr()), ready("s-1", nodes[1].Addr()), ready("s-2", nodes[2].Addr())))
	listings := func() (bad int) {
		for range 60 {
			if status, _, _ := do(t, newRequest(t, p, "lot-list", "")); status != http.StatusOK {
				bad++
			}
		}
		return bad
	}
	listings() // lets the proxy learn how frequent breaks are
	usual := listings()
	if text := p.log.String(); strings.Contains(text, "ejected") {
		t.Errorf("a working backend was ejected: %s", text)
	}
	nodes[0].Die()
	if bad := listings(); bad > usual+12 {
		t.Errorf("%d of 60 listings failed after a backend failed, %d before", bad, usual)
	}
	noBidTwice(t, j)
}
