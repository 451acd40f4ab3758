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

// Runs a proxy through membership changes, crashes, starts, storms and every kind of outcome, in an order that depends
// on the seed. The Balancer's actions are recorded in testdata as a digest, and the first ones as text, so that a
// refactoring which changes a decision fails here, and the first difference is shown. After an intended change, record
// the actions anew:
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
	t.Fatal("the number of lines differs from the recorded one")
}

// recording simulates a proxy, its backends and its clients over 40 s, in an order that depends on the seed.
type recording struct {
	b        *Balancer
	h        *recorder
	rng      *rand.Rand
	now      time.Duration
	due      []recordedEvent // by time; at equal times in the order of insertion
	sent     map[RequestID]int
	answered map[RequestID]bool
	lastID   RequestID
	lines    []string
}

type recordedEvent struct {
	at time.Duration
	do func(now time.Duration)
}

func recordedConfig(seed uint64) Config {
	cfg := testConfig()
	cfg.Classes[1].Value, cfg.Classes[2].Value, cfg.Classes[0].LateValueRatio = 2, 8, 0.2
	cfg.Tenants = []Tenant{{Name: "a", TrafficShare: 0.7, QuotaPerS: 40}, {Name: "b", TrafficShare: 0.3, QuotaPerS: 8}}
	cfg.OverQuotaValue = 0.1
	cfg.Goal = Goal{Total: 0.45, WorstClass: 0.3, WorstTenant: 0.1, WorstWindow: 0.15}
	cfg.KeyAffinity = seed%3 == 1
	cfg.PollMembership = seed%3 == 2
	return cfg
}

// recordActions simulates 40 s and returns the Balancer's actions, one per line.
func recordActions(t *testing.T, seed uint64) []string {
	t.Helper()
	w := &recording{
		h: &recorder{}, rng: rand.New(rand.NewPCG(seed, 99)), now: second,
		sent: map[RequestID]int{}, answered: map[RequestID]bool{},
	}
	var err error
	w.b, err = New(recordedConfig(seed), seed, w.h)
	if err != nil {
		t.Fatal(err)
	}
	w.b.Start(w.now)
	w.drain()
	w.b.OnMembership(w.now, Membership{Kind: MembershipCached, Version: 1, Backends: list(9)})
	w.drain()
	w.at(second+milli, w.arrive)
	for i := range 12 {
		w.at(time.Duration(3+3*i)*second, func(now time.Duration) { w.b.OnMembership(now, w.drawMembership(i, now)) })
	}
	for len(w.due) > 0 && w.due[0].at < 41*second {
		e := w.due[0]
		w.due = w.due[1:]
		w.now = max(w.now, e.at)
		e.do(w.now)
		w.drain()
	}
	return w.lines
}

func (w *recording) at(when time.Duration, do func(now time.Duration)) {
	i := len(w.due)
	for i > 0 && w.due[i-1].at > when {
		i--
	}
	w.due = append(w.due[:i], append([]recordedEvent{{when, do}}, w.due[i:]...)...)
}

// drain records the actions and schedules their consequences.
func (w *recording) drain() {
	for len(w.h.acts) > 0 {
		acts := w.h.acts
		w.h.acts = nil
		for _, a := range acts {
			w.lines = append(w.lines, fmt.Sprintf("%v %+v", w.now, a))
			w.carryOut(a)
		}
	}
}

func (w *recording) carryOut(a action) {
	switch a.verb {
	case "send":
		w.send(a)
	case "refuse", "fail":
		w.answered[a.id] = true
	case "probe":
		result := OK
		if w.down(a.to) || w.rng.IntN(30) == 0 {
			result = Timeout
		}
		w.at(w.now+3*milli, func(at time.Duration) {
			w.b.OnHealthCheck(at, HealthCheckResult{Backend: a.to, Result: result, Took: 3 * milli})
		})
	case "after":
		w.at(w.now+a.at, func(at time.Duration) { w.b.OnTimer(at, a.token) })
	}
}

// down tells whether a backend is down: every fifth one is for a while.
func (w *recording) down(id BackendID) bool {
	return id%5 == 0 && w.now > 8*second && w.now < 20*second
}

func (w *recording) send(a action) {
	n := w.sent[a.id]
	w.sent[a.id]++
	result, took := OK, time.Duration(20+w.rng.IntN(300))*milli
	if w.rng.IntN(100) < 25 {
		failures := []Result{Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent, Unprocessable}
		result = failures[w.rng.IntN(8)]
	}
	if w.down(a.to) {
		result, took = ConnectFailed, 5*milli
	}
	w.at(w.now+took, func(at time.Duration) {
		final := w.answered[a.id] || result == OK
		w.answered[a.id] = final
		w.b.OnAttemptEnd(at, Outcome{ID: a.id, Attempt: n, Backend: a.to, Result: result, Took: took, Final: final})
	})
}

// arrive passes a new request to the Balancer and schedules the next one.
func (w *recording) arrive(now time.Duration) {
	w.lastID++
	id := w.lastID
	class := w.rng.IntN(4)
	q := Request{
		ID: id, Class: class, Tenant: w.rng.IntN(2), Key: w.rng.Uint64N(50),
		Deadline: now + time.Duration(300+w.rng.IntN(2700))*milli,
		IsRetry:  w.rng.IntN(20) == 0,
	}
	if w.rng.IntN(4) == 0 {
		q.Cost = time.Duration(w.rng.IntN(200)) * milli
	}
	w.b.OnRequest(now, q)
	if w.rng.IntN(25) == 0 {
		w.at(now+time.Duration(w.rng.IntN(200))*milli, func(at time.Duration) {
			w.answered[id] = true
			w.b.OnClientGone(at, id)
		})
	}
	gap := time.Duration(w.rng.IntN(40)) * milli
	if now > 25*second && now < 30*second {
		gap /= 4
	}
	w.at(now+gap, w.arrive)
}

// drawMembership returns the i-th change of the membership.
func (w *recording) drawMembership(i int, now time.Duration) Membership {
	n := 7 + w.rng.IntN(6)
	m := Membership{Kind: MembershipDelta, Version: uint32(i + 2)}
	if i%3 == 0 {
		m.Kind = MembershipFull
	}
	if i%5 == 4 {
		m.Kind = MembershipFailed
		return m
	}
	m.Backends = list(n)
	for k := range m.Backends {
		switch e := &m.Backends[k]; {
		case e.ID%5 == 0 && now > 20*second:
			e.Started = 20 * second
		case w.rng.IntN(8) == 0:
			e.State = Draining
		case w.rng.IntN(12) == 0 && m.Kind == MembershipDelta:
			e.State = Gone
		}
	}
	return m
}
