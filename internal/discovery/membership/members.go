// Package membership keeps the list of backends as registries tell it: whole lists at a revision, changes, words
// that nothing has changed, lost connections, lost histories. It owns the hard judgements: what may be taken
// out of the list, when an old list may be trusted, when to move from one source to another, how to damp an
// entry that comes and goes.
//
// It is pure: events with the time on them in, actions out; no goroutine, no clock, no input or output. It
// judges no backend's health, and never holds back a drain: whoever is told that a backend drains, or is
// gone, is told at once, but where most of the list goes together (see guard.go).
package membership

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// ConfirmKey is the name under which an operator confirms a list in the registry itself: a new write of it lets
// go what is held. It is no backend.
const ConfirmKey = "_confirm"

// Entry is a backend as a registry has it.
type Entry struct {
	Addr, Zone, Kind string
	Cell             int
	Draining         bool
	Weight           float64
	Started          int64 // Unix time in ms; 0 is long ago
}

// Item is a registry's entry under its name, with the revision at which it was last written.
type Item struct {
	Name        string
	ModRevision int64
	Malformed   string // why it can't be read; "" is well
	Entry       Entry
}

// Snapshot is a whole list at one revision.
type Snapshot struct {
	History  uint64 // which registry's numbers revisions are; one that was set up anew has another
	Revision int64
	Items    []Item
	Stale    bool // it was read from where it may be old: it proves nothing about what is newer
}

// Update is a transaction's.
type Update struct {
	Revision int64
	Puts     []Item
	Deletes  []string
}

// Config is what a Model is told.
type Config struct {
	Sources         []string      // names, the one that counts most first
	LossTimeout     time.Duration // for which a lost source's list counts as if it weren't
	FailbackDelay   time.Duration // for which a better source must be well before it is moved to
	MaxLossFraction float64       // part of the list that may go within Over; the rest is held. 1 is all
	LossWindow      time.Duration
	MaxFlaps        float64       // returns within FlapOver after which an entry has to stay out for a while; 0: any
	FlapDecay       time.Duration // over which they are forgotten
	MaxEntries      int           // entries; more are left out, and said
	EmitDeltas      bool          // small changes are told as Delta
}

// Action is one of List, Delta, Load and Say.
type Action interface{ action() }

// FullList is the list as it is to be from now on.
type FullList struct {
	Entries map[string]Entry
	Cached  bool // it is an old one: nobody has confirmed it
}

// Delta is what has changed of the list.
type Delta struct {
	Changed map[string]Entry
	Removed []string
}

// RequestSnapshot asks for a source's whole list.
type RequestSnapshot struct{ Source int }

// LogLine is a line for the log.
type LogLine string

func (FullList) action()        {}
func (Delta) action()           {}
func (RequestSnapshot) action() {}
func (LogLine) action()         {}

// source is what is known of one.
type source struct {
	name                  string
	items                 map[string]Item
	history               uint64
	revision              int64
	synced                bool          // items are its whole list at the revision
	loading               bool          // a whole list was asked for
	unreachable           bool          // since lostAt
	reachabilityChangedAt time.Duration // or when it was found again
	upToDateAt            time.Duration // when it was last known to be up to date
	malformed             map[string]string
	hasSnapshot           bool // at all
	lossReason            string
	// When it last told each entry, and when it said of one that it is gone.
	reportedAt, removedAt map[string]time.Duration

	confirmedRevision int64 // when Confirm was last written
}

// Model is one proxy's view. Not safe for concurrent use.
type Model struct {
	config     Config
	sources    []*source
	active     int // whose list is shown; -1: an old one
	list       map[string]Entry
	wantCached bool
	cachedList map[string]Entry // the list from before
	published  bool

	listCached     bool
	incremental    bool                // shown is what all of it comes to: small changes may go on from there
	drainsIgnored  bool                // too many would drain by the word of a source that does not count
	namesByAddress map[string][]string // names by address, of the source that counts

	recentSizes []sizeSample         // the list's, of late
	retained    map[string]Entry     // what went with too many others
	flaps       map[string]flapState // by name
	damped      map[string]bool      // kept out for it
	lastLines   map[string]string    // by what it is about: the last line, so that none is said twice in a row
	actions     []Action
}

// New makes a model that knows nothing.
func New(cfg Config) *Model {
	m := &Model{
		config: cfg, active: -1, list: map[string]Entry{}, retained: map[string]Entry{}, flaps: map[string]flapState{},
		damped: map[string]bool{}, lastLines: map[string]string{},
	}
	for _, name := range cfg.Sources {
		m.sources = append(m.sources, &source{
			name: name, items: map[string]Item{}, malformed: map[string]string{},
			reportedAt: map[string]time.Duration{}, removedAt: map[string]time.Duration{},
		})
	}
	return m
}

// takeActions gives the actions since the last time.
func (m *Model) takeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// log logs a line unless it is the last one said about this.
func (m *Model) log(about, format string, v ...any) {
	line := fmt.Sprintf(format, v...)
	if m.lastLines[about] == line {
		return
	}
	if len(m.lastLines) >= maxLinesKept { // names are ever new: some line may be said again
		clear(m.lastLines)
	}
	m.lastLines[about] = line
	m.actions = append(m.actions, LogLine(line))
}

// forgetLine lets a line about this be said again.
func (m *Model) forgetLine(about string) { delete(m.lastLines, about) }

// OnCachedList takes in the list from before this process: it is served from until a source has told one.
func (m *Model) OnCachedList(now time.Duration, old map[string]Entry) []Action {
	if m.active < 0 {
		m.cachedList = maps.Clone(old)
		m.wantCached = true
		m.publish(now)
	}
	return m.takeActions()
}

// OnSnapshot takes in a source's whole list.
func (m *Model) OnSnapshot(now time.Duration, src int, w Snapshot) []Action {
	s := m.sources[src]
	s.loading = false
	back := s.hasSnapshot && (w.History != s.history || w.Revision < s.revision)
	switch {
	case back && w.Stale && w.History == s.history:
		// Danger: a follower that lags would bring back who has left. What is held is newer.
		m.log(s.name+" stale", "%s: a list of revision %d is older than the one that is held (%d): left alone", s.name, w.Revision, s.revision)
		m.requestSnapshot(src)
		return m.takeActions()
	case back:
		m.log(s.name+" history", "%s: its history is another (revision %d of %x, and it was %d of %x): it was restored or set up anew, and its list counts",
			s.name, w.Revision, w.History, s.revision, s.history)
		s.malformed = map[string]string{}
	}
	// Danger: a confirmation that a backup brings back confirms nothing; only one that is written now does.
	confirmed := false
	if n := slices.IndexFunc(w.Items, func(i Item) bool { return i.Name == ConfirmKey }); n >= 0 {
		confirmed = s.hasSnapshot && !back && w.Items[n].ModRevision > s.confirmedRevision
		s.confirmedRevision = w.Items[n].ModRevision
		w.Items = slices.Delete(slices.Clone(w.Items), n, n+1)
	}
	was := s.items
	s.items = make(map[string]Item, len(w.Items))
	for _, i := range w.Items {
		m.putItem(s, i, was)
	}
	if !w.Stale {
		m.recordReports(now, s, was, back)
	}
	s.history, s.revision, s.synced, s.hasSnapshot = w.History, w.Revision, true, true
	for name := range s.malformed {
		if _, there := s.items[name]; !there && !slices.ContainsFunc(w.Items, func(i Item) bool { return i.Name == name }) {
			delete(s.malformed, name)
		}
	}
	m.markReachable(now, s, !w.Stale)
	m.chooseSource(now)
	m.publish(now)
	if confirmed {
		m.confirmRemovals(now)
	}
	return m.takeActions()
}

// recordReports notes when entries were told, and which have left. What a restored registry has no more did not leave.
func (m *Model) recordReports(now time.Duration, s *source, was map[string]Item, back bool) {
	for name := range was {
		if _, stays := s.items[name]; !stays {
			delete(s.reportedAt, name)
			if !back {
				s.recordRemoval(name, now)
			}
		}
	}
	for name := range s.items {
		s.reportedAt[name] = now
		delete(s.removedAt, name)
	}
}

const (
	maxRemovalsKept = 20_000           // that are remembered to have left, at a source
	removalMemory   = 10 * time.Minute // after which who has left is not: the other sources have heard of it too
	maxLinesKept    = 10_000           // of which the last is remembered
)

// recordRemoval remembers that an entry has left.
func (s *source) recordRemoval(name string, now time.Duration) {
	if len(s.removedAt) >= maxRemovalsKept {
		maps.DeleteFunc(s.removedAt, func(_ string, at time.Duration) bool { return now-at > removalMemory })
	}
	if len(s.removedAt) < maxRemovalsKept {
		s.removedAt[name] = now
	}
}

// applyOtherDrains marks those as draining of which another source that is there has said, after the one that counts last
// spoke of them, that they drain or are gone. Danger: the rule on drains counts from when this proxy was told,
// by whomever; and while the source that counts is lost its list is the older word.
func (m *Model) applyOtherDrains(list map[string]Entry) {
	var leaving []string
	for name, e := range list {
		if e.Draining || !m.drainsElsewhere(name) {
			continue
		}
		if was, shown := m.list[name]; shown && was.Draining {
			e.Draining = true // as before, however many are left
			list[name] = e
			continue
		}
		leaving = append(leaving, name)
	}
	m.drainsIgnored = m.config.MaxLossFraction > 0 && m.config.MaxLossFraction < 1 && float64(len(leaving)) > m.config.MaxLossFraction*float64(len(list))
	if m.drainsIgnored {
		m.log("heed", "WARNING: of %d entries %d would drain or be gone by the word of a source that does not count: left alone", len(list), len(leaving))
		return
	}
	m.forgetLine("heed")
	for _, name := range leaving {
		e := list[name]
		e.Draining = true
		list[name] = e
	}
}

// drainsElsewhere tells whether another source has said last that an entry drains or is gone.
func (m *Model) drainsElsewhere(name string) bool {
	said := m.sources[m.active].reportedAt[name]
	for j, s := range m.sources {
		if j == m.active || !s.hasSnapshot || s.unreachable {
			continue
		}
		at, gone := s.removedAt[name]
		if i, there := s.items[name]; there && i.Entry.Draining {
			at, gone = s.reportedAt[name], true
		}
		if gone && at > said {
			return true
		}
	}
	return false
}

// putItem takes one item in. One that can't be read leaves the last good one in its place.
func (m *Model) putItem(s *source, i Item, was map[string]Item) {
	if i.Malformed == "" {
		delete(s.malformed, i.Name)
		m.forgetLine(s.name + " bad " + i.Name)
		if _, there := s.items[i.Name]; !there && m.config.MaxEntries > 0 && len(s.items) >= m.config.MaxEntries {
			m.log(s.name+" most", "%s: more than %d entries: the others are left out", s.name, m.config.MaxEntries)
			return
		}
		s.items[i.Name] = i
		return
	}
	if old, there := was[i.Name]; there {
		s.items[i.Name] = old
		m.log(s.name+" bad "+i.Name, "%s: entry %s can't be read (%s): its last good one stands", s.name, i.Name, i.Malformed)
	} else {
		m.log(s.name+" bad "+i.Name, "%s: entry %s can't be read (%s): it is left out", s.name, i.Name, i.Malformed)
	}
	if len(s.malformed) < 1000 {
		s.malformed[i.Name] = i.Malformed
	}
}

// OnUpdate takes in a transaction, whole. One that was told before is nothing new.
func (m *Model) OnUpdate(now time.Duration, src int, c Update) []Action {
	s := m.sources[src]
	if !s.synced {
		return nil // the whole list is on its way, and has it
	}
	if c.Revision <= s.revision {
		return nil
	}
	if src == m.active {
		m.dropAddresses(c)
	}
	for _, name := range c.Deletes {
		if _, there := s.items[name]; there {
			s.recordRemoval(name, now)
		}
		delete(s.items, name)
		delete(s.reportedAt, name)
		delete(s.malformed, name)
	}
	confirmed := false
	touched := make([]string, 0, len(c.Puts)+len(c.Deletes))
	touched = append(touched, c.Deletes...)
	for _, i := range c.Puts {
		if i.Name == ConfirmKey {
			confirmed, s.confirmedRevision = true, i.ModRevision
			continue
		}
		touched = append(touched, i.Name)
		m.putItem(s, i, s.items)
		if i.Malformed == "" {
			s.reportedAt[i.Name] = now
			delete(s.removedAt, i.Name)
		}
	}
	s.revision = c.Revision
	before, found := m.active, s.unreachable
	m.markReachable(now, s, true)
	if m.chooseSource(now); found || before != m.active || !m.publishIncrementally(now, src, touched) {
		m.publish(now)
	}
	if confirmed {
		m.confirmRemovals(now)
	}
	return m.takeActions()
}

// OnProgress takes in that nothing has changed up to a revision.
func (m *Model) OnProgress(now time.Duration, src int, revision int64) []Action {
	s := m.sources[src]
	switch {
	case !s.synced:
		return nil
	case revision < s.revision: // a registry can't forget by itself
		s.synced = false
		m.requestSnapshot(src)
	default:
		s.revision = revision
		m.markReachable(now, s, true)
		m.chooseSource(now)
		m.publish(now)
	}
	return m.takeActions()
}

// OnCompacted takes in that the changes behind the held revision are no longer there: the whole list has to
// come. Until it does the held one stands.
func (m *Model) OnCompacted(now time.Duration, src int) []Action {
	s := m.sources[src]
	s.synced = false
	m.requestSnapshot(src)
	return m.takeActions()
}

// OnSourceLost takes in that a source can't be reached. Its list stands.
func (m *Model) OnSourceLost(now time.Duration, src int, why string) []Action {
	s := m.sources[src]
	s.loading, s.lossReason = false, why
	if !s.unreachable {
		s.unreachable, s.reachabilityChangedAt = true, now
		m.log(s.name+" lost", "%s: lost (%s); its list stands", s.name, why)
	}
	m.chooseSource(now)
	m.publish(now)
	return m.takeActions()
}

// markReachable notes that a source is there, and up to date where the word was of now.
func (m *Model) markReachable(now time.Duration, s *source, fresh bool) {
	if s.unreachable {
		s.unreachable, s.reachabilityChangedAt = false, now
		m.forgetLine(s.name + " lost")
		m.log(s.name+" found", "%s: found again", s.name)
		m.forgetLine(s.name + " found")
	}
	if fresh {
		s.upToDateAt = now
	}
}

func (m *Model) requestSnapshot(src int) {
	if s := m.sources[src]; !s.loading {
		s.loading = true
		m.actions = append(m.actions, RequestSnapshot{src})
	}
}

// Tick does what time alone brings about. Next says when.
func (m *Model) Tick(now time.Duration) []Action {
	m.chooseSource(now)
	m.publish(now)
	return m.takeActions()
}

// NextTick is when Tick has something to do; 0 is never, as things stand.
func (m *Model) NextTick(now time.Duration) time.Duration {
	next := time.Duration(0)
	at := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for i, s := range m.sources {
		if s.hasSnapshot && s.unreachable && i == m.active {
			at(s.reachabilityChangedAt + m.config.LossTimeout)
		}
		if s.hasSnapshot && !s.unreachable && i != m.active {
			at(s.reachabilityChangedAt + m.config.FailbackDelay)
		}
	}
	for name := range m.damped {
		at(now + m.flaps[name].reuseDelay(now, m.config))
	}
	return next
}

// usable tells whether a source's list may be shown.
func (m *Model) usable(now time.Duration, s *source) bool {
	return s.hasSnapshot && (!s.unreachable || now-s.reachabilityChangedAt < m.config.LossTimeout)
}

// chooseSource decides whose list is shown: the first that is usable, and has been well for a while if another's is
// shown. Where none is usable the one that is shown stays.
func (m *Model) chooseSource(now time.Duration) {
	for i, s := range m.sources {
		if !m.usable(now, s) {
			continue
		}
		if m.active < 0 || i == m.active {
			m.switchTo(now, i)
			return
		}
		// Danger: a source that comes and goes would make the list do the same.
		mine := m.sources[m.active]
		if !m.usable(now, mine) || !s.unreachable && now-s.reachabilityChangedAt >= m.config.FailbackDelay && i < m.active {
			m.switchTo(now, i)
			return
		}
	}
}

func (m *Model) switchTo(now time.Duration, to int) {
	if m.active == to {
		return
	}
	if m.active >= 0 {
		m.log("source", "the list is now %s's, and was %s's", m.sources[to].name, m.sources[m.active].name)
	} else {
		m.log("source", "the list is now %s's", m.sources[to].name)
	}
	m.active, m.wantCached, m.cachedList = to, false, nil
}

// desiredList is the list as it would be shown if nothing were held or damped.
func (m *Model) desiredList() map[string]Entry {
	if m.active < 0 {
		return maps.Clone(m.cachedList)
	}
	items := m.sources[m.active].items
	list := make(map[string]Entry, len(items))
	// Danger: two names at one address are one backend that would get twice its load, or one whose
	// successor has its address already. The one written last counts.
	m.namesByAddress = make(map[string][]string, len(items))
	for name, i := range items {
		m.namesByAddress[i.Entry.Addr] = append(m.namesByAddress[i.Entry.Addr], name)
	}
	for _, names := range m.namesByAddress {
		name := m.latestAt(names)
		list[name] = items[name].Entry
	}
	if len(m.sources) > 1 {
		m.applyOtherDrains(list)
	}
	return list
}

// latestAt is which of several at one address counts.
func (m *Model) latestAt(names []string) string {
	if len(names) == 1 {
		return names[0]
	}
	items := m.sources[m.active].items
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(items[a].ModRevision, items[b].ModRevision), strings.Compare(a, b))
	})
	last := names[len(names)-1]
	m.log("address "+items[last].Entry.Addr, "%s are all at %s: the latest, %s, counts", strings.Join(names, ", "), items[last].Entry.Addr, last)
	return last
}

// publish tells the list, if it is another one than before.
func (m *Model) publish(now time.Duration) {
	if m.active < 0 && m.cachedList == nil {
		return
	}
	next := m.desiredList()
	m.dampFlaps(now, next)
	m.retainMassRemovals(now, next)
	m.incremental = true
	if m.published && maps.Equal(next, m.list) && m.wantCached == m.listCached {
		return
	}
	m.published, m.list, m.listCached = true, next, m.wantCached
	m.actions = append(m.actions, FullList{Entries: maps.Clone(next), Cached: m.wantCached})
}

// SourceList is a source's own list, and whether it has told one.
func (m *Model) SourceList(src int) (map[string]Entry, bool) {
	s := m.sources[src]
	list := make(map[string]Entry, len(s.items))
	for name, i := range s.items {
		list[name] = i.Entry
	}
	return list, s.hasSnapshot
}

// Status is how things stand.
type Status struct {
	Source   string         `json:"source"` // whose list is shown; "" is an old one
	Revision int64          `json:"revision"`
	Age      time.Duration  `json:"age_ns"` // since the list was last known to be up to date; -1 is not known
	Entries  int            `json:"entries"`
	Retained []string       `json:"held,omitempty"` // that would have gone with too many others
	Damped   []string       `json:"damped,omitempty"`
	Sources  []SourceStatus `json:"sources"`
}

// SourceStatus is how a source stands.
type SourceStatus struct {
	Name        string            `json:"name"`
	Revision    int64             `json:"revision"`
	Synced      bool              `json:"synced"` // its whole list is known at the revision
	Unreachable bool              `json:"lost"`
	LossReason  string            `json:"why,omitempty"` // it was last lost
	Malformed   map[string]string `json:"bad,omitempty"` // entries that can't be read, and why
}

// Status gives it.
func (m *Model) Status(now time.Duration) Status {
	s := Status{Age: -1, Entries: len(m.list), Retained: slices.Sorted(maps.Keys(m.retained)), Damped: slices.Sorted(maps.Keys(m.damped))}
	if m.active >= 0 {
		a := m.sources[m.active]
		s.Source, s.Revision = a.name, a.revision
		if a.upToDateAt > 0 {
			s.Age = now - a.upToDateAt
		}
	}
	for _, x := range m.sources {
		s.Sources = append(s.Sources, SourceStatus{x.name, x.revision, x.synced, x.unreachable, x.lossReason, maps.Clone(x.malformed)})
	}
	return s
}
