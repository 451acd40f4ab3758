package sources

import (
	"sync"
	"sync/atomic"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/discovery/registry"
)

// Host is the part of the engine that a Source uses. All but Post and Now are called on its goroutine.
type Host interface {
	Post(event func())
	ApplyMembership(l engine.Membership)
	Now() time.Duration
	Schedule(when time.Duration, event func()) *engine.Timer
	EachBackend(each func(*engine.Backend))
	WallTime(at time.Duration) time.Time
}

// The indices of the model's sources, in order of preference.
const (
	registryIndex = iota
	platformIndex
)

// maxEntries bounds the list of a source.
const maxEntries = 20_000

// Source is the engine's source of lists. The engine's goroutine owns it, but for Close.
type Source struct {
	host     Host
	platform *platformwatch.Source
	names    atomic.Pointer[platformwatch.Names] // in force
	zones    map[int]string                      // their inverse
	kinds    map[int]string
	logf     func(format string, args ...any)

	config           registry.Config
	model            *membership.Model // nil: the platform alone
	registryWatch    *registryWatch    // nil: no registry is followed
	running          sync.WaitGroup    // of registry watches
	platformVersion  uint32            // of the platform's last list or change
	platformReported bool              // the platform has sent a list or a change in this process
	listVersion      uint32            // of the last list or change given to the engine
	nextTickAt       time.Duration     // when the model's next tick is due; 0: none is
}

var _ engine.Source = (*Source)(nil)

// New returns a source. Nothing is called before Watch, Fetch or SetRegistry.
func New(config platformwatch.Config, version uint32, host Host) *Source {
	s := &Source{host: host, logf: config.Logf, platformVersion: version, listVersion: version, zones: map[int]string{}, kinds: map[int]string{}}
	s.setNames(config.Names)
	s.platform = platformwatch.New(config, version, platformSink{s})
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

// setNames puts the names of zones and kinds in force.
func (s *Source) setNames(names platformwatch.Names) {
	s.names.Store(&names)
	clear(s.zones)
	clear(s.kinds)
	for name, index := range names.Zones {
		s.zones[index] = name
	}
	for name, index := range names.Kinds {
		s.kinds[index] = name
	}
}

// Close ends all calls and waits for them. Only when the engine has ended, or before it runs.
func (s *Source) Close() {
	if s.registryWatch != nil {
		s.registryWatch.cancel()
	}
	s.platform.Close()
	s.running.Wait()
}

// apply carries the model's actions out.
func (s *Source) apply(actions []membership.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case membership.LogLine:
			s.logf("list: %s", string(action))
		case membership.RequestSnapshot:
			s.requestSnapshot(action.Source)
		case membership.FullList:
			s.emitList(action.Entries, action.Cached)
		case membership.Delta:
			s.emitDelta(action)
		}
	}
	s.scheduleTick()
}

func (s *Source) requestSnapshot(index int) {
	if index == platformIndex {
		s.platform.Fetch()
		return
	}
	if s.registryWatch != nil {
		s.registryWatch.requestSnapshot()
	}
}

// scheduleTick sees to it that the model's next tick happens, unless an earlier one is due.
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

// Origin returns whose list is in force and its revision; false: it is a cached one, or the platform's alone is known.
func (s *Source) Origin() (source string, revision int64, known bool) {
	if s.model == nil {
		return "", 0, false
	}
	status := s.model.Status(s.host.Now())
	return status.Source, status.Revision, status.Source != ""
}

// Status returns the state of the lists; false: there is the platform's alone.
func (s *Source) Status() (membership.Status, bool) {
	if s.model == nil {
		return membership.Status{}, false
	}
	return s.model.Status(s.host.Now()), true
}
