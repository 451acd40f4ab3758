package retrystorm

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marlreel/internal/balancer/decay"
)

const ms = time.Millisecond

func newTestModel() *Model {
	return New(Config{ClientTimeout: 2 * time.Second, SendsRetryAfter: true, CalmRetryAfter: 400 * ms, MaxRetryAfter: 2 * time.Second})
}

// traffic generates requests at a rate. A part of them goes unserved; each of these is retried after a while with a
// given probability, unmarked.
type traffic struct {
	m                *Model
	now              time.Duration
	rng              *rand.Rand
	scheduledRetries []scheduledRetry
	keys             int // number of distinct keys
	lines            []string
	retries          int // actual retries
	recognized       int // retries that the model recognized
	falsePositives   int // fresh requests that the model took for retries
}

type scheduledRetry struct {
	at    time.Duration
	key   uint64
	first time.Duration
}

func newTraffic() *traffic {
	return &traffic{m: newTestModel(), now: time.Second, rng: rand.New(rand.NewPCG(1, 2)), keys: 100000}
}

func (d *traffic) arrive(key uint64, first time.Duration, failureRatio, retryProbability float64) {
	isRetry := first != d.now
	s := d.m.RecordArrival(d.now, key, false)
	switch {
	case isRetry:
		d.retries++
		if s.IsRetry && s.FirstArrival == first {
			d.recognized++
		}
	case s.IsRetry:
		d.falsePositives++
	}
	served := d.rng.Float64() >= failureRatio
	d.m.RecordEnd(d.now, key, s.FirstArrival, 0, served)
	if !served && d.rng.Float64() < retryProbability && d.now-first < 2*time.Second {
		d.scheduledRetries = append(d.scheduledRetries, scheduledRetry{d.now + 50*ms + time.Duration(d.rng.IntN(50))*ms, key, first})
	}
}

func (d *traffic) run(span time.Duration, rate, failureRatio, retryProbability float64) {
	for end := d.now + span; d.now < end; {
		d.now += time.Duration(d.rng.ExpFloat64() / rate * float64(time.Second))
		var left []scheduledRetry
		for _, c := range d.scheduledRetries {
			if c.at <= d.now {
				d.arrive(c.key, c.first, failureRatio, retryProbability)
			} else {
				left = append(left, c)
			}
		}
		d.scheduledRetries = left
		d.arrive(1+uint64(d.rng.IntN(d.keys)), d.now, failureRatio, retryProbability)
		if line, changed := d.m.Evaluate(d.now); changed {
			d.lines = append(d.lines, line)
		}
	}
}

// The first log line counts the time from the first evaluation, wherever the clock begins.
func TestStateDurationCountsFromTheFirstEvaluation(t *testing.T) {
	t.Parallel()
	d := newTraffic()
	d.now = time.Hour
	d.run(3*time.Second, 200, 0, 0)
	d.run(2*time.Second, 200, 0.5, 1)
	if len(d.lines) == 0 || !strings.Contains(d.lines[0], "after calm for 3.") {
		t.Errorf("log lines: %q", d.lines)
	}
}

// The phases are calm, rising, storm, recovering and calm again, with a log line for each change that states its
// evidence.
func TestStormPhases(t *testing.T) {
	d := newTraffic()
	d.run(10*time.Second, 100, 0.01, 1)
	if d.m.State() != Calm || len(d.lines) > 0 {
		t.Fatalf("state %v while hardly anything fails: %q", d.m.State(), d.lines)
	}
	d.run(5*time.Second, 100, 0.5, 1)
	if d.m.State() != Storm {
		t.Errorf("state %v with half of the requests failing and retried", d.m.State())
	}
	d.run(time.Second, 100, 0.01, 1)
	if d.m.State() != Recovering && d.m.State() != Storm {
		t.Errorf("state %v one second after the failures ended", d.m.State())
	}
	d.run(6*time.Second, 100, 0.01, 1)
	if d.m.State() != Calm {
		t.Errorf("state %v seven seconds after the failures ended", d.m.State())
	}
	if len(d.lines) < 3 || len(d.lines) > 6 || !strings.Contains(d.lines[len(d.lines)-1], "requests a second come") {
		t.Errorf("%d log lines: %q", len(d.lines), d.lines)
	}
	if d.recognized < d.retries*8/10 || d.falsePositives > 5 {
		t.Errorf("%d of %d retries are recognized, and %d other requests taken for one", d.recognized, d.retries, d.falsePositives)
	}
}

// None of these is a storm: a jump of traffic that is served, a short outage, and many unserved requests that are not
// retried.
func TestServedTrafficIsNoStorm(t *testing.T) {
	d := newTraffic()
	d.run(5*time.Second, 100, 0.01, 1)
	d.run(6*time.Second, 240, 0.03, 1)
	d.run(100*ms, 100, 1, 0)
	d.run(4*time.Second, 100, 0.01, 1)
	for _, l := range d.lines {
		if strings.HasPrefix(l, "storm") {
			t.Error(l)
		}
	}
	d.run(5*time.Second, 100, 0.5, 0)
	if d.m.State() != Rising {
		t.Errorf("state %v where half of the requests go unserved and none is retried", d.m.State())
	}
}

// Where all clients request the same few keys, a match proves nothing, and hardly any request is taken for a retry.
func TestHotKeysAreNotTakenForRetries(t *testing.T) {
	d := newTraffic()
	d.keys = 3
	d.run(10*time.Second, 100, 0.4, 0)
	if d.falsePositives > 20 {
		t.Errorf("%d of some 1000 requests are taken for retries", d.falsePositives)
	}
}

// While it is calm a retry is served like any other request. In a storm its time counts from its first arrival, and a
// retry that came earlier than its client was told has a lower priority.
func TestPriorityOfRetries(t *testing.T) {
	d := newTraffic()
	d.run(5*time.Second, 100, 0.5, 1)
	first := d.now
	d.m.RecordEnd(d.now, 7, first, d.now+time.Second, false)
	d.now += 100 * ms
	if s := d.m.RecordArrival(d.now, 7, false); !s.IsRetry || s.FirstArrival != first || s.CountFrom != first || s.PriorityFactor >= 1 {
		t.Errorf("early retry in a storm: %+v", s)
	}
	d.m.RecordEnd(d.now, 7, first, d.now+100*ms, false)
	d.now += 100 * ms
	if s := d.m.RecordArrival(d.now, 7, false); !s.IsRetry || s.CountFrom != first || s.PriorityFactor != 1 {
		t.Errorf("retry at the time told, in a storm: %+v", s)
	}
	d.m.state = Calm
	d.m.RecordEnd(d.now, 8, first, d.now+time.Second, false)
	if s := d.m.RecordArrival(d.now, 8, false); s.CountFrom != d.now || s.PriorityFactor != 1 {
		t.Errorf("early retry while calm: %+v", s)
	}
	if s := d.m.RecordArrival(d.now, 0, true); !s.IsRetry || s.FirstArrival >= d.now {
		t.Errorf("marked retry of a request to another proxy: %+v", s)
	}
}

// A thousand requests are rejected at once, and capacity for a hundred a second is free beside the fresh requests: the
// retry times fill the coming seconds evenly, and a request for which no capacity is left in its time gets the longest
// retry time.
func TestRetryAfterFillsFreeCapacity(t *testing.T) {
	m := newTestModel()
	now := time.Second
	for range 4000 { // 400 are served a second
		now += 5 * ms / 2
		m.RecordArrival(now, 0, false)
		m.RecordEnd(now, 0, now, 0, true)
	}
	m.state = Storm
	m.arrivals, m.retries = sumAtRate(500, now), sumAtRate(0, now)
	if after := m.RetryAfter(now, time.Second); after != m.cfg.MaxRetryAfter {
		t.Errorf("retry time without free capacity: %v", after)
	}
	m.arrivals = sumAtRate(m.updatePeakRate(now)-100, now)
	perTenth := map[int]int{}
	atMaximum := 0
	for range 1000 {
		after := m.RetryAfter(now, 1500*ms)
		if after == m.cfg.MaxRetryAfter {
			atMaximum++
			continue
		}
		perTenth[int(after/(100*ms))]++
	}
	scheduled := 1000 - atMaximum
	if scheduled < 120 || scheduled > 155 { // 1.5 s at a hundred a second
		t.Errorf("%d clients are told to retry within 1.5 s", scheduled)
	}
	for s := 1; s < 15; s++ {
		if n := perTenth[s]; n < 6 || n > 14 {
			t.Errorf("%d retries in tenth of a second %d: %v", n, s, perTenth)
		}
	}
	m.state = Calm
	if after := m.RetryAfter(now, time.Second); after != m.cfg.CalmRetryAfter {
		t.Errorf("retry time while calm: %v", after)
	}
	m.cfg.SendsRetryAfter = false
	if after := m.RetryAfter(now, time.Second); after != 0 {
		t.Errorf("retry time with SendsRetryAfter not set: %v", after)
	}
}

// For any sequence of events, retry times and tables stay within their bounds, and no retry first arrived later than it
// came.
func TestResultsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, now := newTestModel(), time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "gap"))
			key := uint64(rapid.IntRange(0, 5).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				s := m.RecordArrival(now, key, rapid.Bool().Draw(t, "marked"))
				if s.FirstArrival > now || s.CountFrom > now || s.CountFrom < s.FirstArrival || !(s.PriorityFactor > 0 && s.PriorityFactor <= 1) {
					t.Fatalf("at %v: arrival %+v", now, s)
				}
			case 1:
				m.RecordEnd(now, key, now, now, rapid.Bool().Draw(t, "served"))
			case 2:
				left := time.Duration(rapid.Int64Range(-int64(time.Second), int64(5*time.Second)).Draw(t, "left"))
				if after := m.RetryAfter(now, left); after < 0 || after > m.cfg.MaxRetryAfter {
					t.Fatalf("retry time %v", after)
				}
			case 3:
				m.Evaluate(now)
			}
			if len(m.ended.byKey) > maxEndedRequests || len(m.ended.order)-m.ended.head > 2*maxEndedRequests {
				t.Fatalf("%d requests stored, %d in order", len(m.ended.byKey), len(m.ended.order))
			}
		}
	})
}

// The number of stored requests is bounded, however many go unserved.
func TestEndedRequestsAreBounded(t *testing.T) {
	m := newTestModel()
	for i := range uint64(10 * maxEndedRequests) {
		m.RecordEnd(time.Second, i+1, 0, 0, false)
	}
	if len(m.ended.byKey) > maxEndedRequests || len(m.ended.order) > maxEndedRequests {
		t.Errorf("%d requests are stored, %d in order", len(m.ended.byKey), len(m.ended.order))
	}
	m.RecordEnd(time.Minute, 1, 0, 0, false)
	if len(m.ended.byKey) != 1 {
		t.Errorf("%d requests are stored a minute later, want 1", len(m.ended.byKey))
	}
}

func BenchmarkServedRequest(b *testing.B) {
	m, now := newTestModel(), time.Second
	b.ReportAllocs()
	for i := uint64(1); b.Loop(); i++ {
		now += ms
		s := m.RecordArrival(now, i, false)
		m.RecordEnd(now, i, s.FirstArrival, 0, true)
	}
}

func sumAtRate(perSecond float64, now time.Duration) decay.Sum {
	return decay.NewSum(perSecond*rateWindow.Seconds(), now)
}

// A proxy whose last requests failed must not stay in the phase that they caused while no other requests come: the
// ratios of sums that decay alike do not change.
func TestSilenceEndsAStorm(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		retried bool
		state   State
	}{
		{"failed", false, Rising},
		{"failed and retried", true, Storm},
	} {
		m, now := newTestModel(), time.Second
		evaluate := func() {
			now += 100 * time.Millisecond
			m.Evaluate(now)
		}
		evaluate()
		for range 10 {
			for range 5 {
				m.RecordArrival(now, 0, c.retried)
				m.RecordEnd(now, 0, now, 0, false)
			}
			evaluate()
		}
		if m.State() != c.state {
			t.Fatalf("%s: state %v", c.name, m.State())
		}
		evaluate()
		if m.State() != c.state {
			t.Errorf("%s: state %v after 100 ms without a request", c.name, m.State())
		}
		for range 100 {
			evaluate()
		}
		if m.State() != Calm {
			t.Errorf("%s: after 10 s without a request the state is %v", c.name, m.State())
		}
	}
}
