package balancer

import (
	"fmt"
	"testing"
	"time"
)

// recorder is a Host that records the actions.
type recorder struct {
	acts   []action
	before []time.Duration // of each send
}

type action struct {
	verb    string
	id      RequestID
	to      BackendID
	attempt int
	at      time.Duration // until, retryAfter or d
	token   uint64
	text    string
}

func (h *recorder) add(a action) { h.acts = append(h.acts, a) }
func (h *recorder) Send(id RequestID, to BackendID, until, before time.Duration) {
	h.before = append(h.before, before)
	h.add(action{verb: "send", id: id, to: to, at: until})
}

func (h *recorder) Reject(id RequestID, d time.Duration) {
	h.add(action{verb: "refuse", id: id, at: d})
}
func (h *recorder) Fail(id RequestID)          { h.add(action{verb: "fail", id: id}) }
func (h *recorder) Cancel(id RequestID, n int) { h.add(action{verb: "cancel", id: id, attempt: n}) }
func (h *recorder) CheckHealth(b BackendID)    { h.add(action{verb: "probe", to: b}) }
func (h *recorder) Release(b BackendID)        { h.add(action{verb: "release", to: b}) }
func (h *recorder) Watch(on bool)              { h.add(action{verb: "watch"}) }
func (h *recorder) Fetch()                     { h.add(action{verb: "fetch"}) }
func (h *recorder) SendToPeer(peer uint32, body []byte) {
	h.add(action{verb: "tell", text: fmt.Sprintf("%d %x", peer, body)})
}

func (h *recorder) StartTimer(d time.Duration, token uint64) {
	h.add(action{verb: "after", at: d, token: token})
}
func (h *recorder) Log(line string) { h.add(action{verb: "log", text: line}) }

// take returns the actions with the given verbs since the last call, and drops all others.
func (h *recorder) take(verbs ...string) []action {
	var out []action
	for _, a := range h.acts {
		for _, v := range verbs {
			if a.verb == v {
				out = append(out, a)
			}
		}
	}
	h.acts = nil
	return out
}

const second, milli = time.Second, time.Millisecond

// testConfig has a class of each kind of effect and group, and capabilities that allow everything.
func testConfig() Config {
	return Config{
		Instances: 2, Tick: 5 * milli, OverQuotaValue: 1,
		Classes: []Class{
			{Name: "safe", LatencyTarget: second, ClientTimeout: 3 * second, Effect: Safe, Value: 1},
			{Name: "keyed", LatencyTarget: second, ClientTimeout: 3 * second, Effect: Keyed, Group: GroupZone, IdempotencyWindow: second, Value: 1},
			{Name: "unsafe", LatencyTarget: second, ClientTimeout: 3 * second, Effect: Unsafe, Value: 1},
			{Name: "anywhere", LatencyTarget: second, ClientTimeout: 3 * second, Effect: Keyed, Group: GroupAll, IdempotencyWindow: 2 * second, Value: 1},
		},
		Goal: Goal{Total: 1},
		Obligations: Obligations{
			AnswerSlack: 20 * milli, MaxMembershipAge: 10 * second, WarmupDuration: 20 * second,
			DrainGrace: 250 * milli, OverloadWindow: 2 * second, OverloadMultiple: 2.5, InitialCapacity: 0.2,
		},
		Caps: Caps{
			Cancel: true, Peers: true, HealthChecks: true, RetryAfter: true, Hedging: true,
			ConnIdle: 15 * second, ConnectTimeout: 250 * milli, MaxRetryAfter: 2 * second,
			MaxAttempts: 4, StreamsPerConn: 1,
		},
	}
}

func list(n int) []Backend {
	var bs []Backend
	for i := range n {
		bs = append(bs, Backend{ID: BackendID(i + 1), Zone: i % 2, Cell: i % 3, State: Ready, Weight: 1})
	}
	return bs
}

func newBalancer(t *testing.T, cfg Config, n int) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(second)
	b.OnMembership(second, Membership{Kind: MembershipFull, Version: 1, Backends: list(n)})
	h.take()
	return b, h
}
