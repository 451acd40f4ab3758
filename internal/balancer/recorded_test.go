package balancer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A recorded life of a proxy: list changes, deaths, cold starts, storms, every kind of
// outcome, in an order that a seed gives. What the module did about it is kept as a
// digest in testdata, and its first lines as text, so that a refactoring that changes
// a decision is told, and where. A change of decisions that is meant writes it anew:
// MARLREEL_RECORD=1 go test -run TestRecordedActions .
func TestRecordedActions(t *testing.T) {
	const path = "testdata/recorded.txt"
	got := ""
	for seed := range uint64(6) {
		lines := recordActions(t, seed)
		sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
		got += fmt.Sprintf("seed %d: %d actions, %s\n", seed, len(lines), hex.EncodeToString(sum[:]))
		if seed == 0 {
			got += strings.Join(lines[:200], "\n") + "\n"
		}
	}
	if os.Getenv("MARLREEL_RECORD") != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	a, b := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			t.Fatalf("line %d: %s\nrecorded: %s", i+1, a[i], b[i])
		}
	}
	t.Fatal("one is longer than the other")
}

// recordActions plays 40 s and gives what the module did, a line each.
func recordActions(t *testing.T, seed uint64) []string {
	t.Helper()
	cfg := testConfig()
	cfg.Classes[1].Value, cfg.Classes[2].Value, cfg.Classes[0].LateValueRatio = 2, 8, 0.2
	cfg.Tenants = []Tenant{{Name: "a", Share: 0.7, QuotaPerS: 40}, {Name: "b", Share: 0.3, QuotaPerS: 8}}
	cfg.OverQuotaValue = 0.1
	cfg.Goal = Goal{Whole: 0.45, WorstClass: 0.3, WorstTenant: 0.1, WorstWindow: 0.15}
	cfg.KeyAffinity = seed%3 == 1
	cfg.PollMembership = seed%3 == 2
	h := &recorder{}
	b, err := New(cfg, seed, h)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	var lines []string
	type event struct {
		at time.Duration
		do func(now time.Duration)
	}
	var due []event
	at := func(when time.Duration, do func(now time.Duration)) {
		i := len(due)
		for i > 0 && due[i-1].at > when {
			i--
		}
		due = append(due[:i], append([]event{{when, do}}, due[i:]...)...)
	}
	now, out, sent := second, map[RequestID]int{}, map[RequestID]int{}
	answered := map[RequestID]bool{}
	drain := func() {
		for len(h.acts) > 0 {
			acts := h.acts
			h.acts = nil
			for _, a := range acts {
				lines = append(lines, fmt.Sprintf("%v %+v", now, a))
				switch a.verb {
				case "send":
					n := sent[a.id]
					sent[a.id]++
					out[a.id]++
					result, took := OK, time.Duration(20+rng.IntN(300))*milli
					if bad := rng.IntN(100); bad < 25 {
						result = []Result{Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent, Unprocessable}[rng.IntN(8)]
					}
					if a.to%5 == 0 && now > 8*second && now < 20*second { // these are dead for a while
						result, took = ConnectFailed, 5*milli
					}
					at(now+took, func(at time.Duration) {
						out[a.id]--
						final := answered[a.id] || result == OK
						answered[a.id] = final
						b.OnAttemptEnd(at, Outcome{ID: a.id, Attempt: n, Backend: a.to, Result: result, Took: took, Final: final})
					})
				case "refuse", "fail":
					answered[a.id] = true
				case "probe":
					result := OK
					if a.to%5 == 0 && now > 8*second && now < 20*second || rng.IntN(30) == 0 {
						result = Timeout
					}
					at(now+3*milli, func(at time.Duration) {
						b.OnHealthCheck(at, HealthCheckResult{Backend: a.to, Result: result, Took: 3 * milli})
					})
				case "after":
					at(now+a.at, func(at time.Duration) { b.OnTimer(at, a.token) })
				}
			}
		}
	}
	b.Start(now)
	drain()
	b.OnMembership(now, Membership{Kind: ListCached, Version: 1, Backends: list(9)})
	drain()
	id := RequestID(0)
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		id++
		class := rng.IntN(4)
		q := Request{
			ID: id, Class: class, Tenant: rng.IntN(2), Key: rng.Uint64N(50), Deadline: now + time.Duration(300+rng.IntN(2700))*milli,
			IsRetry: rng.IntN(20) == 0,
		}
		if rng.IntN(4) == 0 {
			q.Cost = time.Duration(rng.IntN(200)) * milli
		}
		b.OnRequest(now, q)
		if rng.IntN(25) == 0 {
			mine := id
			at(now+time.Duration(rng.IntN(200))*milli, func(at time.Duration) {
				answered[mine] = true
				b.OnClientGone(at, mine)
			})
		}
		gap := time.Duration(rng.IntN(40)) * milli
		if now > 25*second && now < 30*second {
			gap /= 4
		}
		at(now+gap, arrive)
	}
	at(second+milli, arrive)
	for i := range 12 {
		at(time.Duration(3+3*i)*second, func(now time.Duration) {
			n := 7 + rng.IntN(6)
			m := Membership{Kind: ListDelta, Version: uint32(i + 2)}
			if i%3 == 0 {
				m.Kind = ListFull
			}
			if i%5 == 4 {
				m.Kind, m.Backends = ListFailed, nil
			} else {
				m.Backends = list(n)
				for k := range m.Backends {
					switch e := &m.Backends[k]; {
					case e.ID%5 == 0 && now > 20*second:
						e.Started = 20 * second
					case rng.IntN(8) == 0:
						e.State = Draining
					case rng.IntN(12) == 0 && m.Kind == ListDelta:
						e.State = Gone
					}
				}
			}
			b.OnMembership(now, m)
		})
	}
	for len(due) > 0 && due[0].at < 41*second {
		e := due[0]
		due = due[1:]
		now = max(now, e.at)
		e.do(now)
		drain()
	}
	return lines
}
