// Package sources tells the engine one list out of two: a registry's, where an operator has set one, and the
// platform's. It owns the way between the platform's watch, the registry's client and the model that judges
// between them (package members), on the engine's goroutine; it judges nothing itself. Without a registry the
// platform's lists go through as they are.
package sources

import (
	"context"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/discovery/registry"
)

// Host is the engine, as far as it matters here. All but Post and Now are called on its goroutine.
type Host interface {
	Post(event func())
	List(l engine.List)
	Now() time.Duration
	At(when time.Duration, event func()) *engine.Timer
	Backends(each func(*engine.Backend))
	Wall(at time.Duration) time.Time
}

// The model's sources.
const (
	ofRegistry = iota
	ofPlatform
)

// Source is the engine's source. The engine's goroutine owns it, but for Close.
type Source struct {
	host     Host
	platform *platformwatch.Source
	names    atomic.Pointer[platformwatch.Names]
	zones    map[int]string
	kinds    map[int]string
	logf     func(format string, args ...any)

	cfg     registry.Config
	model   *membership.Model // nil: the platform alone
	life    *life
	version uint32 // the platform's last
	number  uint32 // of the lists told here
	due     time.Duration
	told    bool // the platform has told a list in this process
	lives   sync.WaitGroup
}

// life is one following of one registry. The word of one that is over counts no more.
type life struct {
	cancel context.CancelFunc
	again  chan struct{}
}

// New makes a source. Nothing is called before Watch or Fetch, and Set.
func New(cfg platformwatch.Config, version uint32, host Host) *Source {
	s := &Source{host: host, logf: cfg.Logf, version: version, number: version, zones: map[int]string{}, kinds: map[int]string{}}
	s.name(cfg.Names)
	s.platform = platformwatch.New(cfg, version, platformSink{s})
	return s
}

// Watch implements engine.Source.
func (s *Source) Watch(on bool) { s.platform.Watch(on) }

// Fetch implements engine.Source.
func (s *Source) Fetch() { s.platform.Fetch() }

// Reload puts another address of the platform's discovery in force, and other names.
func (s *Source) Reload(addr string, names platformwatch.Names) {
	s.name(names)
	s.platform.Reload(addr, names)
}

// name notes what the places of zones and kinds are called.
func (s *Source) name(names platformwatch.Names) {
	s.names.Store(&names)
	clear(s.zones)
	clear(s.kinds)
	for name, n := range names.Zones {
		s.zones[n] = name
	}
	for name, n := range names.Kinds {
		s.kinds[n] = name
	}
}

// Close ends all calls. Only when the engine has ended, or before it runs.
func (s *Source) Close() {
	s.platform.Close()
	if s.life != nil {
		s.life.cancel()
	}
	s.lives.Wait()
}

// Check tells whether a registry can be set.
func Check(cfg registry.Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	return cfg.CheckFiles()
}

// Set puts a registry in force, another one, or none.
func (s *Source) Set(cfg registry.Config) error {
	if reflect.DeepEqual(cfg, s.cfg) || !cfg.On() && !s.cfg.On() {
		return nil
	}
	if err := Check(cfg); err != nil {
		return err
	}
	if s.life != nil {
		s.life.cancel() // its last words are not heard; it ends by itself
		s.life = nil
	}
	was := s.cfg
	if s.cfg = cfg; !cfg.On() {
		s.leave()
		return nil
	}
	client, err := registry.New(cfg)
	if err != nil {
		s.cfg = was
		return err
	}
	if s.model == nil {
		s.enter()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{cancel, make(chan struct{}, 1)}
	s.life = l
	s.logf("registry: following %s at %v", cfg.Kind, cfg.Endpoints)
	s.lives.Go(func() {
		registry.Follow(ctx, client, told{s, l}, l.again)
		client.Next() // nothing is kept open
	})
	return nil
}

// enter begins to judge between two lists: the one that stands is the platform's.
func (s *Source) enter() {
	c := s.cfg
	s.model = membership.New(membership.Config{
		Sources: []string{"registry", "platform"}, LossTimeout: c.Patience.D(), FailbackDelay: c.Settle.D(), MaxLossFraction: c.Guard,
		LossWindow: c.GuardOver.D(), MaxFlaps: c.Flaps, FlapDecay: c.FlapOver.D(), MaxEntries: 20_000, EmitDeltas: true,
	})
	w := membership.Snapshot{Revision: int64(s.version)}
	known := map[string]membership.Entry{}
	s.host.Backends(func(b *engine.Backend) {
		i := membership.Item{Name: b.Name, ModRevision: int64(s.version), Entry: s.entryOf(b)}
		w.Items = append(w.Items, i)
		known[i.Name] = i.Entry
	})
	if len(w.Items) == 0 {
		return
	}
	// What stands may be the list from before this process. The platform goes on from it, so it has to know
	// it; whose it is shows with the first word of either.
	s.drop(s.model.OnCachedList(s.host.Now(), known))
	if s.heard() {
		s.drop(s.model.OnSnapshot(s.host.Now(), ofPlatform, w))
	}
}

// heard tells whether the platform has told a list in this process.
func (s *Source) heard() bool { return s.told }

// leave ends it: the platform's list counts from now on, as far as it is known.
func (s *Source) leave() {
	list, known := s.model.SourceList(ofPlatform)
	s.model, s.due = nil, 0
	s.logf("registry: off")
	if known {
		s.tell(list, false)
	}
}

// platform is the sink of the platform's watch.
type platformSink struct{ *Source }

func (p platformSink) Post(event func()) { p.host.Post(event) }

// OnList takes the platform's word.
func (p platformSink) OnList(l engine.List) {
	s := p.Source
	s.version, s.told = l.Version, true
	if s.model == nil {
		s.number = l.Version
		s.host.List(l)
		return
	}
	var puts []membership.Item
	var gone []string
	for _, e := range l.Entries {
		if e.State == balancer.Gone {
			gone = append(gone, e.Name)
			continue
		}
		i := membership.Item{Name: e.Name, ModRevision: int64(l.Version), Entry: membership.Entry{
			Addr: e.Addr, Zone: s.zones[e.Zone], Kind: s.kinds[e.Kind], Cell: e.Cell,
			Draining: e.State == balancer.Draining, Weight: e.Weight,
		}}
		if !e.Started.IsZero() {
			i.Entry.Started = e.Started.UnixMilli()
		}
		puts = append(puts, i)
	}
	now := s.host.Now()
	if l.Kind == balancer.ListDelta {
		s.apply(s.model.OnUpdate(now, ofPlatform, membership.Update{Revision: int64(l.Version), Puts: puts, Deletes: gone}))
		return
	}
	s.apply(s.model.OnSnapshot(now, ofPlatform, membership.Snapshot{Revision: int64(l.Version), Items: puts}))
}

// told is what a registry's client tells, on its own goroutine.
type told struct {
	s *Source
	l *life
}

func (t told) on(event func(m *membership.Model, now time.Duration) []membership.Action) {
	t.s.host.Post(func() {
		if t.s.life == t.l && t.s.model != nil {
			t.s.apply(event(t.s.model, t.s.host.Now()))
		}
	})
}

func (t told) Whole(w membership.Snapshot) {
	t.s.checkZones(w.Items)
	t.on(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnSnapshot(now, ofRegistry, w)
	})
}

func (t told) Change(c membership.Update) {
	t.s.checkZones(c.Puts)
	t.on(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnUpdate(now, ofRegistry, c)
	})
}

func (t told) Progress(revision int64) {
	t.on(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnProgress(now, ofRegistry, revision)
	})
}

func (t told) Compacted() {
	t.on(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnCompacted(now, ofRegistry)
	})
}

func (t told) Lost(why string) {
	t.on(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnSourceLost(now, ofRegistry, why)
	})
}

// checkZones marks entries in zones that the settings don't have. Names are never changed.
func (s *Source) checkZones(items []membership.Item) {
	zones := s.names.Load().Zones
	for k := range items {
		if i := &items[k]; i.Malformed == "" && i.Name != membership.ConfirmKey {
			if _, known := zones[i.Entry.Zone]; !known {
				i.Malformed = fmt.Sprintf("unknown zone %.80q", i.Entry.Zone)
			}
		}
	}
}

// apply carries a model's actions out.
func (s *Source) apply(acts []membership.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case membership.LogLine:
			s.logf("list: %s", string(a))
		case membership.RequestSnapshot:
			if a.Source == ofPlatform {
				s.platform.Fetch()
			} else if s.life != nil {
				select {
				case s.life.again <- struct{}{}:
				default: // it is asked for already
				}
			}
		case membership.FullList:
			s.tell(a.Entries, a.Cached)
		case membership.Delta:
			s.tellSome(a)
		}
	}
	s.schedule()
}

// drop carries out all but lists: the engine has this one.
func (s *Source) drop(acts []membership.Action) {
	s.apply(slices.DeleteFunc(acts, func(a membership.Action) bool { _, is := a.(membership.FullList); return is }))
}

// schedule sees to it that what time alone brings about happens.
func (s *Source) schedule() {
	now := s.host.Now()
	next := s.model.NextTick(now)
	if next == 0 || s.due > now && s.due <= next {
		return
	}
	s.due = next
	s.host.At(next, func() {
		if s.model != nil && s.due == next {
			s.due = 0
			s.apply(s.model.Tick(s.host.Now()))
		}
	})
}

// tell gives the engine a whole list.
func (s *Source) tell(list map[string]membership.Entry, cached bool) {
	l := engine.List{Kind: balancer.ListFull, Entries: make([]engine.Entry, 0, len(list))}
	if cached {
		l.Kind = balancer.ListCached
	}
	s.number++
	l.Version = s.number
	for _, name := range slices.Sorted(maps.Keys(list)) {
		l.Entries = append(l.Entries, s.toEngine(name, list[name]))
	}
	s.host.List(l)
}

// tellSome gives the engine a change.
func (s *Source) tellSome(d membership.Delta) {
	s.number++
	l := engine.List{Kind: balancer.ListDelta, Version: s.number}
	for _, name := range d.Removed { // first: another may have the address now
		l.Entries = append(l.Entries, engine.Entry{Name: name, Zone: -1, Kind: -1, State: balancer.Gone})
	}
	for _, name := range slices.Sorted(maps.Keys(d.Changed)) {
		l.Entries = append(l.Entries, s.toEngine(name, d.Changed[name]))
	}
	s.host.List(l)
}

// toEngine is an entry as the engine has it.
func (s *Source) toEngine(name string, e membership.Entry) engine.Entry {
	names := s.names.Load()
	entry := engine.Entry{Name: name, Addr: e.Addr, Zone: -1, Kind: -1, Cell: e.Cell, State: balancer.Ready, Weight: e.Weight}
	if zone, known := names.Zones[e.Zone]; known {
		entry.Zone = zone
	}
	if kind, known := names.Kinds[e.Kind]; known {
		entry.Kind = kind
	}
	if e.Draining {
		entry.State = balancer.Draining
	}
	if e.Started != 0 {
		entry.Started = time.UnixMilli(e.Started)
	}
	return entry
}

// entryOf is a backend that stands, as an entry.
func (s *Source) entryOf(b *engine.Backend) membership.Entry {
	e := membership.Entry{Addr: b.Addr, Zone: s.zones[b.Zone], Kind: s.kinds[b.Kind], Cell: b.Cell, Draining: b.State == balancer.Draining, Weight: b.Weight}
	if b.Started > 0 {
		e.Started = s.host.Wall(b.Started).UnixMilli()
	}
	return e
}

// Origin is whose list counts, and its revision; false: it is not known, or the platform's alone counts.
func (s *Source) Origin() (source string, revision int64, there bool) {
	if s.model == nil {
		return "", 0, false
	}
	st := s.model.Status(s.host.Now())
	return st.Source, st.Revision, st.Source != ""
}

// Status is how the lists stand; false: there is the platform's alone.
func (s *Source) Status() (membership.Status, bool) {
	if s.model == nil {
		return membership.Status{}, false
	}
	return s.model.Status(s.host.Now()), true
}
