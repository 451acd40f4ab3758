package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"marlreel/internal/config"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

// A drain must take effect within toldWithin after discovery has it and is reachable. grace is the margin the rule adds.
const (
	toldWithin = 6 * time.Second
	grace      = 550 * time.Millisecond
)

func inList(id, addr, lifecycle string) standin.Entry {
	return standin.Entry{InstanceID: id, HostPort: addr, Zone: "koper", MachineType: "mid-2c", Lifecycle: lifecycle, Weight: 1}
}

// recordingLastRequest starts a backend that records when its last request began, and counts requests.
func recordingLastRequest(t *testing.T) (addr string, at *atomic.Int64, n *atomic.Int64) {
	at, n = new(atomic.Int64), new(atomic.Int64)
	b := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		at.Store(time.Now().UnixNano())
		fmt.Fprint(w, "served")
	}))
	t.Cleanup(b.Close)
	return b.Listener.Addr().String(), at, n
}

// sendTraffic sends requests until the test ends, and counts those not served.
func sendTraffic(t *testing.T, p *running) (lost *atomic.Int64) {
	lost = new(atomic.Int64)
	client := &http.Client{Timeout: waitTimeout}
	stop, done := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(stop); <-done; client.CloseIdleConnections() })
	go func() {
		defer close(done)
		testutil.Every(20*time.Millisecond, stop, func() {
			resp, err := client.Do(newRequest(t, p, "lot-list", ""))
			if err != nil {
				lost.Add(1)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				lost.Add(1)
			}
		})
	}()
	return lost
}

func discoveryConfig(t *testing.T, d *standin.Faulty, onRequest bool) *config.Platform {
	cfg := testConfig(t, d.Addr)
	cfg.Settings.PollMembership = onRequest
	cfg.Settings.Obligations.MaxMembershipAge = 10 * time.Second
	cfg.Settings.Caps.ConnectTimeout = 100 * time.Millisecond
	cfg.AcceptGrace = 0 // the shutdown is not tested here
	return cfg
}

// drainTest is a proxy under traffic with two backends, one of which will drain.
type drainTest struct {
	d                  *standin.Faulty
	drains             string
	at, served, before *atomic.Int64 // time of the last request to the draining backend; requests to the other backend and to it
}

func newDrainTest(t *testing.T, onRequest bool) *drainTest {
	t.Helper()
	x := &drainTest{}
	var stays string
	stays, _, x.served = recordingLastRequest(t)
	x.drains, x.at, x.before = recordingLastRequest(t)
	d, err := standin.StartFaulty(inList("s-1", stays, "Ready"), inList("s-2", x.drains, "Ready"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	x.d = d
	sendTraffic(t, start(t, discoveryConfig(t, d, onRequest)))
	return x
}

func (x *drainTest) used(t *testing.T) {
	t.Helper()
	eventually(t, "both backends to be used", func() bool { return x.served.Load() > 0 && x.before.Load() > 0 })
}

func (x *drainTest) drain() { x.d.Put(inList("s-2", x.drains, "Terminating")) }

// A drain takes effect in time whatever faults the watch and the following calls to discovery have, and the number of
// calls meanwhile is limited.
func TestDrainTakesEffectDespiteDiscoveryFaults(t *testing.T) {
	t.Parallel()
	type history struct {
		open  standin.ListFault
		calls []standin.ListFault
	}
	var all []history
	for i, f := range standin.ListFaults {
		all = append(all, history{open: f}, history{standin.ListSilent, []standin.ListFault{f, f}},
			history{f, []standin.ListFault{standin.ListFaults[(i+3)%len(standin.ListFaults)]}})
	}
	for _, onRequest := range []bool{false, true} {
		t.Run(fmt.Sprintf("asked for %v", onRequest), func(t *testing.T) {
			t.Parallel()
			// All histories run concurrently, since each has to wait for the full time limit.
			type played struct {
				history
				*drainTest
				calls   int
				changed time.Time
			}
			var days []*played
			for _, h := range all {
				if onRequest && (h.open == standin.ListBlank || slices.Contains(h.calls, standin.ListBlank)) {
					continue // when polled, its false answer that nothing has changed is all the proxy gets: see docs/design/rare-moments.md
				}
				days = append(days, &played{history: h, drainTest: newDrainTest(t, onRequest)})
			}
			for _, x := range days {
				x.used(t)
			}
			for _, x := range days {
				x.calls = len(x.d.Calls())
				x.d.Break(x.open, x.history.calls...)
				x.changed = time.Now()
				x.drain()
			}
			worst, most := time.Duration(0), 0
			for _, x := range days {
				// After the time limit, wait for more requests to the other backend, so that late ones to this one
				// would show.
				eventually(t, "the time limit for the drain", func() bool { return time.Since(x.changed) > toldWithin+grace })
				then := x.served.Load()
				eventually(t, "more to be served", func() bool { return x.served.Load() > then+10 })
				late, n := time.Unix(0, x.at.Load()).Sub(x.changed), len(x.d.Calls())-x.calls
				if worst, most = max(worst, late), max(most, n); late > toldWithin+grace {
					t.Errorf("%s, then %v: a request began %v after the change", x.open, x.history.calls, late)
				}
				if onRequest && n > 9 || n > 40 {
					t.Errorf("%s, then %v: %d calls", x.open, x.history.calls, n)
				}
			}
			t.Logf("%d histories: the last request began %v after the change, %d calls at most", len(days), worst.Round(10*time.Millisecond), most)
		})
	}
}

// If SIGHUP sets a discovery address that accepts calls but never answers, the old one is still followed. Once the new
// one answers, it is followed within the time limit.
func TestReloadToASilentDiscoveryAddress(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		t.Run(fmt.Sprintf("asked for %v", onRequest), func(t *testing.T) {
			t.Parallel()
			stays, _, served := recordingLastRequest(t)
			drains, at, before := recordingLastRequest(t)
			third, thirdAt, _ := recordingLastRequest(t)
			list := []standin.Entry{inList("s-1", stays, "Ready"), inList("s-2", drains, "Ready"), inList("s-3", third, "Ready")}
			var ds [2]*standin.Faulty
			for i := range ds {
				d, err := standin.StartFaulty(list...)
				if err != nil {
					t.Fatal(err)
				}
				d.Indent = i == 1
				t.Cleanup(d.Close)
				ds[i] = d
			}
			cfg := discoveryConfig(t, ds[0], onRequest)
			p := start(t, cfg)
			sendTraffic(t, p)
			eventually(t, "all to be used", func() bool { return served.Load() > 0 && before.Load() > 0 && thirdAt.Load() > 0 })
			silent := make([]standin.ListFault, 40)
			for i := range silent {
				silent[i] = standin.ListSilent
			}
			ds[1].Break("", silent...)
			next := withDiscoveryAddress(cfg, ds[1].Addr)
			p.reloads <- Reload{Config: next}
			eventually(t, "calls at the new address", func() bool { return len(ds[1].Calls()) > 1 })
			ds[0].Put(inList("s-2", drains, "Terminating"))
			put := time.Now()
			eventually(t, "the old address's drain to take effect", func() bool {
				return time.Since(put) > time.Second && time.Since(time.Unix(0, at.Load())) > time.Second
			})
			ds[1].Put(inList("s-3", third, "Terminating"), inList("s-2", drains, "Terminating"))
			ds[1].Break("") // it answers from now on
			answers := time.Now()
			eventually(t, "the new address's drain to take effect", func() bool {
				return time.Since(time.Unix(0, thirdAt.Load())) > time.Second
			})
			if late := time.Unix(0, thirdAt.Load()).Sub(answers); late > 4*time.Second+grace {
				t.Errorf("a request began %v after the new address answered", late)
			}
		})
	}
}

// Discovery returns after a long outage, and reports a drain 100 ms later. The drain takes effect in time, measured from
// the return.
func TestDrainAfterADiscoveryOutage(t *testing.T) {
	t.Parallel()
	for _, onRequest := range []bool{false, true} {
		t.Run(fmt.Sprintf("asked for %v", onRequest), func(t *testing.T) {
			t.Parallel()
			x := newDrainTest(t, onRequest)
			d := x.d
			x.used(t)
			d.Down(true)
			down := time.Now()
			eventually(t, "a long outage", func() bool { return time.Since(down) > 8*time.Second })
			calls := len(d.Calls())
			d.Down(false)
			back := time.Now()
			eventually(t, "a moment", func() bool { return time.Since(back) > 100*time.Millisecond })
			x.drain()
			eventually(t, "no more requests to arrive", func() bool { return time.Since(time.Unix(0, x.at.Load())) > time.Second })
			late := time.Unix(0, x.at.Load()).Sub(back)
			t.Logf("%d calls while it was down; the last request %v after its return", calls, late.Round(time.Millisecond))
			// In push mode the drain must take effect at once after the return.
			if !onRequest && late > 100*time.Millisecond+grace || late > toldWithin+grace {
				t.Errorf("a request began %v after discovery was back", late)
			}
			if calls > 120 {
				t.Errorf("%d calls while it was down", calls)
			}
		})
	}
}
