package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// world is a simple model of backends that carry orders out at once, after their time.
type world struct {
	planner  *Planner
	now      time.Duration
	holds    map[string]map[string][]string
	revision map[string]uint64
	until    map[string]time.Duration
	doing    map[string]Order
	service  Service
	loads    []time.Duration // from the store: what a backend has held before comes from its own disk
	had      map[string]bool // by backend and model
	t        *testing.T
}

func newWorld(t *testing.T, backends, models int) *world {
	w := &world{
		planner: New(time.Second), now: time.Second, holds: map[string]map[string][]string{}, revision: map[string]uint64{},
		until: map[string]time.Duration{}, doing: map[string]Order{}, had: map[string]bool{}, t: t,
		service: Service{Models: map[string]Model{}, CapacityMB: 200000, MaxAdapters: 8, MaxLoadsPerSecond: 2.2},
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		w.service.Models[name] = Model{Name: name, SizeMB: 60000, LoadTime: 3 * time.Second, AdapterSizeMB: 66}
	}
	for i := range backends {
		w.holds[fmt.Sprintf("b%d", i)] = map[string][]string{}
	}
	w.planner.Configure(w.service)
	return w
}

// step lets 100 ms pass.
func (w *world) step() {
	w.now += 100 * time.Millisecond
	var list []Backend
	for id, holds := range w.holds {
		list = append(list, Backend{ID: id, Usable: true, Loaded: holds})
	}
	w.planner.SetBackends(w.now, list)
	for id := range w.holds {
		if o, busy := w.doing[id]; busy && w.now >= w.until[id] {
			w.finish(o)
			delete(w.doing, id)
		}
		_, busy := w.doing[id]
		w.planner.OnReport(w.now, id, Report{Busy: busy, Revision: w.revision[id], Loaded: w.holds[id]})
	}
	for _, o := range w.planner.Plan(w.now) {
		w.take(o)
	}
}

func (w *world) take(o Order) {
	w.t.Helper()
	if _, busy := w.doing[o.Backend]; busy {
		w.t.Fatalf("an order to %s, which carries one out", o.Backend)
	}
	if o.Revision != w.revision[o.Backend] {
		w.t.Fatalf("an order to %s with %d, and it has taken %d", o.Backend, o.Revision, w.revision[o.Backend])
	}
	w.planner.OnOrderAccepted(w.now, o)
	w.revision[o.Backend]++
	w.doing[o.Backend] = o
	w.until[o.Backend] = w.now + 50*time.Millisecond
	if o.Operation == Load && o.Adapter == "" {
		w.until[o.Backend] = w.now + w.service.Models[o.Model].LoadTime
		if key := o.Backend + " " + o.Model; !w.had[key] {
			w.had[key] = true
			w.loads = append(w.loads, w.now)
		}
		w.holds[o.Backend][o.Model] = nil // its room is taken from here on
		used := 0.0
		for name := range w.holds[o.Backend] {
			used += w.service.Models[name].SizeMB
		}
		if used > w.service.CapacityMB {
			w.t.Fatalf("%s is ordered to hold %v MB", o.Backend, used)
		}
		delete(w.holds[o.Backend], o.Model)
	}
}

func (w *world) finish(o Order) {
	holds := w.holds[o.Backend]
	switch {
	case o.Operation == Load && o.Adapter == "":
		holds[o.Model] = nil
	case o.Operation == Load:
		holds[o.Model] = append(holds[o.Model], o.Adapter)
	case o.Adapter == "":
		delete(holds, o.Model)
	}
}

func (w *world) holders(model string) int {
	n := 0
	for _, holds := range w.holds {
		if _, is := holds[model]; is {
			n++
		}
	}
	return n
}

// ask lets so many requests a second of so much work each be asked, for a span.
func (w *world) ask(span time.Duration, rates map[string]float64, workMS float64) {
	for end := w.now + span; w.now < end; {
		for model, rate := range rates {
			waits := 0
			if w.holders(model) == 0 {
				waits = 1
			}
			if count := int(rate*float64(w.now/time.Millisecond)/1000) - int(rate*float64((w.now-100*time.Millisecond)/time.Millisecond)/1000); count > 0 || waits > 0 {
				w.planner.RecordDemand(w.now, "node", "z0", Key{Model: model}, count, workMS*float64(count), waits)
			}
		}
		w.step()
	}
}

// A model that is asked for far more than one backend can do gets more of them, however
// far beyond one backend's time its work is.
func TestOverloadedModelIsReplicated(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 10, 30)
	w.ask(20*time.Second, map[string]float64{"m0": 40}, 150) // six backends' time
	is.True(w.holders("m0") >= 8)
}

func TestIdleCopiesMakeRoomBeforeRareModels(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 6, 30)
	rare := map[string]float64{"m0": 20}
	for i := 1; i <= 8; i++ {
		rare[fmt.Sprintf("m%d", i)] = 0.1
	}
	w.ask(40*time.Second, rare, 120)
	is.True(w.holders("m0") >= 4)
	delete(rare, "m0") // it falls silent, and another one rises
	rare["m20"] = 20
	w.ask(15*time.Second, rare, 120)
	is.True(w.holders("m20") >= 4)
	kept := 0
	for i := 1; i <= 8; i++ {
		kept += min(1, w.holders(fmt.Sprintf("m%d", i)))
	}
	is.True(kept >= 7) // the rare ones stayed
}

func TestWaitingModelIsLoadedAtOnce(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 3, 10)
	for range 30 { // time for the store's bucket to fill
		w.step()
	}
	w.planner.RecordDemand(w.now, "node", "z0", Key{Model: "m5"}, 1, 100, 1)
	w.step()
	is.Equal(len(w.loads), 1)
}

// No window of the store's bound sees more loads than it allows, however much is asked.
func TestLoadsStayUnderTheCeiling(t *testing.T) {
	w := newWorld(t, 12, 60)
	rates := map[string]float64{}
	for i := range 60 {
		rates[fmt.Sprintf("m%d", i)] = 0.5
	}
	w.ask(60*time.Second, rates, 100)
	const window, excess = 5 * time.Second, 1.1
	for _, from := range w.loads {
		n := 0
		for _, at := range w.loads {
			if at >= from && at < from+window {
				n++
			}
		}
		if most := w.service.MaxLoadsPerSecond*window.Seconds()*excess + 3; float64(n) > most {
			t.Fatalf("%d loads in the window from %v, and %v are allowed", n, from, most)
		}
	}
	if len(w.loads) < 20 {
		t.Fatalf("only %d loads", len(w.loads))
	}
}

func TestAdapterIsLoadedWhereItsModelIs(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, 4)
	w.ask(6*time.Second, map[string]float64{"m0": 5}, 100)
	w.planner.RecordDemand(w.now, "node", "z0", Key{Model: "m0", Adapter: "a1"}, 1, 100, 1)
	w.step()
	w.step()
	found := 0
	for _, holds := range w.holds {
		for _, adapter := range holds["m0"] {
			if adapter == "a1" {
				found++
			}
		}
	}
	is.Equal(found, 1)
}

// An order to unload that got no answer may not have reached its backend. Nothing is loaded in the room that it was to
// make until the backend has said what it holds.
func TestNothingIsLoadedInRoomThatIsNotSure(t *testing.T) {
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
	now += 2 * keptFor
	p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
	unload := p.Plan(now)
	is.Equal(len(unload), 1)
	is.Equal(unload[0].Operation, Unload)

	look := func() []Order { // what the placer does ever again
		now += 100 * time.Millisecond
		p.VisitPendingOrders(now, func(o Order, since, _ time.Duration, quick bool) {
			if quick && now-since >= 60*time.Millisecond {
				p.AssumeCompleted(now, o)
			}
		})
		p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
		return p.Plan(now)
	}
	for range 5 {
		is.Equal(len(look()), 0) // its answer is not there
	}
	p.OnOrderFailed(now, unload[0])
	is.Equal(len(look()), 0)
	p.OnReport(now, "b0", Report{Revision: 3, Loaded: full}) // it has not arrived
	now += failureRest
	again := look()
	is.Equal(len(again), 1)
	is.Equal(again[0].Operation, Unload)
	p.OnOrderAccepted(now, again[0])
	loads := look()
	is.Equal(len(loads), 1)
	is.Equal(loads[0].Operation, Load)
	is.Equal(loads[0].Revision, uint64(4))
}

// A model that the configuration names no more takes its room until the backend has given it up.
func TestModelsThatAreConfiguredNoMoreTakeRoom(t *testing.T) {
	for name, knew := range map[string]bool{"known before": true, "never known here": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Second
			p := New(now)
			cfg := Service{
				CapacityMB: 100000, MaxAdapters: 8, MaxLoadsPerSecond: 10,
				Models: map[string]Model{"old": {Name: "old", SizeMB: 60000}, "m1": {Name: "m1", SizeMB: 60000, LoadTime: time.Second}},
			}
			if knew {
				p.Configure(cfg)
			}
			holds := map[string][]string{"old": {"a1"}}
			p.SetBackends(now, []Backend{{ID: "b0", Usable: true, Loaded: holds}})
			p.OnReport(now, "b0", Report{Revision: 1, Loaded: holds})
			cfg.Models = map[string]Model{"m1": cfg.Models["m1"]}
			p.Configure(cfg)
			p.Configure(cfg)
			now += 2 * keptFor
			p.RecordDemand(now, "n", "east", Key{Model: "m1"}, 5, 1000, 5)
			orders := p.Plan(now)
			is.Equal(len(orders), 1)
			is.Equal(orders[0].Operation, Unload)
			is.Equal(orders[0].Model, "old")
		})
	}
}

// A rare model that a request waits for takes the place of one that is as rare and that nobody waits for, where an aim
// outlasts a load: whoever asks for that one next can wait for it as well.
func TestARareModelThatIsWaitedForDisplacesAnIdleOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 12) // with room for three models each
	for i := range 12 {
		w.planner.RecordLatencyTarget(fmt.Sprintf("m%d", i), 6*time.Second, 1)
	}
	rates := map[string]float64{}
	for i := range 6 {
		rates[fmt.Sprintf("m%d", i)] = 0.15
	}
	w.ask(40*time.Second, rates, 120)
	for i := range 6 {
		is.Equal(w.holders(fmt.Sprintf("m%d", i)), 1)
	}
	for range 60 {
		w.planner.RecordLatencyTarget("m9", 6*time.Second, 0)
		w.planner.RecordDemand(w.now, "node", "z0", Key{Model: "m9"}, 0, 0, 1)
		w.step()
	}
	is.Equal(w.holders("m9"), 1)
}

// Proxies are told before a model leaves that they still send requests for, and not where nobody asks.
func TestAnUnloadOfWhatIsAskedForIsToldBefore(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2, 4)
	w.ask(20*time.Second, map[string]float64{"m0": 5, "m1": 0.1}, 100)
	unload := func(model string) Order { return Order{Backend: "b0", Operation: Unload, Key: Key{Model: model}} }
	is.Equal(w.planner.UnloadDelay(w.now, unload("m0")), unloadNotice)
	is.Equal(w.planner.UnloadDelay(w.now, unload("m1")), time.Duration(0))
	is.Equal(w.planner.UnloadDelay(w.now, Order{Backend: "b0", Operation: Load, Key: Key{Model: "m0"}}), time.Duration(0))
	is.Equal(w.planner.UnloadDelay(w.now, Order{Backend: "b0", Operation: Unload, Key: Key{Model: "m0", Adapter: "a1"}}), time.Duration(0))
}
