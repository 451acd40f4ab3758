package balancer

import (
	"testing"
	"time"
)

// replicaAdvice is an Advice by which all backends hold everything, and others have sent work to some.
type replicaAdvice struct {
	NoAdvice
	extraDelays map[BackendID]float64
}

func (a *replicaAdvice) ExtraDelay(_ time.Duration, _ *Request, to BackendID) float64 {
	return a.extraDelays[to]
}

// sendNeeds has a proxy serve requests for what few backends hold, one after the other, and tells where they went.
func sendNeeds(t *testing.T, advice *replicaAdvice, requests int) map[BackendID]int {
	t.Helper()
	cfg := testConfig()
	cfg.Instances, cfg.Advice = 90, advice
	cfg.Caps.ConnIdle = 20 * second
	b, h := newBalancer(t, cfg, 40)
	went := map[BackendID]int{}
	now := second
	for i := range requests {
		now += 100 * milli
		id := RequestID(100 + i)
		b.OnRequest(now, Request{ID: id, Class: unsafe, Deadline: now + 4*second, Needs: &Needs{Model: "m"}})
		sends := h.take("send")
		if len(sends) != 1 {
			t.Fatalf("%d sends for one request", len(sends))
		}
		went[sends[0].to]++
		b.OnAttemptEnd(now+20*milli, Outcome{ID: id, Backend: sends[0].to, Result: OK, Took: 20 * milli, Final: true})
		h.take("send")
	}
	return went
}

// Of many replicas a proxy turns to a few, of its own zone where there are any, so that connections last.
func TestRequestsGoToFewReplicasNearby(t *testing.T) {
	went := sendNeeds(t, &replicaAdvice{}, 100)
	if len(went) > preferredReplicas+2 { // the first one of all has nothing to be compared by
		t.Errorf("they went to %d replicas: %v", len(went), went)
	}
	for id, count := range went {
		if zone := list(40)[id-1].Zone; zone != testConfig().Zone && count > 10 {
			t.Errorf("%d went to %d, which is in another zone", count, id)
		}
	}
}

// Holders to which others have sent far more than they can begin soon are passed by, though connections rest there.
func TestBusyReplicasAreAvoided(t *testing.T) {
	advice := &replicaAdvice{extraDelays: map[BackendID]float64{}}
	usual := sendNeeds(t, advice, 100)
	for id := range usual {
		advice.extraDelays[id] = 20000
	}
	busy := 0
	for id, count := range sendNeeds(t, advice, 100) {
		if advice.extraDelays[id] > 0 {
			busy += count
		}
	}
	if busy > 10 {
		t.Errorf("%d of 100 went to replicas with 20 s of work", busy)
	}
}

// A proxy's subset of backends, made for health checks and for requests that any backend can run, does not narrow the
// replicas of what few have loaded: of forty backends and ninety proxies it would be three.
func TestSubsetDoesNotNarrowReplicas(t *testing.T) {
	advice := &replicaAdvice{extraDelays: map[BackendID]float64{}}
	for id := BackendID(1); id <= 40; id++ {
		advice.extraDelays[id] = 20000
	}
	advice.extraDelays[17] = 0
	went := sendNeeds(t, advice, 200)
	if went[17] < 20 {
		t.Errorf("%d of 200 went to the one replica that is idle: %v", went[17], went)
	}
}
