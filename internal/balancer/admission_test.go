package balancer

import (
	"testing"
	"time"
)

// pricedConfig is of a deployment in which cost hints give the work, and wasted work and crossing zones have a price.
func pricedConfig() Config {
	cfg := testConfig()
	cfg.ValueByWork, cfg.Prices = true, Prices{Waste: 0.25, CrossZone: 0.08}
	cfg.Instances, cfg.Caps.HealthChecks = 1, false
	return cfg
}

// answerRequests sends n requests of a class and answers each after a time that depends on its cost.
func answerRequests(t *testing.T, b *Balancer, h *recorder, class, n int, took func(cost time.Duration, to BackendID) time.Duration) {
	t.Helper()
	for i := range n {
		id, cost := RequestID(1e6+b.now/milli), time.Duration(20+i%5*20)*milli
		now := b.now + 500*milli
		b.OnTimer(now, timerSweep<<56)
		b.OnRequest(now, Request{ID: id, Class: class, Cost: cost, Deadline: now + 3*second})
		sent := h.take("send")
		if len(sent) != 1 {
			t.Fatalf("request %d, which should be answered, was not sent", i)
		}
		now += took(cost, sent[0].to)
		b.OnAttemptEnd(now, Outcome{ID: id, Backend: sent[0].to, Result: OK, Final: true})
		h.take()
	}
}

// A request whose cost hint predicts several times its latency target would be answered late, and its work would be
// wasted. It is rejected at once, while light requests are still sent. A few hopeless requests are sent anyway, as
// otherwise nothing would show when they can be answered in time again.
func TestHopelessRequestsAreRejectedAtOnce(t *testing.T) {
	for _, class := range []int{safe, unsafe} {
		b, h := newBalancer(t, pricedConfig(), 2)
		twice := func(cost time.Duration, _ BackendID) time.Duration { return 2 * cost }
		answerRequests(t, b, h, class, 120, twice)
		const n = 400
		sent, rejected := 0, 0
		for i := range n {
			now := b.now + 3*second
			b.OnTimer(now, timerSweep<<56)
			id := RequestID(i + 1)
			b.OnRequest(now, Request{ID: id, Class: class, Cost: 2 * second, Deadline: now + 3*second})
			for _, a := range h.take("send", "refuse") {
				if a.verb == "refuse" {
					rejected++
					if a.at <= 0 {
						t.Fatal("a rejection without a retry-after time")
					}
					continue
				}
				sent++
				b.OnAttemptEnd(now+second, Outcome{ID: id, Backend: a.to, Result: Timeout})
				h.take()
			}
			answerRequests(t, b, h, class, 3, twice) // light requests are still sent
		}
		if sent+rejected != n || sent < n/200 || sent > n/8 {
			t.Errorf("class %d: %d sent, %d rejected of %d", class, sent, rejected, n)
		}
	}
}

// A request of a class without answers is not hopeless, whatever its cost hint and latency target.
func TestNothingIsHopelessBeforeAnswers(t *testing.T) {
	b, h := newBalancer(t, pricedConfig(), 2)
	for i := range 5 {
		now := second + time.Duration(i)*50*milli
		b.OnRequest(now, Request{ID: RequestID(i + 1), Class: safe, Cost: 20 * second, Deadline: now + 100*milli})
	}
	if got := h.take("send"); len(got) == 0 {
		t.Error("the first requests of a class were not sent")
	}
}

// Crossing zones has the same price for all requests. So a request of little value stays in its own zone although
// that one is slower, and a request of high value goes where it is answered in time.
func TestZonesAreCrossedForUtility(t *testing.T) {
	cfg := pricedConfig()
	cfg.Classes[safe].Value, cfg.Classes[anywhere].Value = 0.1, 20
	b, h := newBalancer(t, cfg, 2) // one backend in each zone; this proxy is in zone 0
	took := func(cost time.Duration, to BackendID) time.Duration {
		if b.byID[to].Zone == 0 {
			return 6 * cost
		}
		return 2 * cost
	}
	b.cfg.Zone = 9 // a zone without backends, so that the delays of both backends are learned
	answerRequests(t, b, h, safe, 60, took)
	answerRequests(t, b, h, anywhere, 60, took)
	b.cfg.Zone = 0
	crossed := map[int]int{}
	const n = 60
	for i := range n {
		for _, class := range []int{safe, anywhere} {
			now := b.now + second
			id := RequestID(10*i + class + 1)
			b.OnTimer(now, timerSweep<<56)
			b.OnRequest(now, Request{ID: id, Class: class, Cost: 110 * milli, Deadline: now + 3*second})
			for _, a := range h.take("send") {
				crossed[class] += b.byID[a.to].Zone
				b.OnAttemptEnd(now+took(110*milli, a.to), Outcome{ID: id, Backend: a.to, Result: OK, Final: true})
				h.take()
			}
		}
	}
	if crossed[safe] > n/6 || crossed[anywhere] < n/3 {
		t.Errorf("of %d requests each, %d of little value and %d of high value crossed zones", n, crossed[safe], crossed[anywhere])
	}
}
