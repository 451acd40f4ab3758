package standin

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"marlreel/internal/standin/machine"
)

func TestServesAndRecordsRequests(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Size = func(string, string) int { return 3000 }
	n := startNode(t, cfg)
	c := dial(t, n.Addr())
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		status, body, _ := c.ask(t, "POST", "/bid/7", id)
		if node, ok := CheckBody(id, body); status != 200 || !ok || node != "s-1" || len(body) != 3000 {
			t.Errorf("status %d, %d bytes, made by %q (valid: %v)", status, len(body), node, ok)
		}
		if _, ok := CheckBody("0000000000000009", body); ok {
			t.Error("CheckBody accepts the body of another request")
		}
	}
	sends := cfg.Journal.Records().Sends
	if len(sends) != 2 || sends[0].Class != "bid" || sends[0].ID != "0000000000000001" || !sends[0].Fresh || sends[1].Fresh ||
		sends[1].Effect != Ran || sends[1].Answered != 200 || sends[1].Ended < sends[1].Whole || sends[1].Attempt != 1 {
		t.Errorf("journal: %+v", sends)
	}
}

func TestRejectsRequestsThatNoClientSent(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Demand = func(id, _ string) (machine.Job, bool) { return machine.Job{Work: time.Millisecond}, id == "1" }
	n := startNode(t, cfg)
	c := dial(t, n.Addr())
	for _, k := range []struct {
		path, id string
		want     int
	}{{"/bid/7", "", 404}, {"/bid/7", "2", 400}, {"/bid/7", "1", 200}, {"/health", "", 404}} {
		if got, _, _ := c.ask(t, "GET", k.path, k.id); got != k.want {
			t.Errorf("%s with id %q: %d, want %d", k.path, k.id, got, k.want)
		}
	}
}

// A duplicate of a key is dropped by all nodes of the group; the key can run again once its window has passed.
func TestKeyedDuplicatesAreDropped(t *testing.T) {
	t.Parallel()
	group := NewGroup(time.Hour)
	cfg, other := testNodeConfig(), testNodeConfig()
	other.ID, cfg.Group, other.Group = "s-2", group, group
	other.Journal = cfg.Journal
	a, b := startNode(t, cfg), startNode(t, other)
	for _, n := range []*Node{a, b, a} {
		if status, body, _ := dial(t, n.Addr()).ask(t, "POST", "/pickup/7", "1", "Idempotency-Key: k"); status != 200 {
			t.Errorf("%d %s", status, body)
		}
	}
	ran := 0
	for _, s := range cfg.Journal.Records().Sends {
		if s.Effect == Ran {
			ran++
		}
	}
	if ran != 1 {
		t.Errorf("the key ran %d times, want 1", ran)
	}
	if !group.first("other", 0) || group.first("other", time.Minute) || !group.first("other", time.Hour) {
		t.Error("the window does not start at the first arrival, or does not end")
	}
	group.forget("other")
	if !group.first("other", time.Hour+time.Second) {
		t.Error("a forgotten key is still remembered")
	}
}

// With its slots and its queue full, a node rejects the next request as unprocessed.
func TestQueueFull(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Machine.Slots, cfg.Machine.Queue = 1, 1
	cfg.Demand = func(string, string) (machine.Job, bool) { return machine.Job{Work: time.Hour}, true }
	n := startNode(t, cfg)
	for _, id := range []string{"1", "2"} {
		dial(t, n.Addr()).send(t, "POST", "/bid/7", id)
	}
	eventually(t, "both requests to be accepted", func() bool { return len(cfg.Journal.Records().Sends) == 2 })
	status, _, h := dial(t, n.Addr()).ask(t, "POST", "/bid/7", "3")
	if status != 503 || h.Get("X-Unprocessed") != "1" {
		t.Errorf("third request: status %d, headers %v", status, h)
	}
	if s := cfg.Journal.Records().Sends[2]; s.Effect != TurnedAway {
		t.Errorf("journal effect %s, want TurnedAway", s.Effect)
	}
}

// A request whose deadline passes in the queue is answered as unprocessed; one whose connection closes while it runs
// is cancelled.
func TestDeadlineInQueueAndCancellation(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Machine.Slots = 1
	cfg.Demand = func(string, string) (machine.Job, bool) { return machine.Job{Work: time.Hour}, true }
	n := startNode(t, cfg)
	first, second := dial(t, n.Addr()), dial(t, n.Addr())
	first.send(t, "POST", "/bid/7", "1")
	eventually(t, "the first request to be accepted", func() bool { return len(cfg.Journal.Records().Sends) == 1 })
	second.Write([]byte("GET /lot-list/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 2\r\nX-Time-Left: 50m\r\n\r\n"))
	status, _, h, err := second.receive()
	if err != nil || status != 504 || h.Get("X-Unprocessed") != "1" {
		t.Errorf("queued request: status %d, headers %v, error %v", status, h, err)
	}
	// Closing the first connection cancels its request.
	first.Close()
	eventually(t, "the work to stop", func() bool { return cfg.Journal.Records().Sends[0].Ended != 0 })
	if s := cfg.Journal.Records().Sends; s[0].Effect != Ran || s[1].Effect != TurnedAway {
		t.Errorf("journal effects: %s, %s", s[0].Effect, s[1].Effect)
	}
}

func TestDraining(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Probes = true
	n := startNode(t, cfg)
	c := dial(t, n.Addr())
	if status, _, _ := c.ask(t, "GET", "/health", ""); status != 200 {
		t.Errorf("health: %d", status)
	}
	n.Drain(true)
	status, _, h := c.ask(t, "POST", "/bid/7", "1")
	if status != 503 || h.Get("X-Unprocessed") != "1" || n.State() != "draining" {
		t.Errorf("while draining: status %d, headers %v, state %s", status, h, n.State())
	}
	if status, _, _ := c.ask(t, "GET", "/health", ""); status != 503 {
		t.Errorf("health while draining: %d", status)
	}
}

// A crash resets open connections and refuses new ones; requests in flight may have run.
// The node restarts at the same address, cold.
func TestCrashAndRestart(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Machine.Warmup = machine.Warmup{InitialCapacity: 0.5, Duration: time.Hour}
	cfg.Demand = func(id, _ string) (machine.Job, bool) {
		if id == "1" {
			return machine.Job{Work: time.Hour}, true
		}
		return machine.Job{Work: time.Millisecond}, true
	}
	n := startNode(t, cfg)
	idle, busy := dial(t, n.Addr()), dial(t, n.Addr())
	idle.ask(t, "GET", "/lot-list/7", "2")
	busy.send(t, "POST", "/bid/7", "1")
	eventually(t, "the bid to arrive", func() bool { return len(cfg.Journal.Records().Sends) == 2 })
	n.Die()
	if !idle.ends(t) || !busy.ends(t) {
		t.Error("a connection of the dead node was closed without a reset")
	}
	if c, err := net.DialTimeout("tcp", n.Addr(), testTimeout); err == nil {
		c.Close()
		t.Error("a dead node accepted a connection")
	}
	if s := cfg.Journal.Records().Sends[1]; s.Effect != Ran || s.Answered != 0 {
		t.Errorf("journal record of the bid: %+v", s)
	}
	if err := n.Return(false); err != nil {
		t.Fatal(err)
	}
	if n.State() != "cold" {
		t.Errorf("state after the restart: %s, want cold", n.State())
	}
	if status, _, _ := dial(t, n.Addr()).ask(t, "GET", "/lot-list/7", "3"); status != 200 {
		t.Errorf("status after the restart: %d", status)
	}
	cold := false
	for _, e := range cfg.Journal.Records().Events {
		cold = cold || e.State == StartedCold
	}
	if !cold {
		t.Error("the cold start is not in the journal")
	}
}

// A node that is cut off sends nothing: open connections stay open, new ones are not
// established. When it returns, the old connections are reset.
func TestVanishedNodeIsSilent(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	n := startNode(t, cfg)
	c := dial(t, n.Addr())
	c.ask(t, "GET", "/lot-list/7", "1")
	n.Vanish()
	c.send(t, "GET", "/lot-list/7", "2")
	c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if b, err := c.in.ReadByte(); err == nil {
		t.Errorf("a vanished node sent %q", b)
	} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
		t.Errorf("the vanished node's connection ended: %v", err)
	}
	if d, err := net.DialTimeout("tcp", n.Addr(), 300*time.Millisecond); err == nil {
		// Where a listener's accept queue can't be shrunk, the connection is established and stays silent.
		d.SetDeadline(time.Now().Add(200 * time.Millisecond))
		d.Write([]byte("GET /lot-list/7 HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: 3\r\nX-Time-Left: 100m\r\n\r\n"))
		if _, err := d.Read(make([]byte, 1)); err == nil {
			t.Error("a vanished node served a new connection")
		}
		d.Close()
	}
	if err := n.Return(true); err != nil {
		t.Fatal(err)
	}
	c.ends(t)
	if status, _, _ := dial(t, n.Addr()).ask(t, "GET", "/lot-list/7", "4"); status != 200 {
		t.Errorf("status after the return: %d", status)
	}
	for _, s := range cfg.Journal.Records().Sends {
		if s.ID == "2" || s.ID == "3" {
			t.Errorf("request %s reached a node that was cut off", s.ID)
		}
	}
}

func TestErrorsAndCorruptedResponses(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	n := startNode(t, cfg)
	n.Errors(1)
	if status, _, h := dial(t, n.Addr()).ask(t, "POST", "/bid/7", "1"); status != 500 || h.Get("X-Unprocessed") != "" {
		t.Errorf("with an error rate of 1: status %d, headers %v", status, h)
	}
	if s := cfg.Journal.Records().Sends[0]; s.Effect != Failed {
		t.Errorf("journal effect %s, want Failed", s.Effect)
	}
	n.Errors(0)
	for how, bad := range map[Spoil]func(status int, body string, err error) bool{
		SpoilNoise: func(_ int, _ string, err error) bool { return err != nil && strings.Contains(err.Error(), "malformed") },
		SpoilCut:   func(status int, _ string, err error) bool { return status == 200 && err != nil },
		SpoilHuge: func(status int, body string, err error) bool {
			return status == 200 && len(body) >= 64<<10 && err != nil
		},
		SpoilEmpty: func(_ int, _ string, err error) bool { return err != nil },
	} {
		n.Spoils(how, 1)
		c := dial(t, n.Addr())
		c.send(t, "GET", "/lot-list/7", "2")
		if status, body, _, err := c.receive(); !bad(status, body, err) {
			t.Errorf("spoil %d: status %d, %d bytes, error %v", how, status, len(body), err)
		}
	}
	n.Spoils(SpoilNothing, 0)
	if status, _, _ := dial(t, n.Addr()).ask(t, "GET", "/lot-list/7", "3"); status != 200 {
		t.Errorf("status after the faults: %d", status)
	}
}

// Partial faults affect only the requests they match.
func TestPartialFaults(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Size = func(_, class string) int { return map[string]int{"catch-sheet": 9000}[class] }
	n := startNode(t, cfg)
	n.AddPartial("a", Partial{Class: "bid", Harm: HarmSilent, Rate: 1})
	n.AddPartial("b", Partial{Class: "pickup", Harm: HarmErrors, Rate: 1})
	n.AddPartial("c", Partial{Above: 8000, Harm: HarmSlow, Rate: 1, Times: 100})
	if status, _, _ := dial(t, n.Addr()).ask(t, "GET", "/lot-list/7", "1"); status != 200 {
		t.Errorf("status of an unaffected listing: %d", status)
	}
	if status, _, _ := dial(t, n.Addr()).ask(t, "POST", "/pickup/7", "2"); status != 500 {
		t.Errorf("status of a pickup with HarmErrors: %d", status)
	}
	c := dial(t, n.Addr())
	c.send(t, "POST", "/bid/7", "3")
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if b, err := c.in.ReadByte(); err == nil {
		t.Errorf("a bid with HarmSilent was answered: %q", b)
	} else if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
		t.Errorf("the connection of a bid with HarmSilent ended: %v", err)
	}
	if status, _, _ := dial(t, n.Addr()).ask(t, "GET", "/catch-sheet/7", "4"); status != 200 {
		t.Errorf("status of a large answer with HarmSlow: %d", status)
	}
	n.RemovePartial("a")
	if status, _, _ := dial(t, n.Addr()).ask(t, "POST", "/bid/7", "5"); status != 200 {
		t.Errorf("status of a bid after its fault was removed: %d", status)
	}
	if status, _, _ := dial(t, n.Addr()).ask(t, "POST", "/pickup/7", "6"); status != 500 {
		t.Errorf("status of a pickup: %d, removing one fault removed another", status)
	}
	work := map[string]time.Duration{}
	for _, s := range cfg.Journal.Records().Sends {
		work[s.ID] = s.Work
	}
	if work["4"] < 50*work["1"] {
		t.Errorf("the large answer took %v of work, the listing %v", work["4"], work["1"])
	}
}

// Which answers fail depends on the request IDs alone: the same ones every time, at
// about the configured rate.
func TestErrorsAreChosenByRequestID(t *testing.T) {
	t.Parallel()
	hit := 0
	for i := range 4000 {
		id := strings.Repeat("0", 12) + string(rune('a'+i%16)) + string(rune('a'+i/16%16)) + string(rune('a'+i/256%16))
		if chance(id, "s-1", "error") < 0.25 {
			hit++
		}
		if chance(id, "s-1", "error") != chance(id, "s-1", "error") {
			t.Fatal("chance differs between two calls with the same words")
		}
	}
	if hit < 850 || hit > 1150 {
		t.Errorf("%d of 4000 requests fail at a rate of 0.25", hit)
	}
}

func TestConnectionCapAndIdleClose(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Connections, cfg.Idle = 1, 300*time.Millisecond
	n := startNode(t, cfg)
	first := dial(t, n.Addr())
	first.ask(t, "GET", "/lot-list/7", "1")
	second := dial(t, n.Addr())
	second.send(t, "GET", "/lot-list/7", "2")
	status, _, h, err := second.receive()
	// On a slow machine the first connection may have reached its idle timeout by now.
	if err == nil && status == 503 && h.Get("X-Unprocessed") != "1" {
		t.Errorf("connection above the limit: status %d, headers %v", status, h)
	}
	if first.ends(t) {
		t.Error("an idle connection was reset")
	}
}

// Cores are shared in modelled time: four concurrent requests on two cores take twice as
// long as one by the node's clock, however slow this machine is.
func TestTimeIsModelled(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Demand = func(string, string) (machine.Job, bool) { return machine.Job{Work: 300 * time.Millisecond}, true }
	n := startNode(t, cfg)
	began := time.Now()
	peers := make([]*peer, 4)
	for i := range peers {
		peers[i] = dial(t, n.Addr())
		peers[i].send(t, "GET", "/lot-list/7", string(rune('1'+i)))
	}
	for _, p := range peers {
		if status, _, _, err := p.receive(); status != 200 || err != nil {
			t.Errorf("status %d, error %v", status, err)
		}
	}
	if took := time.Since(began); took < 590*time.Millisecond {
		t.Errorf("1.2 s of work on two cores took %v, want at least 590ms", took)
	}
}

func TestLoadReports(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Probes, cfg.Report = true, []string{"inflight", "queue", "util"}
	n := startNode(t, cfg)
	c := dial(t, n.Addr())
	_, _, h := c.ask(t, "GET", "/lot-list/7", "1")
	if got := h.Get("X-Backend-Load"); got != `{"inflight":0,"queue":0,"util":0}` {
		t.Errorf("load report in a response header: %s", got)
	}
	if status, body, _ := c.ask(t, "GET", "/status/load", ""); status != http.StatusOK || !strings.Contains(body, `"util"`) {
		t.Errorf("load probe: status %d, body %s", status, body)
	}
}

// An overloaded cold node crashes: its connections are reset and it stays down.
func TestOverloadedColdNodeCrashes(t *testing.T) {
	t.Parallel()
	cfg := testNodeConfig()
	cfg.Warm = false
	cfg.Machine.Warmup = machine.Warmup{InitialCapacity: 0.1, Duration: time.Hour, OverloadMultiple: 1, OverloadWindow: time.Second} // a budget of 0.2 s
	cfg.Demand = func(string, string) (machine.Job, bool) { return machine.Job{Work: 150 * time.Millisecond}, true }
	n := startNode(t, cfg)
	a, b := dial(t, n.Addr()), dial(t, n.Addr())
	a.send(t, "GET", "/lot-list/7", "1")
	eventually(t, "the first request to arrive", func() bool { return len(cfg.Journal.Records().Sends) == 1 })
	b.send(t, "GET", "/lot-list/7", "2")
	if !b.ends(t) || !a.ends(t) {
		t.Error("a connection of a crashed node was closed without a reset")
	}
	if n.State() != "fallen" {
		t.Errorf("state %s, want fallen", n.State())
	}
}
