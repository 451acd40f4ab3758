package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

func unguardedConfig() Config {
	return Config{Sources: []string{"registry"}, LossTimeout: 10 * second, MaxLossFraction: 1, MaxEntries: 10000}
}

func guardedConfig() Config {
	return Config{
		Sources: []string{"registry", "platform"}, LossTimeout: 10 * second, FailbackDelay: 5 * second, MaxLossFraction: 0.5, LossWindow: 30 * second,
		MaxFlaps: 4, FlapDecay: 20 * second, MaxEntries: 10000,
	}
}

func entryAt(n int) Entry { return Entry{Addr: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Weight: 1} }

func items(mod int64, ns ...int) (all []Item) {
	for _, n := range ns {
		all = append(all, Item{Name: fmt.Sprint("n", n), ModRevision: mod, Entry: entryAt(n)})
	}
	return all
}

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// summarize returns the last full list, all log lines and the number of snapshot requests among actions.
func summarize(actions []Action) (list *FullList, lines string, loads int) {
	for _, a := range actions {
		switch a := a.(type) {
		case FullList:
			list = &a
		case LogLine:
			lines += string(a) + "\n"
		case RequestSnapshot:
			loads++
		}
	}
	return list, lines, loads
}

// applyLists applies the full lists and deltas among actions to a list.
func applyLists(list map[string]Entry, actions []Action) map[string]Entry {
	for _, a := range actions {
		switch a := a.(type) {
		case FullList:
			list = maps.Clone(a.Entries)
		case Delta:
			maps.Copy(list, a.Changed)
			for _, name := range a.Removed {
				delete(list, name)
			}
		}
	}
	return list
}

// registry is a registry with the states at all its revisions.
type registry struct {
	rng       *rand.Rand
	history   uint64
	states    []map[string]Entry // by revision
	changes   []Update
	compacted int64
}

func newRegistry(seed uint64) *registry {
	return &registry{rng: rand.New(rand.NewPCG(seed, 7)), history: 1, states: []map[string]Entry{{}}, changes: []Update{{}}}
}

func (r *registry) newest() int64 { return int64(len(r.states) - 1) }

// write makes one transaction that puts and deletes a few names, and may change their addresses.
func (r *registry) write() {
	next := maps.Clone(r.states[r.newest()])
	c := Update{Revision: r.newest() + 1}
	for range 1 + r.rng.IntN(3) {
		name := fmt.Sprint("n", r.rng.IntN(12))
		if slices.ContainsFunc(c.Puts, func(i Item) bool { return i.Name == name }) || slices.Contains(c.Deletes, name) {
			continue
		}
		if _, there := next[name]; there && r.rng.IntN(3) == 0 {
			delete(next, name)
			c.Deletes = append(c.Deletes, name)
			continue
		}
		e := Entry{Addr: name + fmt.Sprint(":", r.rng.IntN(3)), Draining: r.rng.IntN(4) == 0, Weight: float64(1 + r.rng.IntN(3))}
		next[name] = e
		c.Puts = append(c.Puts, Item{Name: name, ModRevision: c.Revision, Entry: e})
	}
	r.states, r.changes = append(r.states, next), append(r.changes, c)
}

func (r *registry) snapshot(revision int64, stale bool) Snapshot {
	w := Snapshot{History: r.history, Revision: revision, Stale: stale}
	for name, e := range r.states[revision] {
		w.Items = append(w.Items, Item{Name: name, ModRevision: 1, Entry: e})
	}
	return w
}

// In thousands of random histories with lost watches, compactions, stale followers, repeated updates and idle
// times, the list in force is always the registry's list at a revision between the last one acknowledged and the
// newest, and never goes back.
func TestRegistryHistories(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3000) {
		config := unguardedConfig()
		config.EmitDeltas = seed%2 == 0
		h := &history{t: t, seed: seed, registry: newRegistry(seed), model: New(config), now: second, acked: -1, loading: true, connected: true}
		for h.step = range 120 {
			h.now += time.Duration(h.registry.rng.IntN(500)) * ms
			h.act(h.registry.rng.IntN(20))
			h.check()
		}
	}
}

// history is one run of a registry and a model that follows it.
type history struct {
	t         *testing.T
	seed      uint64
	step      int
	registry  *registry
	model     *Model
	now       time.Duration
	list      map[string]Entry // as emitted by the model
	acked     int64            // newest revision sent to the model; -1: none
	position  int64            // revision that the watch has reached
	loading   bool             // a snapshot is requested
	connected bool
}

func (h *history) apply(actions []Action) {
	_, _, loads := summarize(actions)
	h.list = applyLists(h.list, actions)
	if loads > 0 {
		h.loading = true
	}
}

// act generates one event, chosen by a number below 20.
func (h *history) act(event int) {
	r, m := h.registry, h.model
	switch {
	case event < 6:
		r.write()
	case event < 7 && r.newest() > 0:
		r.compacted = min(r.newest(), r.compacted+int64(r.rng.IntN(10)))
	case event < 8:
		h.connected = false
		h.apply(m.OnSourceLost(h.now, 0, "the connection was reset"))
	case event < 10 && !h.connected:
		h.connected = true
		if m.sources[0].revision < r.compacted && h.acked >= 0 {
			h.apply(m.OnCompacted(h.now, 0))
		}
		h.position = m.sources[0].revision
	case event < 11 && h.connected && h.acked >= 0: // a repeated transaction
		if back := m.sources[0].revision - int64(r.rng.IntN(4)); back > 0 && back <= r.newest() {
			h.apply(m.OnUpdate(h.now, 0, r.changes[back]))
		}
	case event < 13 && h.loading && h.connected:
		h.sendSnapshot()
	case h.connected && h.acked >= 0 && !h.loading:
		h.sendUpdate()
	default:
		h.apply(m.Tick(h.now))
	}
}

// sendSnapshot sends the newest list, or an older one of a stale follower.
func (h *history) sendSnapshot() {
	stale := h.registry.rng.IntN(3) == 0
	revision := h.registry.newest()
	if stale {
		revision = max(0, revision-int64(h.registry.rng.IntN(6)))
	}
	older := revision < h.acked
	h.loading = false
	h.apply(h.model.OnSnapshot(h.now, 0, h.registry.snapshot(revision, stale)))
	if older && !h.loading {
		h.t.Fatalf("seed %d, step %d: the stale list of a follower was accepted", h.seed, h.step)
	}
	if !older {
		h.acked = max(h.acked, revision)
		h.position = max(h.position, revision)
	}
}

// sendUpdate sends the next update, or progress if there is none.
func (h *history) sendUpdate() {
	if h.position >= h.registry.newest() {
		h.apply(h.model.OnProgress(h.now, 0, h.registry.newest()))
		return
	}
	h.position = max(h.position, h.model.sources[0].revision) + 1
	if h.position <= h.registry.newest() {
		h.apply(h.model.OnUpdate(h.now, 0, h.registry.changes[h.position]))
		h.acked = max(h.acked, h.position)
	}
}

func (h *history) check() {
	if h.acked < 0 {
		if h.list != nil {
			h.t.Fatalf("seed %d: a list was emitted before any was sent", h.seed)
		}
		return
	}
	revision := h.model.sources[0].revision
	if revision < h.acked || revision > h.registry.newest() {
		h.t.Fatalf("seed %d, step %d: revision %d, acknowledged %d, newest %d", h.seed, h.step, revision, h.acked, h.registry.newest())
	}
	if want := h.registry.states[revision]; !maps.Equal(h.list, want) { // no two entries share an address here
		h.t.Fatalf("seed %d, step %d: at revision %d\ngot  %v\nwant %v", h.seed, h.step, revision, h.list, want)
	}
}

// A restored registry has lower revisions, or another history. Its list is used, but entries that are missing along
// with most of the others are retained until an operator confirms the removal or they are listed again.
func TestRestoredFromABackup(t *testing.T) {
	t.Parallel()
	for name, w := range map[string]Snapshot{
		"lower revision":  {History: 1, Revision: 5, Items: items(3, 0, 1, 2)},
		"another history": {History: 2, Revision: 900, Items: items(3, 0, 1, 2)},
		"empty":           {History: 2, Revision: 1},
	} {
		m := New(guardedConfig())
		m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 100, Items: items(1, upTo(10)...)})
		list, lines, _ := summarize(m.OnSnapshot(2*second, 0, w))
		if list != nil && len(list.Entries) != 10 || !strings.Contains(lines, "was restored or set up anew") || !strings.Contains(lines, "WARNING") {
			t.Errorf("%s: %v\n%s", name, list, lines)
		}
		if got := m.Status(2 * second); len(got.Retained) != 10-len(w.Items) || got.Revision != w.Revision {
			t.Errorf("%s: %+v", name, got)
		}
		// Later updates apply as usual, also to retained entries.
		draining := Item{Name: "n9", ModRevision: w.Revision + 1, Entry: entryAt(9)}
		draining.Entry.Draining = true
		if list, _, _ = summarize(m.OnUpdate(3*second, 0, Update{Revision: w.Revision + 1, Puts: []Item{draining}})); list == nil || !list.Entries["n9"].Draining {
			t.Errorf("%s: a drain was not applied: %v", name, list)
		}
		list, lines, _ = summarize(m.ConfirmRemovals(4 * second))
		if list == nil || len(list.Entries) != len(w.Items)+1 || !strings.Contains(lines, "confirmed") || len(m.Status(4*second).Retained) != 0 {
			t.Errorf("%s: after the confirmation: %v\n%s", name, list, lines)
		}
		if list, lines, _ = summarize(m.Tick(5 * second)); list != nil || lines != "" {
			t.Errorf("%s: after another tick: %v %s", name, list, lines)
		}
	}
	// Once the registry lists the entries again, none is retained.
	m := New(guardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 100, Items: items(1, upTo(10)...)})
	m.OnSnapshot(2*second, 0, Snapshot{History: 1, Revision: 101})
	if m.OnSnapshot(3*second, 0, Snapshot{History: 1, Revision: 102, Items: items(1, upTo(10)...)}); len(m.Status(3*second).Retained) != 0 || m.Status(3*second).Entries != 10 {
		t.Errorf("%+v", m.Status(3*second))
	}
}

// A confirmation counts when it is written, not when a snapshot of a restored backup contains it.
func TestConfirmedInTheRegistry(t *testing.T) {
	t.Parallel()
	confirm := func(mod int64) Item { return Item{Name: ConfirmKey, ModRevision: mod} }
	m := New(guardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 100, Items: append(items(1, upTo(10)...), confirm(40))})
	if n := m.Status(second).Entries; n != 10 {
		t.Fatalf("%d entries: the confirmation was counted as an entry", n)
	}
	m.OnSnapshot(2*second, 0, Snapshot{History: 2, Revision: 50, Items: []Item{confirm(45)}})
	if s := m.Status(2 * second); len(s.Retained) != 10 {
		t.Errorf("a confirmation from a backup: %+v", s)
	}
	m.OnSnapshot(3*second, 0, Snapshot{History: 2, Revision: 51, Items: []Item{confirm(45)}})
	if s := m.Status(3 * second); len(s.Retained) != 10 {
		t.Errorf("the same confirmation again: %+v", s)
	}
	if m.OnSnapshot(4*second, 0, Snapshot{History: 2, Revision: 52, Items: []Item{confirm(52)}}); m.Status(4*second).Entries != 0 {
		t.Errorf("a new confirmation: %+v", m.Status(4*second))
	}
	m = New(guardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 100, Items: items(1, upTo(10)...)})
	m.OnSnapshot(2*second, 0, Snapshot{History: 1, Revision: 101, Items: items(1, 0)})
	if m.OnUpdate(3*second, 0, Update{Revision: 102, Puts: []Item{confirm(102)}}); m.Status(3*second).Entries != 1 || len(m.Status(3*second).Retained) != 0 {
		t.Errorf("a confirmation in an update: %+v", m.Status(3*second))
	}
}

// Entries that are removed one by one, replaced or draining are not retained, however many they are.
func TestRemovalsThatAreNotRetained(t *testing.T) {
	t.Parallel()
	start := func() *Model {
		m := New(guardedConfig())
		m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(10)...)})
		return m
	}
	m := start()
	for i := range 5 {
		m.OnUpdate(2*second+time.Duration(i)*ms, 0, Update{Revision: int64(2 + i), Deletes: []string{fmt.Sprint("n", i)}})
	}
	if s := m.Status(3 * second); s.Entries != 5 || len(s.Retained) != 0 {
		t.Errorf("half were removed one by one: %+v", s)
	}
	if m.OnUpdate(3*second, 0, Update{Revision: 9, Deletes: []string{"n5"}}); m.Status(3*second).Entries != 5 || len(m.Status(3*second).Retained) != 1 {
		t.Errorf("one more within the loss window: %+v", m.Status(3*second))
	}
	m = start()
	all := Update{Revision: 2}
	for i := range 10 {
		all.Deletes = append(all.Deletes, fmt.Sprint("n", i))
		all.Puts = append(all.Puts, Item{Name: fmt.Sprint("m", i), ModRevision: 2, Entry: entryAt(i)})
	}
	list, _, _ := summarize(m.OnUpdate(2*second, 0, all))
	if s := m.Status(2 * second); list == nil || s.Entries != 10 || len(s.Retained) != 0 || list.Entries["m3"] != entryAt(3) {
		t.Errorf("all were replaced at the same addresses: %+v", s)
	}
	m = start()
	drains := Update{Revision: 2, Puts: items(2, upTo(10)...)}
	for i := range drains.Puts {
		drains.Puts[i].Entry.Draining = true
	}
	list, _, _ = summarize(m.OnUpdate(2*second, 0, drains))
	for name, e := range list.Entries {
		if !e.Draining {
			t.Errorf("%s does not drain", name)
		}
	}
	if list, _, _ = summarize(m.OnUpdate(3*second, 0, Update{Revision: 3, Deletes: all.Deletes})); list == nil || len(list.Entries) != 0 {
		t.Errorf("draining entries were removed: %v", list)
	}
}

// A cached list is in force, marked as cached, until a source has sent a list. Mass removals are detected against it
// too, even much later.
func TestCachedLists(t *testing.T) {
	t.Parallel()
	m := New(guardedConfig())
	old := map[string]Entry{}
	for _, i := range items(0, upTo(10)...) {
		old[i.Name] = i.Entry
	}
	list, _, _ := summarize(m.OnCachedList(second, old))
	if list == nil || !list.Cached || len(list.Entries) != 10 || m.Status(second).Age != -1 {
		t.Fatalf("%+v", list)
	}
	if list, lines, _ := summarize(m.OnSourceLost(2*second, 0, "no route")); list != nil || !strings.Contains(lines, "registry: connection lost (no route)") {
		t.Errorf("%v %s", list, lines)
	}
	if _, lines, _ := summarize(m.OnSourceLost(3*second, 0, "no route")); lines != "" {
		t.Errorf("logged again: %s", lines)
	}
	list, _, _ = summarize(m.OnSnapshot(time.Hour, 0, Snapshot{History: 1, Revision: 4, Items: items(1, upTo(9)...)}))
	if list == nil || list.Cached || len(list.Entries) != 9 {
		t.Errorf("%+v", list)
	}
	// When a source reports the same list, it is emitted again, no longer marked as cached.
	m = New(guardedConfig())
	m.OnCachedList(second, old)
	if list, _, _ = summarize(m.OnSnapshot(2*second, 0, Snapshot{History: 1, Revision: 4, Items: items(1, upTo(10)...)})); list == nil || list.Cached {
		t.Errorf("%+v", list)
	}
	if list, _, _ = summarize(m.OnCachedList(3*second, nil)); list != nil {
		t.Errorf("a cached list after a source's list: %+v", list)
	}
	m = New(guardedConfig())
	m.OnCachedList(second, old)
	if list, lines, _ := summarize(m.OnSnapshot(2*time.Hour, 0, Snapshot{History: 1, Revision: 4})); list == nil || len(list.Entries) != 10 || !strings.Contains(lines, "WARNING") {
		t.Errorf("an empty list after a cached one: %+v\n%s", list, lines)
	}
}

// An entry that flaps ten times a second stays out of the list until it is stable; its removals take effect at once.
// If most entries flap, none is damped, as the registry is at fault.
func TestFlaps(t *testing.T) {
	t.Parallel()
	m, now, rev := New(guardedConfig()), second, int64(1)
	m.OnSnapshot(now, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(10)...)})
	changes, in := 0, true
	for range 100 {
		now, rev, in = now+50*ms, rev+1, !in
		c := Update{Revision: rev, Deletes: []string{"n3"}}
		if in {
			c = Update{Revision: rev, Puts: items(rev, 3)}
		}
		list, _, _ := summarize(m.OnUpdate(now, 0, c))
		if list != nil {
			changes++
		}
		if _, there := m.list["n3"]; there && !in {
			t.Fatalf("a removed entry is still in the list")
		}
	}
	if !in {
		t.Fatal("the last update has to add the entry")
	}
	if changes > 12 || len(m.Status(now).Damped) != 1 {
		t.Errorf("%d lists for a hundred changes, damped %v", changes, m.Status(now).Damped)
	}
	due := m.NextTick(now)
	if due <= now || due > now+3*time.Minute {
		t.Fatalf("the entry may return after %v", due-now)
	}
	if m.Tick(due - second); len(m.Status(due).Damped) != 1 {
		t.Error("the entry returned too early")
	}
	if list, _, _ := summarize(m.Tick(due)); list == nil || list.Entries["n3"] != entryAt(3) || m.NextTick(due) != 0 {
		t.Errorf("after %v: %+v", due-now, list)
	}

	m, rev = New(guardedConfig()), 1
	m.OnSnapshot(now, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(10)...)})
	for k := range 40 {
		now, rev = now+50*ms, rev+1
		c := Update{Revision: rev, Puts: items(rev, upTo(10)...)}
		for i := range c.Puts {
			c.Puts[i].Entry.Draining = k%2 == 0
		}
		m.OnUpdate(now, 0, c)
	}
	if n := len(m.list); n != 10 {
		t.Errorf("all 10 entries flap, and %d are in the list", n)
	}
}

// The list fails over when the preferred source has been unreachable for LossTimeout, and fails back when it has been
// reachable for FailbackDelay. An unstable source causes neither.
func TestFailoverAndFailback(t *testing.T) {
	t.Parallel()
	m := New(guardedConfig())
	list, _, _ := summarize(m.OnSnapshot(second, 1, Snapshot{History: 9, Revision: 7, Items: items(1, 0, 1, 2, 3)}))
	if list == nil || m.Status(second).Source != "platform" {
		t.Fatalf("%+v", m.Status(second))
	}
	m.OnSnapshot(2*second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, 0, 1, 2, 3, 4)})
	if m.Status(2*second).Source != "platform" {
		t.Error("failed back to a source that has only just become reachable")
	}
	if due := m.NextTick(2 * second); due != 5*second {
		t.Errorf("next at %v", due)
	}
	list, lines, _ := summarize(m.Tick(7*second + ms))
	if list == nil || len(list.Entries) != 5 || !strings.Contains(lines, "switched to the list of registry from that of platform") {
		t.Fatalf("%+v %s", list, lines)
	}
	m.OnSourceLost(8*second, 0, "reset")
	if m.Tick(17 * second); m.Status(17*second).Source != "registry" {
		t.Error("failed over within LossTimeout")
	}
	if due := m.NextTick(17 * second); due != 18*second {
		t.Errorf("next at %v", due)
	}
	if m.Tick(18 * second); m.Status(18*second).Source != "platform" || m.Status(18*second).Entries != 4 {
		t.Errorf("%+v", m.Status(18*second))
	}
	for k := range 20 { // the preferred source goes up and down every two seconds
		now := 20*second + time.Duration(k)*2*second
		m.OnProgress(now, 0, int64(1))
		m.Tick(now + second)
		if m.OnSourceLost(now+second, 0, "reset"); m.Status(now).Source != "platform" {
			t.Fatalf("failed back at %v", now)
		}
	}
	m.OnSourceLost(90*second, 1, "cut off too")
	if m.Tick(120 * second); m.Status(120*second).Entries != 4 {
		t.Errorf("with both sources lost: %+v", m.Status(120*second))
	}
}

// A drain or removal reported by any source is applied as a drain, until the active source reports the entry again. A
// source that is not active can't empty the list.
func TestDrainsFromAnySourceApply(t *testing.T) {
	t.Parallel()
	m := New(guardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(6)...)})
	m.OnSnapshot(2*second, 1, Snapshot{History: 9, Revision: 1, Items: items(1, upTo(6)...)})
	drains := Item{Name: "n2", ModRevision: 2, Entry: entryAt(2)}
	drains.Entry.Draining = true
	m.OnSourceLost(3*second, 0, "cut off")
	list, _, _ := summarize(m.OnUpdate(4*second, 1, Update{Revision: 2, Puts: []Item{drains}, Deletes: []string{"n1"}}))
	if list == nil || !list.Entries["n1"].Draining || !list.Entries["n2"].Draining || list.Entries["n3"].Draining || len(list.Entries) != 6 {
		t.Fatalf("%+v", list)
	}
	if list, _, _ = summarize(m.OnProgress(5*second, 0, 1)); list != nil {
		t.Errorf("progress of the active source undid a drain: %+v", list)
	}
	list, _, _ = summarize(m.OnUpdate(6*second, 0, Update{Revision: 2, Puts: items(2, 1)}))
	if list == nil || list.Entries["n1"].Draining || !list.Entries["n2"].Draining {
		t.Errorf("the active source reports an entry again: %+v", list)
	}
	ready := Item{Name: "n2", ModRevision: 3, Entry: entryAt(2)}
	if list, _, _ = summarize(m.OnUpdate(7*second, 1, Update{Revision: 3, Puts: []Item{ready}})); list == nil || list.Entries["n2"].Draining {
		t.Errorf("the other source undoes its drain: %+v", list)
	}
	list, lines, _ := summarize(m.OnSnapshot(8*second, 1, Snapshot{History: 9, Revision: 4}))
	if list != nil || !strings.Contains(lines, "which is too many; ignoring its reports") {
		t.Errorf("an empty list of the other source: %+v %s", list, lines)
	}
	if list, _, _ = summarize(m.OnSnapshot(9*second, 1, Snapshot{History: 10, Revision: 1})); list != nil {
		t.Errorf("an empty list of the other source, restored: %+v", list)
	}
}

// When new names keep appearing for months, the records of removed entries and logged lines stay within their limits,
// and later removals are still noticed.
func TestMemoryIsBoundedWithNewNames(t *testing.T) {
	t.Parallel()
	m := New(guardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(6)...)})
	m.OnSnapshot(second, 1, Snapshot{History: 9, Revision: 1, Items: items(1, upTo(6)...)})
	now, rev := second, int64(1)
	for n := range 250 {
		now += time.Minute
		come, goes := Update{Revision: rev + 1}, Update{Revision: rev + 2}
		rev += 2
		for k := range 200 {
			name := fmt.Sprint("x", 200*n+k)
			come.Puts = append(come.Puts, Item{Name: name, ModRevision: rev, Malformed: []string{"", "noise"}[k%2], Entry: entryAt(1000 + k)})
			goes.Deletes = append(goes.Deletes, name)
		}
		m.OnUpdate(now, 1, come)
		m.OnUpdate(now, 1, goes)
	}
	if n := len(m.sources[1].removedAt); n > maxRemovals || len(m.lastLines) > maxLastLines || len(m.sources[1].malformed) > 0 {
		t.Errorf("%d removals, %d lines and %d malformed entries are kept", n, len(m.lastLines), len(m.sources[1].malformed))
	}
	m.OnSourceLost(now, 0, "cut off")
	list, _, _ := summarize(m.OnUpdate(now+second, 1, Update{Revision: rev + 1, Deletes: []string{"n1"}}))
	if list == nil || !list.Entries["n1"].Draining {
		t.Errorf("a removal was not noticed after so many others: %+v", list)
	}
}

// A malformed value affects one entry only: its last valid version is kept, and the fault is logged once and listed in
// the status.
func TestMalformedValues(t *testing.T) {
	t.Parallel()
	m := New(unguardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: append(items(1, 0, 1), Item{Name: "n7", ModRevision: 1, Malformed: "no address"})})
	list, lines, _ := summarize(m.OnUpdate(2*second, 0, Update{Revision: 2, Puts: []Item{{Name: "n1", ModRevision: 2, Malformed: "weight is text"}}}))
	if list != nil || !strings.Contains(lines, "entry n1 can't be read (weight is text); keeping its last valid version") {
		t.Errorf("%v %s", list, lines)
	}
	if _, lines, _ = summarize(m.OnUpdate(3*second, 0, Update{Revision: 3, Puts: []Item{{Name: "n1", ModRevision: 3, Malformed: "weight is text"}}})); lines != "" {
		t.Errorf("logged again: %s", lines)
	}
	if bad := m.Status(3 * second).Sources[0].Malformed; len(bad) != 2 || bad["n7"] != "no address" {
		t.Errorf("%v", bad)
	}
	m.OnUpdate(4*second, 0, Update{Revision: 4, Puts: items(4, 1), Deletes: []string{"n7"}})
	if bad := m.Status(4 * second).Sources[0].Malformed; len(bad) != 0 {
		t.Errorf("%v", bad)
	}
	list, _, _ = summarize(m.OnSnapshot(5*second, 0, Snapshot{History: 1, Revision: 5, Items: []Item{{Name: "n1", ModRevision: 5, Malformed: "cut off"}}}))
	if list == nil || len(list.Entries) != 1 || list.Entries["n1"] != entryAt(1) {
		t.Errorf("%+v", list)
	}
}

// When one transaction gives an entry a new address and its old address to another, one list is emitted. Two entries
// that stay at one address are listed as one.
func TestAddresses(t *testing.T) {
	t.Parallel()
	m := New(unguardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, 0, 1)})
	actions := m.OnUpdate(2*second, 0, Update{Revision: 2, Puts: []Item{{Name: "n0", ModRevision: 2, Entry: entryAt(5)}, {Name: "n9", ModRevision: 2, Entry: entryAt(0)}}})
	if list, lines, _ := summarize(actions); len(actions) != 1 || lines != "" || len(list.Entries) != 3 || list.Entries["n0"] != entryAt(5) || list.Entries["n9"] != entryAt(0) {
		t.Errorf("%+v", actions)
	}
	list, lines, _ := summarize(m.OnUpdate(3*second, 0, Update{Revision: 3, Puts: []Item{{Name: "n4", ModRevision: 3, Entry: entryAt(1)}}}))
	if len(list.Entries) != 3 || list.Entries["n4"] != entryAt(1) || !strings.Contains(lines, "n1, n4 share address") {
		t.Errorf("%+v %s", list, lines)
	}
}

// A retained entry that is listed again as draining, at an address that another entry has taken, is not listed as
// ready.
func TestRetainedEntryReturnsAtTakenAddress(t *testing.T) {
	t.Parallel()
	m := New(guardedConfig())
	m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, 1)})
	if m.OnSnapshot(2*second, 0, Snapshot{History: 1, Revision: 2}); len(m.Status(2*second).Retained) != 1 {
		t.Fatalf("%+v", m.Status(2*second))
	}
	draining := Item{Name: "n1", ModRevision: 1, Entry: entryAt(3)}
	draining.Entry.Draining = true
	m.OnSnapshot(3*second, 0, Snapshot{History: 1, Revision: 3, Items: []Item{draining, {Name: "n0", ModRevision: 2, Entry: entryAt(3)}}})
	if e, there := m.list["n1"]; there && !e.Draining || m.list["n0"] != entryAt(3) {
		t.Errorf("%v", m.list)
	}
}

// An update of all of five thousand nodes emits one list. Entries above MaxEntries are left out, and that is logged.
func TestLarge(t *testing.T) {
	t.Parallel()
	cfg := guardedConfig()
	cfg.MaxEntries = 5000
	m := New(cfg)
	if list, _, _ := summarize(m.OnSnapshot(second, 0, Snapshot{History: 1, Revision: 1, Items: items(1, upTo(5000)...)})); len(list.Entries) != 5000 {
		t.Fatal(len(list.Entries))
	}
	c := Update{Revision: 2, Puts: items(2, upTo(5003)...)}
	for i := range c.Puts {
		c.Puts[i].Entry.Weight = 2
	}
	actions := m.OnUpdate(2*second, 0, c)
	list, lines, _ := summarize(actions)
	if len(list.Entries) != 5000 || list.Entries["n77"].Weight != 2 || !strings.Contains(lines, "more than 5000 entries") {
		t.Errorf("%d entries, %s", len(list.Entries), lines)
	}
}

// For any events in any order: a drain or removal reported by the active source takes effect at once, unless the
// entry is retained; retained entries are in the list; the emitted changes add up to the list; NextTick is later than
// now; and the list is what publish derives in full.
func TestAnyEventsInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		config := guardedConfig()
		config.EmitDeltas = rapid.Bool().Draw(t, "deltas")
		a := &anyEvents{model: New(config), now: second}
		t.Repeat(map[string]func(*rapid.T){
			"":          a.check,
			"tick":      a.tick,
			"snapshot":  a.snapshot,
			"update":    a.update,
			"progress":  a.progress,
			"compacted": func(t *rapid.T) { a.apply(a.model.OnCompacted(a.now, drawSource(t))) },
			"lost":      func(t *rapid.T) { a.apply(a.model.OnSourceLost(a.now, drawSource(t), "reset")) },
			"confirm":   func(*rapid.T) { a.apply(a.model.ConfirmRemovals(a.now)) },
			"cached": func(*rapid.T) {
				a.apply(a.model.OnCachedList(a.now, map[string]Entry{"n0": entryAt(0), "n1": entryAt(1)}))
			},
		})
	})
}

// anyEvents is a model that gets randomly drawn events.
type anyEvents struct {
	model *Model
	now   time.Duration
	list  map[string]Entry // as emitted by the model
}

func drawSource(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "source") }

func itemName(i Item) string { return i.Name }

var drawnItem = rapid.Custom(func(t *rapid.T) Item {
	n := rapid.IntRange(0, 9).Draw(t, "n")
	i := Item{Name: fmt.Sprint("n", n), ModRevision: int64(rapid.IntRange(1, 50).Draw(t, "mod")), Entry: entryAt(rapid.IntRange(0, 11).Draw(t, "address"))}
	i.Entry.Draining = rapid.Bool().Draw(t, "drains")
	if rapid.IntRange(0, 9).Draw(t, "bad") == 0 {
		i.Malformed = "noise"
	}
	return i
})

func (a *anyEvents) apply(actions []Action) { a.list = applyLists(a.list, actions) }

func (a *anyEvents) tick(t *rapid.T) {
	a.now += time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * ms
	a.apply(a.model.Tick(a.now))
}

func (a *anyEvents) snapshot(t *rapid.T) {
	a.apply(a.model.OnSnapshot(a.now, drawSource(t), Snapshot{
		History: uint64(rapid.IntRange(1, 2).Draw(t, "history")), Revision: int64(rapid.IntRange(0, 60).Draw(t, "revision")),
		Items: rapid.SliceOfNDistinct(drawnItem, 0, 10, itemName).Draw(t, "items"), Stale: rapid.Bool().Draw(t, "stale"),
	}))
}

func (a *anyEvents) update(t *rapid.T) {
	source := drawSource(t)
	puts := rapid.SliceOfNDistinct(drawnItem, 0, 4, itemName).Draw(t, "puts")
	var deletes []string
	for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(t, "deletes") {
		if name := fmt.Sprint("n", n); !slices.ContainsFunc(puts, func(i Item) bool { return i.Name == name }) {
			deletes = append(deletes, name)
		}
	}
	revision := a.model.sources[source].revision + int64(rapid.IntRange(0, 3).Draw(t, "by"))
	a.apply(a.model.OnUpdate(a.now, source, Update{revision, puts, deletes}))
}

func (a *anyEvents) progress(t *rapid.T) {
	a.apply(a.model.OnProgress(a.now, drawSource(t), int64(rapid.IntRange(0, 60).Draw(t, "revision"))))
}

func (a *anyEvents) check(t *rapid.T) {
	if n := a.model.NextTick(a.now); n != 0 && n <= a.now {
		t.Fatalf("next at %v, now %v", n, a.now)
	}
	status := a.model.Status(a.now)
	for _, name := range status.Retained {
		if _, listed := a.model.list[name]; !listed {
			t.Fatalf("%s is retained but not in the list", name)
		}
	}
	if !maps.Equal(a.list, a.model.list) {
		t.Fatalf("emitted %v, in force %v", a.list, a.model.list)
	}
	a.checkFullDerivation(t)
	if a.model.active < 0 {
		return
	}
	source := a.model.sources[a.model.active]
	for name, entry := range a.model.list {
		item, listed := source.items[name]
		if !listed && !slices.Contains(status.Retained, name) {
			t.Fatalf("%s was removed and is not retained, but is in the list", name)
		}
		if listed && item.Entry.Draining && !entry.Draining {
			t.Fatalf("%s drains, but is listed as ready", name)
		}
	}
}

// checkFullDerivation checks that deriving the full list with publish gives the same list.
func (a *anyEvents) checkFullDerivation(t *rapid.T) {
	m := a.model
	fresh := *m
	fresh.retained, fresh.flaps, fresh.damped, fresh.lastLines = maps.Clone(m.retained), maps.Clone(m.flaps), maps.Clone(m.damped), maps.Clone(m.lastLines)
	fresh.recentSizes, fresh.actions = slices.Clone(m.recentSizes), nil
	if fresh.publish(a.now); !maps.Equal(fresh.list, m.list) {
		t.Fatalf("in force %v, derived in full %v", m.list, fresh.list)
	}
}
