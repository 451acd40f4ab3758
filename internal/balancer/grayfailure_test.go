package balancer

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// simulateFaults runs two simulations of an auction with nine backends and three proxies at 0.55 of capacity, with
// faults from 11 s on. It returns the mean service from then until the end, in total and by class.
func simulateFaults(t *testing.T, until time.Duration, faults ...fault) (all float64, classes [4]float64, simulations []*simulation) {
	for seed := range uint64(2) {
		w := newSimulation(t, seed, 9, 3, 0.55)
		w.faults = faults
		w.run(11 * second)
		w.reset()
		w.run(until)
		all += w.service(-1) / 2
		for i := range classes {
			classes[i] += w.service(i) / 2
		}
		simulations = append(simulations, w)
	}
	return all, classes, simulations
}

// ejections is the number of pairs of a proxy and a backend at which the class is ejected.
func (w *simulation) ejections(class int) (n int) {
	for _, p := range w.proxies {
		for _, x := range p.b.targets {
			if _, _, out := x.classHealth[class].EjectionState(); out {
				n++
			}
		}
	}
	return n
}

// faultOf returns a fault of a class at the first n backends, from 11 to 21 s.
func faultOf(class, n int) fault {
	f := fault{class: class, from: 11 * second, to: 21 * second}
	for i := range n {
		f.backends = append(f.backends, i+1)
	}
	return f
}

func withoutAnswers(f fault) fault { f.unansweredRatio = 0.87; return f }

// The number in the name of a case is the service in the same simulation before the balancer had this model.
func TestServiceUnderGrayFailures(t *testing.T) {
	slow := []fault{faultOf(lotList, 2), faultOf(catchSheet, 2), faultOf(bid, 2), faultOf(pickup, 2)}
	for i := range slow {
		slow[i].slowdown = 4
	}
	slowBids, failing, moving := faultOf(bid, 2), faultOf(bid, 2), withoutAnswers(faultOf(bid, 0))
	slowBids.slowdown, failing.errorRatio = 4, 0.8
	moving.to, moving.every = 41*second, 5*second
	breaks := fault{class: -1, from: 11 * second, to: 21 * second, resetRatio: 0.1}
	loaded := faultOf(bid, 2)
	loaded.unansweredRatio, loaded.minLoad = 1, 6
	for _, c := range []struct {
		name       string
		faults     []fault
		class      int
		minService float64 // of the class
		minOthers  float64 // of each other class
	}{
		{"bids late on four of nine (0.71 before)", []fault{withoutAnswers(faultOf(bid, 4))}, bid, 0.87, 0.98},
		{"listings late on four of nine (0.80)", []fault{withoutAnswers(faultOf(lotList, 4))}, lotList, 0.93, 0.97},
		{"bids late on all but one (0.25, listings 0.83)", []fault{withoutAnswers(faultOf(bid, 8))}, bid, 0.34, 0.97},
		{"bids late on all (0.13, listings 0.77)", []fault{withoutAnswers(faultOf(bid, 9))}, bid, 0.08, 0.96},
		{"bids answered with errors on two (0.93)", []fault{failing}, bid, 0.92, 0.98},
		{"bids four times slower on two (0.92)", []fault{slowBids}, bid, 0.92, 0.98},
		{"a failure that moves each 5 s (0.94)", []fault{moving}, bid, 0.945, 0.98},
		{"two classes on different backends (0.66)", []fault{withoutAnswers(faultOf(bid, 4)), {
			class:    lotList,
			backends: []int{5, 6}, from: 13 * second, to: 19 * second, unansweredRatio: 0.87,
		}}, bid, 0.87, 0.95},
		{"one connection in ten breaks too (0.64)", []fault{withoutAnswers(faultOf(bid, 4)), breaks}, bid, 0.75, 0.96},
		{"two backends slow for all (0.95)", slow, bid, 0.91, 0.97},
		{"bids late on loaded backends (0.99)", []fault{loaded}, bid, 0.96, 0.98},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			until := 21 * second
			if len(c.faults) > 0 && c.faults[0].every > 0 {
				until = c.faults[0].to
			}
			_, got, _ := simulateFaults(t, until, c.faults...)
			t.Logf("by class: %.3f", got)
			for i, v := range got {
				if i == c.class && v < c.minService || i != c.class && v < c.minOthers {
					t.Errorf("class %d earns %.3f of its value", i, v)
				}
			}
		})
	}
}

// A backend that serves one class badly still gets the other classes, and it gets the class again soon after it has
// recovered.
func TestClassIsEjectedAndReinstatedAlone(t *testing.T) {
	w := newSimulation(t, 5, 9, 3, 0.55)
	w.faults = []fault{withoutAnswers(faultOf(bid, 4))}
	w.run(15 * second)
	w.reset()
	w.run(21 * second)
	bids, all, lists := 0, 0, 0
	for i := 1; i <= 9; i++ {
		n := w.sent(i, bid, 15*second, 21*second)
		if all += n; i <= 4 {
			bids, lists = bids+n, lists+w.sent(i, lotList, 15*second, 21*second)
		}
	}
	if float64(bids) > 0.04*float64(all) {
		t.Errorf("%d of %d bids went to backends that answer one in eight", bids, all)
	}
	if float64(w.lostTrials) > 0.02*float64(all) {
		t.Errorf("%d of %d bids were lost in trials", w.lostTrials, all)
	}
	if lists < 100 {
		t.Errorf("%d listings went to these backends, which serve listings as usual", lists)
	}
	w.run(24 * second)
	back := 0
	for i := 1; i <= 4; i++ {
		back += w.sent(i, bid, 23*second, 24*second)
	}
	if back < 10 {
		t.Errorf("2 s after the fault %d bids a second go to these backends", back)
	}
	for _, p := range w.proxies {
		log := strings.Join(p.logs, "\n")
		for _, want := range []string{"gets no bid: ", "gets bid again after "} {
			if !strings.Contains(log, want) {
				t.Errorf("no log line contains %q:\n%s", want, log)
			}
		}
	}
}

// A class that fails at all backends is not ejected anywhere, as no single backend is at fault.
func TestClassThatFailsEverywhereIsNotEjected(t *testing.T) {
	w := newSimulation(t, 6, 9, 3, 0.55)
	w.faults = []fault{withoutAnswers(faultOf(bid, 9))}
	w.run(13 * second)
	ejected, checked := 0, 0
	for w.now < 21*second {
		w.run(w.now + 100*milli)
		ejected, checked = ejected+w.ejections(bid), checked+27
	}
	if ejected*4 > checked {
		t.Errorf("the class is ejected in %d of %d checks", ejected, checked)
	}
	lines := 0
	for _, p := range w.proxies {
		lines += len(p.logs)
	}
	if lines > 3*(maxClassLogLines+2)*6 {
		t.Errorf("%d log lines in 8 s", lines)
	}
}

// Backends that are slow for all classes, broken connections, long tails and overload eject no class.
func TestNoClassEjectionWithoutGrayFailure(t *testing.T) {
	all := []fault{faultOf(lotList, 2), faultOf(catchSheet, 2), faultOf(bid, 2), faultOf(pickup, 2)}
	for i := range all {
		all[i].slowdown = 4
	}
	for _, c := range []struct {
		name   string
		faults []fault
		tailed int
		load   float64
	}{
		{"nothing", nil, -1, 0.55},
		{"two slow for all", all, -1, 0.55},
		{"one connection in ten breaks", []fault{{class: -1, from: 0, to: 21 * second, resetRatio: 0.1}}, -1, 0.55},
		{"a class with a long tail", nil, bid, 0.55},
		{"overload", nil, -1, 1.2},
	} {
		w := newSimulation(t, 11, 9, 3, c.load)
		w.faults, w.longTailClass = c.faults, c.tailed
		ejected, checked := 0, 0
		for w.now < 21*second {
			w.run(w.now + 100*milli)
			for class := range 4 {
				ejected, checked = ejected+w.ejections(class), checked+27
			}
		}
		if ejected*200 > checked {
			t.Errorf("%s: classes are ejected in %d of %d checks", c.name, ejected, checked)
		}
	}
}

// A class with one request a second per proxy is ejected, is hardly ever tried, and is reinstated by time alone.
func TestRareClassIsEjectedAndReinstated(t *testing.T) {
	w := newSimulation(t, 3, 4, 2, 0.5)
	w.shares = []float64{0.5, 0.35, 0.02, 0.13}
	w.faults = []fault{{class: bid, backends: []int{1}, from: 5 * second, to: 35 * second, unansweredRatio: 1}}
	w.run(35 * second)
	lost := w.lost[[2]int{1, bid}]
	total := 0
	for i := 1; i <= 4; i++ {
		total += w.sent(i, bid, 5*second, 35*second)
	}
	if lost*5 > total {
		t.Errorf("%d of %d requests of the class were lost", lost, total)
	}
	w.reset()
	w.run(60 * second)
	if n := w.sent(1, bid, 45*second, 60*second); n == 0 {
		t.Error("ten seconds after the fault the backend gets no request of the class")
	}
}

// A proxy that starts during a fault has no learned state and must detect the fault.
func TestProxyStartedDuringFaultDetectsIt(t *testing.T) {
	w := newSimulation(t, 4, 9, 3, 0.55)
	f := withoutAnswers(faultOf(bid, 4))
	f.from = 0
	w.faults = []fault{f}
	w.run(4 * second)
	w.reset()
	w.run(12 * second)
	if got := w.service(bid); got < 0.85 {
		t.Errorf("bids: %.3f from 3 s after the start on", got)
	}
}

// A second attempt never goes to a backend where its class is ejected. If no other backend is left, the request gets
// its final answer at once.
func TestNoRetryWhereTheClassIsEjected(t *testing.T) {
	cfg := testConfig()
	cfg.Zone = 9                   // a zone without backends, so that all backends get requests
	b, h := newBalancer(t, cfg, 6) // zone 1 has the backends 2, 4 and 6
	now := second
	for range 8 {
		for i, class := range []int{safe, anywhere, keyed} {
			result := OK
			if class == keyed {
				result = Error
			}
			for _, at := range []BackendID{4, 6} {
				b.now = now
				b.recordGrayFailure(&attempt{
					request: &request{Request: Request{Class: class}}, target: b.byID[at],
					sent: now - milli + time.Duration(i), expected: 1,
				}, result)
			}
		}
		now += 10 * milli
	}
	b.OnTimer(now, timerSweep<<56)
	h.take()
	tried := 0
	for id := RequestID(1); id <= 60; id++ {
		b.OnRequest(now, Request{ID: id, Class: keyed, Deadline: now + 3*second})
		first := h.take("send")
		if len(first) != 1 || first[0].to != 2 {
			b.OnAttemptEnd(now, Outcome{ID: id, Backend: first[0].to, Result: OK, Final: true})
			continue
		}
		tried++
		b.OnAttemptEnd(now, Outcome{ID: id, Backend: 2, Result: Error})
		for _, a := range h.take("send", "fail", "refuse") {
			if a.verb == "send" && a.to != 2 {
				t.Fatalf("the second attempt went to %d", a.to)
			}
			if a.verb == "refuse" {
				t.Fatal("a request that may have run was rejected")
			}
			if a.verb == "send" {
				b.OnAttemptEnd(now, Outcome{ID: id, Attempt: 1, Backend: 2, Result: OK, Final: true})
			}
		}
		if tried >= 2 {
			break
		}
		now += 10 * milli
	}
	if tried == 0 {
		t.Fatal("no request went to backend 2 first")
	}
}

// Attempts of a retryable request are cancelled at a backend where the class is found to be served badly, while there
// is time to retry.
func TestAttemptsAtEjectedClassesAreCancelledInTime(t *testing.T) {
	w := newSimulation(t, 2, 9, 3, 0.55)
	w.faults = []fault{{class: lotList, backends: []int{1, 2}, from: 11 * second, to: 31 * second, unansweredRatio: 1}}
	w.run(13 * second)
	w.reset()
	w.run(31 * second)
	lost := 0
	for _, n := range w.lost {
		lost += n
	}
	missed := (w.offered[lotList] - w.served[lotList])
	if lost == 0 || missed > 0.7*float64(lost) {
		t.Errorf("%d listings got no answer, %v were not served in time", lost, missed)
	}
}

// The model must not break the obligations: whatever the state of the class, bids, which are unsafe, run once.
func TestUnsafeRequestsRunOnceUnderGrayFailures(t *testing.T) {
	w := newSimulation(t, 9, 6, 2, 0.6)
	w.faults = []fault{withoutAnswers(faultOf(bid, 3)), {class: -1, from: 11 * second, to: 21 * second, resetRatio: 0.2}}
	w.onSend = func(p *simulatedProxy, r *simulatedRequest) {
		if r.class == bid && slices.ContainsFunc(r.attempts, func(j *simulatedAttempt) bool { return !j.ended || !j.result.NeverRan() }) {
			t.Fatal("a bid that may have run was sent again")
		}
	}
	w.run(22 * second)
}

// BenchmarkEvaluateGrayFailures measures the gray failure part of a sweep over backends without faults.
func BenchmarkEvaluateGrayFailures(b *testing.B) {
	for _, n := range []int{10, 500, 5000} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			m, err := New(testConfig(), 1, &benchmarkHost{})
			if err != nil {
				b.Fatal(err)
			}
			m.OnMembership(second, Membership{Kind: MembershipFull, Version: 1, Backends: list(n)})
			b.ReportAllocs()
			for b.Loop() {
				m.evaluateGrayFailures()
			}
		})
	}
}
