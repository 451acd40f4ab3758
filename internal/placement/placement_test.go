package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// fakeCluster simulates backends that start each order at once and complete it after a fixed duration.
type fakeCluster struct {
	planner    *Planner
	now        time.Duration
	loaded     map[string]map[string][]string
	revision   map[string]uint64
	doneAt     map[string]time.Duration
	pending    map[string]Order
	service    Service
	loads      []time.Duration // starts of loads from the store; repeated loads at a backend come from its own disk
	everLoaded map[string]bool // by backend and model
	t          *testing.T
}

func newFakeCluster(t *testing.T, backends, models int) *fakeCluster {
	c := &fakeCluster{
		planner: New(time.Second), now: time.Second, loaded: map[string]map[string][]string{}, revision: map[string]uint64{},
		doneAt: map[string]time.Duration{}, pending: map[string]Order{}, everLoaded: map[string]bool{}, t: t,
		service: Service{Models: map[string]Model{}, CapacityMB: 200000, MaxAdapters: 8, MaxLoadsPerSecond: 2.2},
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		c.service.Models[name] = Model{Name: name, SizeMB: 60000, LoadTime: 3 * time.Second, AdapterSizeMB: 66}
	}
	for i := range backends {
		c.loaded[fmt.Sprintf("b%d", i)] = map[string][]string{}
	}
	c.planner.Configure(c.service)
	return c
}

// step advances the time by 100 ms: backends report, and the planner's orders are accepted.
func (c *fakeCluster) step() {
	c.now += 100 * time.Millisecond
	var list []Backend
	for id, loaded := range c.loaded {
		list = append(list, Backend{ID: id, Usable: true, Loaded: loaded})
	}
	c.planner.SetBackends(c.now, list)
	for id := range c.loaded {
		if o, busy := c.pending[id]; busy && c.now >= c.doneAt[id] {
			c.finish(o)
			delete(c.pending, id)
		}
		_, busy := c.pending[id]
		c.planner.OnReport(c.now, id, Report{Busy: busy, Revision: c.revision[id], Loaded: c.loaded[id]})
	}
	for _, o := range c.planner.Plan(c.now) {
		c.accept(o)
	}
}

func (c *fakeCluster) accept(o Order) {
	c.t.Helper()
	if _, busy := c.pending[o.Backend]; busy {
		c.t.Fatalf("order to backend %s while another order is in progress", o.Backend)
	}
	if o.Revision != c.revision[o.Backend] {
		c.t.Fatalf("order to backend %s has revision %d, want %d", o.Backend, o.Revision, c.revision[o.Backend])
	}
	c.planner.OnOrderAccepted(c.now, o)
	c.revision[o.Backend]++
	c.pending[o.Backend] = o
	c.doneAt[o.Backend] = c.now + 50*time.Millisecond
	if o.Operation == Load && o.Adapter == "" {
		c.doneAt[o.Backend] = c.now + c.service.Models[o.Model].LoadTime
		if key := o.Backend + " " + o.Model; !c.everLoaded[key] {
			c.everLoaded[key] = true
			c.loads = append(c.loads, c.now)
		}
		c.loaded[o.Backend][o.Model] = nil // a load takes memory from its start
		used := 0.0
		for name := range c.loaded[o.Backend] {
			used += c.service.Models[name].SizeMB
		}
		if used > c.service.CapacityMB {
			c.t.Fatalf("order to backend %s needs %v MB in total, more than its capacity", o.Backend, used)
		}
		delete(c.loaded[o.Backend], o.Model)
	}
}

func (c *fakeCluster) finish(o Order) {
	loaded := c.loaded[o.Backend]
	switch {
	case o.Operation == Load && o.Adapter == "":
		loaded[o.Model] = nil
	case o.Operation == Load:
		loaded[o.Model] = append(loaded[o.Model], o.Adapter)
	case o.Adapter == "":
		delete(loaded, o.Model)
	}
}

func (c *fakeCluster) replicas(model string) int {
	n := 0
	for _, loaded := range c.loaded {
		if _, found := loaded[model]; found {
			n++
		}
	}
	return n
}

// request simulates requests at the given rates (requests a second, by model) and work for each, for a span.
func (c *fakeCluster) request(span time.Duration, rates map[string]float64, workMS float64) {
	for end := c.now + span; c.now < end; {
		for model, rate := range rates {
			waiting := 0
			if c.replicas(model) == 0 {
				waiting = 1
			}
			if count := int(rate*float64(c.now/time.Millisecond)/1000) - int(rate*float64((c.now-100*time.Millisecond)/time.Millisecond)/1000); count > 0 || waiting > 0 {
				c.planner.RecordDemand(c.now, "node", "z0", Key{Model: model}, count, workMS*float64(count), waiting)
			}
		}
		c.step()
	}
}

// A model with more work than one backend can do is loaded at several, however much its work exceeds one backend's
// time.
func TestOverloadedModelIsReplicated(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, 10, 30)
	c.request(20*time.Second, map[string]float64{"m0": 40}, 150) // the time of six backends
	is.True(c.replicas("m0") >= 8)
}

func TestIdleReplicasAreEvictedBeforeRareModels(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, 6, 30)
	rare := map[string]float64{"m0": 20}
	for i := 1; i <= 8; i++ {
		rare[fmt.Sprintf("m%d", i)] = 0.1
	}
	c.request(40*time.Second, rare, 120)
	is.True(c.replicas("m0") >= 4)
	delete(rare, "m0") // m0 gets no more requests, and m20 gets as many
	rare["m20"] = 20
	c.request(15*time.Second, rare, 120)
	is.True(c.replicas("m20") >= 4)
	kept := 0
	for i := 1; i <= 8; i++ {
		kept += min(1, c.replicas(fmt.Sprintf("m%d", i)))
	}
	is.True(kept >= 7) // the rarely requested models stay loaded
}

func TestWaitingModelIsLoadedAtOnce(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, 3, 10)
	for range 30 { // fill the token bucket of the store
		c.step()
	}
	c.planner.RecordDemand(c.now, "node", "z0", Key{Model: "m5"}, 1, 100, 1)
	c.step()
	is.Equal(len(c.loads), 1)
}

// Loads from the store stay within its rate limit in every window, however high the demand.
func TestStoreLoadsStayWithinRateLimit(t *testing.T) {
	c := newFakeCluster(t, 12, 60)
	rates := map[string]float64{}
	for i := range 60 {
		rates[fmt.Sprintf("m%d", i)] = 0.5
	}
	c.request(60*time.Second, rates, 100)
	const window, excess = 5 * time.Second, 1.1
	for _, from := range c.loads {
		n := 0
		for _, at := range c.loads {
			if at >= from && at < from+window {
				n++
			}
		}
		if allowed := c.service.MaxLoadsPerSecond*window.Seconds()*excess + 3; float64(n) > allowed {
			t.Fatalf("%d loads in the window from %v, want at most %v", n, from, allowed)
		}
	}
	if len(c.loads) < 20 {
		t.Fatalf("%d loads, want at least 20", len(c.loads))
	}
}

func TestAdapterIsLoadedWithItsModel(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, 4, 4)
	c.request(6*time.Second, map[string]float64{"m0": 5}, 100)
	c.planner.RecordDemand(c.now, "node", "z0", Key{Model: "m0", Adapter: "a1"}, 1, 100, 1)
	c.step()
	c.step()
	found := 0
	for _, loaded := range c.loaded {
		for _, adapter := range loaded["m0"] {
			if adapter == "a1" {
				found++
			}
		}
	}
	is.Equal(found, 1)
}

// An order to unload without a response may not have reached its backend. Nothing is loaded into the memory that it was
// to free until the backend has reported its loaded models.
func TestNoLoadIntoMemoryOfUnansweredUnload(t *testing.T) {
	is := is.New(t)
	now := time.Second
	p := New(now)
	p.Configure(Service{Models: map[string]Model{
		"m0": {Name: "m0", SizeMB: 60000, LoadTime: time.Second},
		"m1": {Name: "m1", SizeMB: 60000, LoadTime: time.Second},
	}, CapacityMB: 100000, MaxAdapters: 8, MaxLoadsPerSecond: 10})
	full := map[string][]string{"m0": nil}
	p.SetBackends(now, []Backend{{ID: "b0", Usable: true, Loaded: full}})
	p.OnReport(now, "b0", Report{Revision: 3, Loaded: full})
	now += 2 * defaultWeights().minLoadedTime
	p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
	unload := p.Plan(now)
	is.Equal(len(unload), 1)
	is.Equal(unload[0].Operation, Unload)

	step := func() []Order { // one cycle of the reconciler
		now += 100 * time.Millisecond
		p.VisitPendingOrders(now, func(o Order, since, _ time.Duration, instant bool) {
			if instant && now-since >= 60*time.Millisecond {
				p.AssumeCompleted(now, o)
			}
		})
		p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
		return p.Plan(now)
	}
	for range 5 {
		is.Equal(len(step()), 0) // the response is outstanding
	}
	p.OnOrderFailed(now, unload[0])
	is.Equal(len(step()), 0)
	p.OnReport(now, "b0", Report{Revision: 3, Loaded: full}) // the order has not arrived
	now += failureBackoff
	again := step()
	is.Equal(len(again), 1)
	is.Equal(again[0].Operation, Unload)
	p.OnOrderAccepted(now, again[0])
	loads := step()
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Operation, Load)
	is.Equal(loads[0].Revision, uint64(4))
}

// A model that was removed from the configuration takes memory until the backend has unloaded it.
func TestUnconfiguredModelsTakeMemory(t *testing.T) {
	for name, knownBefore := range map[string]bool{"known before": true, "never known here": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Second
			p := New(now)
			cfg := Service{
				CapacityMB: 100000, MaxAdapters: 8, MaxLoadsPerSecond: 10,
				Models: map[string]Model{"old": {Name: "old", SizeMB: 60000}, "m1": {Name: "m1", SizeMB: 60000, LoadTime: time.Second}},
			}
			if knownBefore {
				p.Configure(cfg)
			}
			loaded := map[string][]string{"old": {"a1"}}
			p.SetBackends(now, []Backend{{ID: "b0", Usable: true, Loaded: loaded}})
			p.OnReport(now, "b0", Report{Revision: 1, Loaded: loaded})
			cfg.Models = map[string]Model{"m1": cfg.Models["m1"]}
			p.Configure(cfg)
			p.Configure(cfg)
			now += 2 * defaultWeights().minLoadedTime
			p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
			orders := p.Plan(now)
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Operation, Unload)
			is.Equal(orders[0].Model, "old")
		})
	}
}

// A rarely requested model with a waiting request evicts an equally rare one without, if the latency target exceeds the
// load time: the next request for the evicted model can then also wait for a load.
func TestWaitingRareModelEvictsIdleOne(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, 2, 12) // each has memory for three models
	for i := range 12 {
		c.planner.RecordLatencyTarget(fmt.Sprintf("m%d", i), 6*time.Second, 1)
	}
	rates := map[string]float64{}
	for i := range 6 {
		rates[fmt.Sprintf("m%d", i)] = 0.15
	}
	c.request(40*time.Second, rates, 120)
	for i := range 6 {
		is.Equal(c.replicas(fmt.Sprintf("m%d", i)), 1)
	}
	for range 60 {
		c.planner.RecordLatencyTarget("m9", 6*time.Second, 0)
		c.planner.RecordDemand(c.now, "node", "z0", Key{Model: "m9"}, 0, 0, 1)
		c.step()
	}
	is.Equal(c.replicas("m9"), 1)
}

// Proxies are notified before the unload of a model that still gets requests, but not of an idle one.
func TestUnloadDelay(t *testing.T) {
	is := is.New(t)
	c := newFakeCluster(t, 2, 4)
	c.request(20*time.Second, map[string]float64{"m0": 5, "m1": 0.1}, 100)
	unload := func(model string) Order { return Order{Backend: "b0", Operation: Unload, Key: Key{Model: model}} }
	is.Equal(c.planner.UnloadDelay(c.now, unload("m0")), unloadNotice)
	is.Equal(c.planner.UnloadDelay(c.now, unload("m1")), time.Duration(0))
	is.Equal(c.planner.UnloadDelay(c.now, Order{Backend: "b0", Operation: Load, Key: Key{Model: "m0"}}), time.Duration(0))
	is.Equal(c.planner.UnloadDelay(c.now, Order{Backend: "b0", Operation: Unload, Key: Key{Model: "m0", Adapter: "a1"}}), time.Duration(0))
}

// Guards against an order to load more than a backend's memory can hold. A report from before a load, followed by one
// during the load, gave the planner the new revision together with the old list of loaded models.
func TestNoLoadBesideALoadUnderWay(t *testing.T) {
	before := map[string][]string{"m0": nil}
	report := Report{Revision: 3, Loaded: before}
	underWay := Report{Revision: 4, Loaded: before, Busy: true}
	for name, events := range map[string]func(p *Planner, now time.Duration, load Order){
		"the response is outstanding": func(p *Planner, now time.Duration, _ Order) {
			p.OnReport(now, "b0", report)
			p.OnReport(now, "b0", underWay)
		},
		"the response came between the reports": func(p *Planner, now time.Duration, load Order) {
			p.OnReport(now, "b0", report)
			p.OnOrderAccepted(now, load)
			p.OnReport(now, "b0", underWay)
		},
		"the response was lost": func(p *Planner, now time.Duration, load Order) {
			p.OnOrderFailed(now, load)
			p.OnReport(now, "b0", report)
			p.OnReport(now, "b0", underWay)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Second
			p := New(now)
			service := Service{CapacityMB: 130000, MaxAdapters: 8, MaxLoadsPerSecond: 10, Models: map[string]Model{}}
			for _, model := range []string{"m0", "m1", "m2"} {
				service.Models[model] = Model{Name: model, SizeMB: 60000, LoadTime: 3 * time.Second}
			}
			p.Configure(service)
			p.SetBackends(now, []Backend{{ID: "b0", Usable: true, Loaded: before}})
			p.OnReport(now, "b0", report)
			now += time.Second
			p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
			orders := p.Plan(now)
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Model, "m1")
			events(p, now, orders[0])
			now += 2 * failureBackoff
			p.RecordDemand(now, "n", "east", Key{Model: "m2"}, 5, 1000, 5)
			is.Equal(len(p.Plan(now)), 0) // m1 is being loaded into the remaining memory

			now += 3 * time.Second
			p.OnReport(now, "b0", Report{Revision: 4, Loaded: map[string][]string{"m0": nil, "m1": nil}})
			p.RecordDemand(now, "n", "east", Key{Model: "m2"}, 5, 1000, 5)
			for _, o := range p.Plan(now) {
				is.Equal(o.Operation, Unload)
				is.Equal(o.Revision, uint64(4))
			}
		})
	}
}
