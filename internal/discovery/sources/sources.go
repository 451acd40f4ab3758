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
	ApplyMembership(l engine.Membership)
	Now() time.Duration
	Schedule(when time.Duration, event func()) *engine.Timer
	EachBackend(each func(*engine.Backend))
	WallTime(at time.Duration) time.Time
}

// The model's sources.
const (
	registryIndex = iota
	platformIndex
)

// Source is the engine's source. The engine's goroutine owns it, but for Close.
type Source struct {
	host     Host
	platform *platformwatch.Source
	names    atomic.Pointer[platformwatch.Names]
	zones    map[int]string
	kinds    map[int]string
	logf     func(format string, args ...any)

	config           registry.Config
	model            *membership.Model // nil: the platform alone
	registryWatch    *registryWatch
	platformVersion  uint32 // the platform's last
	listVersion      uint32 // of the lists told here
	nextTickAt       time.Duration
	platformReported bool // the platform has told a list in this process
	running          sync.WaitGroup
}

// registryWatch is one following of one registry. The word of one that is over counts no more.
type registryWatch struct {
	cancel context.CancelFunc
	resync chan struct{}
}

// New makes a source. Nothing is called before Watch or Fetch, and Set.
func New(cfg platformwatch.Config, version uint32, host Host) *Source {
	s := &Source{host: host, logf: cfg.Logf, platformVersion: version, listVersion: version, zones: map[int]string{}, kinds: map[int]string{}}
	s.setNames(cfg.Names)
	s.platform = platformwatch.New(cfg, version, platformSink{s})
	return s
}

// Watch implements engine.Source.
func (s *Source) Watch(on bool) { s.platform.Watch(on) }

// Fetch implements engine.Source.
func (s *Source) Fetch() { s.platform.Fetch() }

// Reload puts another address of the platform's discovery in force, and other names.
func (s *Source) Reload(addr string, names platformwatch.Names) {
	s.setNames(names)
	s.platform.Reload(addr, names)
}

// setNames notes what the places of zones and kinds are called.
func (s *Source) setNames(names platformwatch.Names) {
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
	if s.registryWatch != nil {
		s.registryWatch.cancel()
	}
	s.running.Wait()
}

// CheckRegistry tells whether a registry can be set.
func CheckRegistry(cfg registry.Config) error {
	if err := cfg.Validate(); err != nil {
		return err
	}
	return cfg.CheckFiles()
}

// SetRegistry puts a registry in force, another one, or none.
func (s *Source) SetRegistry(cfg registry.Config) error {
	if reflect.DeepEqual(cfg, s.config) || !cfg.Enabled() && !s.config.Enabled() {
		return nil
	}
	if err := CheckRegistry(cfg); err != nil {
		return err
	}
	if s.registryWatch != nil {
		s.registryWatch.cancel() // its last words are not heard; it ends by itself
		s.registryWatch = nil
	}
	was := s.config
	if s.config = cfg; !cfg.Enabled() {
		s.stopModel()
		return nil
	}
	client, err := registry.New(cfg)
	if err != nil {
		s.config = was
		return err
	}
	if s.model == nil {
		s.startModel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &registryWatch{cancel, make(chan struct{}, 1)}
	s.registryWatch = l
	s.logf("registry: following %s at %v", cfg.Kind, cfg.Endpoints)
	s.running.Go(func() {
		registry.Follow(ctx, client, registryObserver{s, l}, l.resync)
		client.NextEndpoint() // nothing is kept open
	})
	return nil
}

// startModel begins to judge between two lists: the one that stands is the platform's.
func (s *Source) startModel() {
	c := s.config
	s.model = membership.New(membership.Config{
		Sources: []string{"registry", "platform"}, LossTimeout: c.LossTimeout.D(), FailbackDelay: c.FailbackDelay.D(), MaxLossFraction: c.MaxLossFraction,
		LossWindow: c.LossWindow.D(), MaxFlaps: c.MaxFlaps, FlapDecay: c.FlapDecay.D(), MaxEntries: 20_000, EmitDeltas: true,
	})
	w := membership.Snapshot{Revision: int64(s.platformVersion)}
	known := map[string]membership.Entry{}
	s.host.EachBackend(func(b *engine.Backend) {
		i := membership.Item{Name: b.Name, ModRevision: int64(s.platformVersion), Entry: s.fromBackend(b)}
		w.Items = append(w.Items, i)
		known[i.Name] = i.Entry
	})
	if len(w.Items) == 0 {
		return
	}
	// What stands may be the list from before this process. The platform goes on from it, so it has to know
	// it; whose it is shows with the first word of either.
	s.applyWithoutLists(s.model.OnCachedList(s.host.Now(), known))
	if s.heard() {
		s.applyWithoutLists(s.model.OnSnapshot(s.host.Now(), platformIndex, w))
	}
}

// heard tells whether the platform has told a list in this process.
func (s *Source) heard() bool { return s.platformReported }

// stopModel ends it: the platform's list counts from now on, as far as it is known.
func (s *Source) stopModel() {
	list, known := s.model.SourceList(platformIndex)
	s.model, s.nextTickAt = nil, 0
	s.logf("registry: off")
	if known {
		s.emitList(list, false)
	}
}

// platform is the sink of the platform's watch.
type platformSink struct{ *Source }

func (p platformSink) Post(event func()) { p.host.Post(event) }

// OnList takes the platform's word.
func (p platformSink) OnList(l engine.Membership) {
	s := p.Source
	s.platformVersion, s.platformReported = l.Version, true
	if s.model == nil {
		s.listVersion = l.Version
		s.host.ApplyMembership(l)
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
	if l.Kind == balancer.MembershipDelta {
		s.apply(s.model.OnUpdate(now, platformIndex, membership.Update{Revision: int64(l.Version), Puts: puts, Deletes: gone}))
		return
	}
	s.apply(s.model.OnSnapshot(now, platformIndex, membership.Snapshot{Revision: int64(l.Version), Items: puts}))
}

// registryObserver is what a registry's client tells, on its own goroutine.
type registryObserver struct {
	source *Source
	watch  *registryWatch
}

func (t registryObserver) post(event func(m *membership.Model, now time.Duration) []membership.Action) {
	t.source.host.Post(func() {
		if t.source.registryWatch == t.watch && t.source.model != nil {
			t.source.apply(event(t.source.model, t.source.host.Now()))
		}
	})
}

func (t registryObserver) OnSnapshot(w membership.Snapshot) {
	t.source.markUnknownZones(w.Items)
	t.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnSnapshot(now, registryIndex, w)
	})
}

func (t registryObserver) OnUpdate(c membership.Update) {
	t.source.markUnknownZones(c.Puts)
	t.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnUpdate(now, registryIndex, c)
	})
}

func (t registryObserver) OnProgress(revision int64) {
	t.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnProgress(now, registryIndex, revision)
	})
}

func (t registryObserver) OnCompacted() {
	t.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnCompacted(now, registryIndex)
	})
}

func (t registryObserver) OnLost(why string) {
	t.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnSourceLost(now, registryIndex, why)
	})
}

// markUnknownZones marks entries in zones that the settings don't have. Names are never changed.
func (s *Source) markUnknownZones(items []membership.Item) {
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
			if a.Source == platformIndex {
				s.platform.Fetch()
			} else if s.registryWatch != nil {
				select {
				case s.registryWatch.resync <- struct{}{}:
				default: // it is asked for already
				}
			}
		case membership.FullList:
			s.emitList(a.Entries, a.Cached)
		case membership.Delta:
			s.emitDelta(a)
		}
	}
	s.scheduleTick()
}

// applyWithoutLists carries out all but lists: the engine has this one.
func (s *Source) applyWithoutLists(acts []membership.Action) {
	s.apply(slices.DeleteFunc(acts, func(a membership.Action) bool { _, is := a.(membership.FullList); return is }))
}

// scheduleTick sees to it that what time alone brings about happens.
func (s *Source) scheduleTick() {
	now := s.host.Now()
	next := s.model.NextTick(now)
	if next == 0 || s.nextTickAt > now && s.nextTickAt <= next {
		return
	}
	s.nextTickAt = next
	s.host.Schedule(next, func() {
		if s.model != nil && s.nextTickAt == next {
			s.nextTickAt = 0
			s.apply(s.model.Tick(s.host.Now()))
		}
	})
}

// emitList gives the engine a whole list.
func (s *Source) emitList(list map[string]membership.Entry, cached bool) {
	l := engine.Membership{Kind: balancer.MembershipFull, Entries: make([]engine.Entry, 0, len(list))}
	if cached {
		l.Kind = balancer.MembershipCached
	}
	s.listVersion++
	l.Version = s.listVersion
	for _, name := range slices.Sorted(maps.Keys(list)) {
		l.Entries = append(l.Entries, s.toEngine(name, list[name]))
	}
	s.host.ApplyMembership(l)
}

// emitDelta gives the engine a change.
func (s *Source) emitDelta(d membership.Delta) {
	s.listVersion++
	l := engine.Membership{Kind: balancer.MembershipDelta, Version: s.listVersion}
	for _, name := range d.Removed { // first: another may have the address now
		l.Entries = append(l.Entries, engine.Entry{Name: name, Zone: -1, Kind: -1, State: balancer.Gone})
	}
	for _, name := range slices.Sorted(maps.Keys(d.Changed)) {
		l.Entries = append(l.Entries, s.toEngine(name, d.Changed[name]))
	}
	s.host.ApplyMembership(l)
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

// fromBackend is a backend that stands, as an entry.
func (s *Source) fromBackend(b *engine.Backend) membership.Entry {
	e := membership.Entry{Addr: b.Addr, Zone: s.zones[b.Zone], Kind: s.kinds[b.Kind], Cell: b.Cell, Draining: b.State == balancer.Draining, Weight: b.Weight}
	if b.Started > 0 {
		e.Started = s.host.WallTime(b.Started).UnixMilli()
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
