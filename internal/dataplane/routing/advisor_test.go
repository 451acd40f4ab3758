package routing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"marlreel/internal/balancer"
	"marlreel/internal/balancer/budgetshare"
	"marlreel/internal/balancer/prefixcache"
	"marlreel/internal/dataplane/backlog"
)

func newAdvisor() *Advisor {
	a := New(Config{
		Self: "proxy", ServesModels: true, Warmup: budgetshare.WarmupConfig{PerSecond: 1, Excess: 1},
		RetryBudget: budgetshare.RetryConfig{Ratio: 1, Slack: 10, Window: time.Second},
	}, 0)
	a.SetBackends(0, []Backend{
		{Backend: prefixcache.Backend{ID: 1, Slots: 4, Loaded: []prefixcache.LoadedModel{{Model: "m", Adapters: []string{"a1"}}}}, Name: "one"},
		{Backend: prefixcache.Backend{ID: 2, Slots: 8, Loaded: []prefixcache.LoadedModel{{Model: "m"}, {Model: "n"}}}, Name: "two"},
	})
	return a
}

func TestExtraIsPeerBacklog(t *testing.T) {
	is := is.New(t)
	a := newAdvisor()
	q := &balancer.Request{}
	is.Equal(a.ExtraDelay(0, q, 1), 0.0) // no report has come
	a.RecordPeerBacklog(time.Second, backlog.Work{backlog.Key("one"): 250})
	is.Equal(a.ExtraDelay(time.Second, q, 1), 250.0)
	is.Equal(a.ExtraDelay(time.Second, q, 2), 0.0)
	is.Equal(a.ExtraDelay(time.Second, q, 3), 0.0)                                    // it is not listed
	is.Equal(a.ExtraDelay(time.Second+backlog.ReportTTL+time.Millisecond, q, 1), 0.0) // the report has expired
}

func TestHoldsLoadedModels(t *testing.T) {
	is := is.New(t)
	a := newAdvisor()
	holds := func(model, adapter string, id balancer.BackendID) bool {
		return a.CanServe(&balancer.Request{Needs: &balancer.Needs{Model: model, Adapter: adapter}}, id)
	}
	is.True(holds("m", "", 1))
	is.True(holds("m", "a1", 1))
	is.True(!holds("m", "a1", 2))
	is.True(!holds("n", "", 1))
	is.True(!holds("unknown", "", 1))
	is.True(a.CanServe(&balancer.Request{}, 1)) // nothing is needed
	is.Equal(a.Slots(2), 8)
	// The same question after another list has another answer.
	q := &balancer.Request{Needs: &balancer.Needs{Model: "n"}}
	is.True(!a.CanServe(q, 1))
	a.SetBackends(0, []Backend{{Backend: prefixcache.Backend{ID: 1, Slots: 4, Loaded: []prefixcache.LoadedModel{{Model: "n"}}}, Name: "one"}})
	is.True(a.CanServe(q, 1))
	is.True(!a.CanServe(q, 2))
	// Whoever has just failed it is passed by.
	is.True(!a.CanServe(&balancer.Request{Needs: &balancer.Needs{Model: "n", Avoid: 1}}, 1))
}

func TestBackendPriority(t *testing.T) {
	is := is.New(t)
	const short, long = 800 * time.Millisecond, 6 * time.Second
	is.Equal(BackendPriority(short, 1, 0), 1)
	is.Equal(BackendPriority(short, 2, 0), 2)
	is.Equal(BackendPriority(long, 0, 0), 3)                     // it has time
	is.Equal(BackendPriority(short, 0, short+1), lowestPriority) // it misses its target
	is.Equal(BackendPriority(long, 0, short+1), 3)               // it is not
	is.Equal(BackendPriority(time.Hour, 20, 0), lowestPriority)  // as backends know them
	is.Equal(BackendPriority(short, -3, 0), 0)
}
