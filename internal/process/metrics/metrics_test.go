package metrics

import (
	"strings"
	"testing"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/retrystorm"
	"marlreel/internal/dataplane/engine"
)

func text(c *ProxyMetrics) string { return string(c.Append(nil)) }

func requireLines(t *testing.T, c *ProxyMetrics, lines ...string) {
	t.Helper()
	got := text(c)
	for _, l := range lines {
		if !strings.Contains("\n"+got, "\n"+l+"\n") {
			t.Errorf("no %q in\n%s", l, got)
		}
	}
}

func answered(c *ProxyMetrics, class int, v engine.Verdict) {
	call := &engine.Call{Request: balancer.Request{Class: class}}
	c.OnAnswered(0, call, engine.Answer{Verdict: v})
}

func TestLines(t *testing.T) {
	t.Parallel()
	c := New(func() uint64 { return 7 }, []balancer.Class{{Name: "bid"}, {Name: "lot-list"}})
	for _, v := range []engine.Verdict{engine.Served, engine.Served, engine.Rejected, engine.Overloaded, engine.Failed, engine.TimedOut, engine.Stopped} {
		answered(c, 0, v)
	}
	answered(c, 9, engine.Served) // an unknown class
	c.SetGauges(12, 3, retrystorm.Rising)
	c.RecordSettings(true)
	c.RecordSettings(false)
	c.RecordSettings(false)
	requireLines(t, c, "proxy.succeeded.bid:2|c", "proxy.declined.bid:2|c", "proxy.aborted.bid:3|c", "proxy.succeeded.lot-list:0|c",
		"proxy.forwards:7|c", "proxy.outstanding:0|g", "proxy.discovered:12|g", "proxy.ejected:3|g", "proxy.storm:1|g",
		"proxy.sighup_applied:1|c", "proxy.sighup_rejected:2|c")
}

// A class that stays keeps its counters, which must not decrease. No class name can break the line format.
func TestCountersSurviveChangesOfClasses(t *testing.T) {
	t.Parallel()
	c := New(func() uint64 { return 0 }, []balancer.Class{{Name: "a"}, {Name: "b:|\n.c"}})
	answered(c, 0, engine.Served)
	answered(c, 1, engine.Served)
	c.SetClasses([]balancer.Class{{Name: "a"}, {Name: "b:|\n.c"}, {Name: "new"}})
	answered(c, 0, engine.Served)
	answered(c, 2, engine.Served)
	requireLines(t, c, "proxy.succeeded.a:2|c", "proxy.succeeded.b____c:1|c", "proxy.succeeded.new:1|c")
	for line := range strings.Lines(text(c)) {
		if strings.Count(line, ":") != 1 || strings.Count(line, "|") != 1 {
			t.Errorf("malformed line %q", line)
		}
	}
}
