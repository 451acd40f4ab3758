package metrics

import (
	"testing"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/testing/recorded"
)

// Checks the lines of /control/counters and their order: names, kinds and sanitized class names.
func TestCompatibilityCounters(t *testing.T) {
	c := New(func() uint64 { return 7 }, []balancer.Class{{Name: "bid"}, {Name: "lot-list"}, {Name: "odd name:1|c"}})
	for _, v := range []engine.Verdict{engine.Served, engine.Served, engine.Served, engine.Rejected, engine.Overloaded, engine.Failed, engine.TimedOut, engine.Stopped} {
		answered(c, 0, v)
	}
	answered(c, 1, engine.Served)
	c.OnCallAccepted(0, &engine.Call{})
	c.SetGauges(12, 3, retrystorm.Rising)
	c.RecordSettings(true)
	c.RecordSettings(false)
	c.RecordSettings(false)
	recorded.Check(t, "counters.txt", string(c.Append(nil)))
}
