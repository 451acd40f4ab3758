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

func TestExtraDelayIsPeerBacklog(t *testing.T) {
	is := is.New(t)
	a := newAdvisor()
	q := &balancer.Request{}
	is.Equal(a.ExtraDelay(0, q, 1), 0.0) // no report yet
	a.RecordPeerBacklog(time.Second, backlog.Work{backlog.Key("one"): 250})
	is.Equal(a.ExtraDelay(time.Second, q, 1), 250.0)
	is.Equal(a.ExtraDelay(time.Second, q, 2), 0.0)
	is.Equal(a.ExtraDelay(time.Second, q, 3), 0.0)                                    // the backend is unknown
	is.Equal(a.ExtraDelay(time.Second+backlog.ReportTTL+time.Millisecond, q, 1), 0.0) // the report has expired
}

func TestCanServeLoadedModels(t *testing.T) {
	is := is.New(t)
	a := newAdvisor()
	canServe := func(model, adapter string, id balancer.BackendID) bool {
		return a.CanServe(&balancer.Request{Needs: &balancer.Needs{Model: model, Adapter: adapter}}, id)
	}
	is.True(canServe("m", "", 1))
	is.True(canServe("m", "a1", 1))
	is.True(!canServe("m", "a1", 2))
	is.True(!canServe("n", "", 1))
	is.True(!canServe("unknown", "", 1))
	is.True(a.CanServe(&balancer.Request{}, 1)) // the request needs no model
	is.Equal(a.Slots(2), 8)
	// A new list of backends changes the answer for the same request.
	q := &balancer.Request{Needs: &balancer.Needs{Model: "n"}}
	is.True(!a.CanServe(q, 1))
	a.SetBackends(0, []Backend{{Backend: prefixcache.Backend{ID: 1, Slots: 4, Loaded: []prefixcache.LoadedModel{{Model: "n"}}}, Name: "one"}})
	is.True(a.CanServe(q, 1))
	is.True(!a.CanServe(q, 2))
	// The backend that has just failed the request is avoided.
	is.True(!a.CanServe(&balancer.Request{Needs: &balancer.Needs{Model: "n", Avoid: 1}}, 1))
}

func TestBackendPriority(t *testing.T) {
	is := is.New(t)
	const short, long = 800 * time.Millisecond, 6 * time.Second
	is.Equal(BackendPriority(short, 1, 0), 1)
	is.Equal(BackendPriority(short, 2, 0), 2)
	is.Equal(BackendPriority(long, 0, 0), 3)                     // the request can wait
	is.Equal(BackendPriority(short, 0, short+1), lowestPriority) // the request misses its target
	is.Equal(BackendPriority(long, 0, short+1), 3)               // the target can still be met
	is.Equal(BackendPriority(time.Hour, 20, 0), lowestPriority)  // backends support no lower one
	is.Equal(BackendPriority(short, -3, 0), 0)
}
