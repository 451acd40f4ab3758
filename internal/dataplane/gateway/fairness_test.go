package gateway

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tenantTraffic is the traffic of a tenant in a test, and how much of it was served.
type tenantTraffic struct {
	key      string
	interval time.Duration // between two requests

	mu           sync.Mutex
	sent, served int
}

// run sends requests for span, each over a connection of its own, and returns once all are answered.
func (w *tenantTraffic) run(h *harness, span time.Duration) {
	var open sync.WaitGroup
	for range int(span / w.interval) {
		open.Go(func() {
			status, _ := h.send("/keyed/1", "Authorization: Bearer "+w.key+"\r\nTime-Remaining: 500\r\n")
			w.mu.Lock()
			defer w.mu.Unlock()
			w.sent++
			if status == 200 {
				w.served++
			}
		})
		time.Sleep(w.interval)
	}
	open.Wait()
}

func (w *tenantTraffic) servedRatio() float64 { return float64(w.served) / float64(w.sent) }

// Guards against starvation: beside a tenant that floods the service, the served share of another tenant's requests is
// about that of all requests.
func TestFloodOfOneTenantStarvesNoOther(t *testing.T) {
	const span = 8 * time.Second
	runGateway(t, documentOf(t, limitedTenants), nil, func(h *harness) {
		is := is.New(h.t)
		h.addBackend() // 6 slots of 20 ms: 300 requests a second
		flood := &tenantTraffic{key: "k1", interval: time.Second / 1000}
		other := &tenantTraffic{key: "k2", interval: time.Second / 50}
		var running sync.WaitGroup
		running.Go(func() { flood.run(h, span) })
		running.Go(func() { other.run(h, span) })
		running.Wait()
		ofAll := float64(flood.served+other.served) / float64(flood.sent+other.sent)
		h.t.Logf("served: flood %.2f, other %.2f, all %.2f", flood.servedRatio(), other.servedRatio(), ofAll)
		is.True(ofAll < 0.5)                    // the service is overloaded
		is.True(other.servedRatio() >= ofAll/2) // stricter than the fairness rule, which allows a quarter
	})
}
