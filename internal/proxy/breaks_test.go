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

// breaking is a node whose connections break as the network says.
func breaking(t *testing.T, id string, journal *standin.Journal, w standin.Network) *standin.Node {
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

// noBidTwice holds what nodes saw against the rule.
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

// rounds plays a listing, a pause and a bid again and again, and gives the bids that failed.
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

// Kept connections that stood for 50 ms are reset at their next request. Without a model
// of it every bid after a pause is lost; with one, the first few teach it.
func TestStaleConnectionsCostFewBids(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := breaking(t, "s-1", j, standin.Network{StaleAfter: 50 * time.Millisecond, StaleRate: 1})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())))
	const all = 60
	if failed := rounds(t, p, all, 70*time.Millisecond, "x"); len(failed) > all/5 {
		t.Errorf("%d of %d bids failed: %v", len(failed), all, failed)
	}
	noBidTwice(t, j)
}

// A backend that resets a kept connection as its next request begins to come has not run
// it: the last byte was not written yet. Once that is known to happen, no bid is lost.
func TestBreakBeforeTheLastByteProvesThatNothingRan(t *testing.T) {
	t.Parallel()
	var whole atomic.Int64 // bids whose last byte came
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
					whole.Add(1)
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
	if n := whole.Load(); n > all {
		t.Errorf("%d bids came whole, of %d", n, all)
	}
}

// Every backend resets half of the large requests in the middle of their bodies. Nothing
// of those has run: each goes to another one, until one takes it whole.
func TestBreakInTheMiddleOfABody(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	var list []platformwatch.Instance
	for i := range 4 {
		id := fmt.Sprintf("s-%d", i)
		list = append(list, ready(id, breaking(t, id, j, standin.Network{BodyRate: 0.5}).Addr()))
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
	if late > all/4 { // a sixteenth meets four that reset it; without the proof half would fail
		t.Errorf("%d of the last %d large bids failed: %v", late, all*3/4, failed)
	}
	noBidTwice(t, j)
}

// Where new connections are reset in one first request in five and kept ones are not,
// kept ones are what bids get.
func TestNewConnectionsThatBreak(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := breaking(t, "s-1", j, standin.Network{NewRate: 0.2})
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

// Something between drops connections that stood for 600 ms, without a word. What is
// written to them vanishes; the backend answers others. Long idle ones are left alone
// after some such silences.
func TestMiddlebox(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := breaking(t, "s-1", j, standin.Network{DropAfter: 600 * time.Millisecond})
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
		// Others are answered meanwhile, on connections of their own.
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

// On a calm day connections are kept as before: not one more handshake in a hundred requests.
func TestCalmDaysCostNoHandshakes(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	n := breaking(t, "s-1", j, standin.Network{})
	p := start(t, testConfig(t, closedAddr(t), ready("s-1", n.Addr())))
	if failed := rounds(t, p, 150, 0, "x"); len(failed) != 0 {
		t.Errorf("bids failed: %v", failed)
	}
	if got := j.Records().Connections; got > 3 {
		t.Errorf("%d handshakes for 300 requests one after the other", got)
	}
}

// Where connections break by themselves, a backend that dies is still out soon, and its
// requests go elsewhere.
func TestDeathAmongBreaks(t *testing.T) {
	t.Parallel()
	j := &standin.Journal{}
	w := standin.Network{StaleAfter: time.Nanosecond, StaleRate: 0.3}
	var nodes []*standin.Node
	for i := range 3 {
		nodes = append(nodes, breaking(t, fmt.Sprintf("s-%d", i), j, w))
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
	listings() // which teaches how usual breaks are
	usual := listings()
	if text := p.log.String(); strings.Contains(text, "ejected") {
		t.Errorf("a living backend was ejected: %s", text)
	}
	nodes[0].Die()
	if bad := listings(); bad > usual+12 {
		t.Errorf("%d of 60 listings failed after a death, %d before it", bad, usual)
	}
	noBidTwice(t, j)
}
