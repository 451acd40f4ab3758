package balancer

import (
	"testing"
	"time"
)

// replicaAdvice is an Advice by which all backends can serve any request, and some have extra delay because of other
// proxies' requests.
type replicaAdvice struct {
	NoAdvice
	extraDelays map[BackendID]float64
}

func (a *replicaAdvice) ExtraDelay(_ time.Duration, _ *Request, to BackendID) float64 {
	return a.extraDelays[to]
}

// sendNeeds sends requests with Needs one after the other, and returns the number of them by backend.
func sendNeeds(t *testing.T, advice *replicaAdvice, requests int) map[BackendID]int {
	t.Helper()
	cfg := testConfig()
	cfg.Instances, cfg.Advice = 90, advice
	cfg.Caps.ConnIdle = 20 * second
	b, h := newBalancer(t, cfg, 40)
	sent := map[BackendID]int{}
	now := second
	for i := range requests {
		now += 100 * milli
		id := RequestID(100 + i)
		b.OnRequest(now, Request{ID: id, Class: unsafe, Deadline: now + 4*second, Needs: &Needs{Model: "m"}})
		sends := h.take("send")
		if len(sends) != 1 {
			t.Fatalf("%d sends for one request", len(sends))
		}
		sent[sends[0].to]++
		b.OnAttemptEnd(now+20*milli, Outcome{ID: id, Backend: sends[0].to, Result: OK, Took: 20 * milli, Final: true})
		h.take("send")
	}
	return sent
}

// Of many replicas a proxy uses a few, in its own zone if there are any, so that connections are reused.
func TestRequestsGoToFewReplicasNearby(t *testing.T) {
	sent := sendNeeds(t, &replicaAdvice{}, 100)
	if len(sent) > preferredReplicas+2 { // the first request has no measurements to compare replicas by
		t.Errorf("the requests went to %d replicas: %v", len(sent), sent)
	}
	for id, count := range sent {
		if zone := list(40)[id-1].Zone; zone != testConfig().Zone && count > 10 {
			t.Errorf("%d requests went to backend %d, which is in another zone", count, id)
		}
	}
}

// Replicas with a long queue of other proxies' requests are avoided, even if connections to them are open.
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
		t.Errorf("%d of 100 requests went to replicas with 20 s of queued work", busy)
	}
}

// A proxy's subset is meant for health checks and for requests that any backend can run. It must not limit the replicas
// for a request that few backends can run: of forty backends and ninety proxies only three would be left.
func TestSubsetDoesNotNarrowReplicas(t *testing.T) {
	advice := &replicaAdvice{extraDelays: map[BackendID]float64{}}
	for id := BackendID(1); id <= 40; id++ {
		advice.extraDelays[id] = 20000
	}
	advice.extraDelays[17] = 0
	sent := sendNeeds(t, advice, 200)
	if sent[17] < 20 {
		t.Errorf("%d of 200 requests went to the only idle replica: %v", sent[17], sent)
	}
}
