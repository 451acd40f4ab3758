package balancer

import (
	"testing"
	"time"
)

// pricedConfig is of a deployment whose hints tell the work, and where waste and crossings cost.
func pricedConfig() Config {
	cfg := testConfig()
	cfg.ValueByWork, cfg.Prices = true, Prices{Waste: 0.25, CrossZone: 0.08}
	cfg.Instances, cfg.Caps.HealthChecks = 1, false
	return cfg
}

// serve lets so many requests of a class be answered, each in a span by its cost.
func serve(t *testing.T, b *Balancer, h *recorder, class, n int, took func(cost time.Duration, to BackendID) time.Duration) {
	t.Helper()
	for i := range n {
		id, cost := RequestID(1e6+b.now/milli), time.Duration(20+i%5*20)*milli
		now := b.now + 500*milli
		b.OnTimer(now, timerSweep<<56)
		b.OnRequest(now, Request{ID: id, Class: class, Cost: cost, Deadline: now + 3*second})
		sent := h.take("send")
		if len(sent) != 1 {
			t.Fatalf("request %d of the teaching was not sent", i)
		}
		now += took(cost, sent[0].to)
		b.OnAttemptEnd(now, Outcome{ID: id, Backend: sent[0].to, Result: OK, Final: true})
		h.take()
	}
}

// A request whose hint predicts several times its latency target would be answered late, and its work wasted:
// it is given up at once, while those beside it are sent. Some go out all the same, or nothing would
// ever show that they are answered in time again.
func TestHopelessRequestsAreRejectedAtOnce(t *testing.T) {
	for _, class := range []int{safe, unsafe} {
		b, h := newBalancer(t, pricedConfig(), 2)
		twice := func(cost time.Duration, _ BackendID) time.Duration { return 2 * cost }
		serve(t, b, h, class, 120, twice)
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
						t.Fatal("a rejection that does not say when to come back")
					}
					continue
				}
				sent++
				b.OnAttemptEnd(now+second, Outcome{ID: id, Backend: a.to, Result: Timeout})
				h.take()
			}
			serve(t, b, h, class, 3, twice) // light ones beside them are sent
		}
		if sent+rejected != n || sent < n/200 || sent > n/8 {
			t.Errorf("class %d: %d sent, %d rejected of %d", class, sent, rejected, n)
		}
	}
}

// Where nothing is known of a class, the latency target alone makes nothing hopeless.
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

// A crossing costs as much whatever it is for. So what is of little value stays in its own zone though
// that is the slower one, and what is of much value goes where it is answered in time.
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
	b.cfg.Zone = 9 // of no backend: both are learned alike
	serve(t, b, h, safe, 60, took)
	serve(t, b, h, anywhere, 60, took)
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
		t.Errorf("of %d each, %d of what is of little value crossed, and %d of what is of much value", n, crossed[safe], crossed[anywhere])
	}
}
