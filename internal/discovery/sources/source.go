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

// Host is the part of the engine that a Source uses. All methods but Post and Now are called on the engine's goroutine.
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

// maxEntries bounds the list of each source.
const maxEntries = 20_000

// Source is the engine's source of lists. Apart from Close, all methods are called on the engine's goroutine.
type Source struct {
	host     Host
	platform *platformwatch.Source
	names    atomic.Pointer[platformwatch.Names] // the names in force
	zones    map[int]string                      // zone names by index
	kinds    map[int]string                      // kind names by index
	logf     func(format string, args ...any)

	config           registry.Config
	model            *membership.Model // nil: only the platform's list is used
	registryWatch    *registryWatch    // nil: no registry is followed
	running          sync.WaitGroup    // registry watches
	platformVersion  uint32            // version of the platform's last list or change
	platformReported bool              // whether the platform has sent a list or a change to this process
	listVersion      uint32            // version of the last list or change given to the engine
	nextTickAt       time.Duration     // when the model's next tick is due; 0: none is scheduled
}

var _ engine.Source = (*Source)(nil)

// New returns a source. It makes no calls before Watch, Fetch or SetRegistry.
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

// Reload changes the address of the platform's discovery and the names.
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

// Close cancels all calls and waits for them. Call it only before the engine runs or after it has ended.
func (s *Source) Close() {
	if s.registryWatch != nil {
		s.registryWatch.cancel()
	}
	s.platform.Close()
	s.running.Wait()
}

// apply carries out the model's actions.
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

// scheduleTick schedules the model's next tick, unless an earlier one is scheduled.
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

// Origin returns the name of the source whose list is in force and the list's revision. It returns false if the list is
// a cached one, or no registry is configured.
func (s *Source) Origin() (source string, revision int64, known bool) {
	if s.model == nil {
		return "", 0, false
	}
	status := s.model.Status(s.host.Now())
	return status.Source, status.Revision, status.Source != ""
}

// Status returns the state of the lists. It returns false if no registry is configured.
func (s *Source) Status() (membership.Status, bool) {
	if s.model == nil {
		return membership.Status{}, false
	}
	return s.model.Status(s.host.Now()), true
}
