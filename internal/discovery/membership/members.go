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

// Confirm is the name under which an operator confirms a list in the registry itself: a new write of it lets
// go what is held. It is no backend.
const Confirm = "_confirm"

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
	Name  string
	Mod   int64
	Bad   string // why it can't be read; "" is well
	Entry Entry
}

// Whole is a whole list at one revision.
type Whole struct {
	History  uint64 // which registry's numbers revisions are; one that was set up anew has another
	Revision int64
	Items    []Item
	Stale    bool // it was read from where it may be old: it proves nothing about what is newer
}

// Change is a transaction's.
type Change struct {
	Revision int64
	Puts     []Item
	Deletes  []string
}

// Config is what a Model is told.
type Config struct {
	Sources  []string      // names, the one that counts most first
	Patience time.Duration // for which a lost source's list counts as if it weren't
	Settle   time.Duration // for which a better source must be well before it is moved to
	Guard    float64       // part of the list that may go within Over; the rest is held. 1 is all
	Over     time.Duration
	FlapMost float64       // returns within FlapOver after which an entry has to stay out for a while; 0: any
	FlapOver time.Duration // over which they are forgotten
	Most     int           // entries; more are left out, and said
	Deltas   bool          // small changes are told as Delta
}

// Action is one of List, Delta, Load and Say.
type Action interface{ action() }

// List is the list as it is to be from now on.
type List struct {
	Entries map[string]Entry
	Cached  bool // it is an old one: nobody has confirmed it
}

// Delta is what has changed of the list.
type Delta struct {
	Changed map[string]Entry
	Gone    []string
}

// Load asks for a source's whole list.
type Load struct{ Source int }

// Say is a line for the log.
type Say string

func (List) action()  {}
func (Delta) action() {}
func (Load) action()  {}
func (Say) action()   {}

// source is what is known of one.
type source struct {
	name     string
	items    map[string]Item
	history  uint64
	revision int64
	synced   bool          // items are its whole list at the revision
	loading  bool          // a whole list was asked for
	lost     bool          // since lostAt
	lostAt   time.Duration // or when it was found again
	asOf     time.Duration // when it was last known to be up to date
	bad      map[string]string
	told     bool // at all
	why      string
	// When it last told each entry, and when it said of one that it is gone.
	when, left map[string]time.Duration

	confirmed int64 // when Confirm was last written
}

// Model is one proxy's view. Not safe for concurrent use.
type Model struct {
	cfg     Config
	sources []*source
	active  int // whose list is shown; -1: an old one
	shown   map[string]Entry
	cached  bool
	old     map[string]Entry // the list from before
	began   bool

	shownCached bool
	whole       bool                // shown is what all of it comes to: small changes may go on from there
	unheeded    bool                // too many would drain by the word of a source that does not count
	addresses   map[string][]string // names by address, of the source that counts

	sizes []size            // the list's, of late
	held  map[string]Entry  // what went with too many others
	flaps map[string]flap   // by name
	damp  map[string]bool   // kept out for it
	said  map[string]string // by what it is about: the last line, so that none is said twice in a row
	out   []Action
}

// New makes a model that knows nothing.
func New(cfg Config) *Model {
	m := &Model{
		cfg: cfg, active: -1, shown: map[string]Entry{}, held: map[string]Entry{}, flaps: map[string]flap{},
		damp: map[string]bool{}, said: map[string]string{},
	}
	for _, name := range cfg.Sources {
		m.sources = append(m.sources, &source{
			name: name, items: map[string]Item{}, bad: map[string]string{},
			when: map[string]time.Duration{}, left: map[string]time.Duration{},
		})
	}
	return m
}

// take gives the actions since the last time.
func (m *Model) take() []Action {
	out := m.out
	m.out = nil
	return out
}

// say logs a line unless it is the last one said about this.
func (m *Model) say(about, format string, v ...any) {
	line := fmt.Sprintf(format, v...)
	if m.said[about] == line {
		return
	}
	if len(m.said) >= mostLines { // names are ever new: some line may be said again
		clear(m.said)
	}
	m.said[about] = line
	m.out = append(m.out, Say(line))
}

// unsay lets a line about this be said again.
func (m *Model) unsay(about string) { delete(m.said, about) }

// Known takes in the list from before this process: it is served from until a source has told one.
func (m *Model) Known(now time.Duration, old map[string]Entry) []Action {
	if m.active < 0 {
		m.old = maps.Clone(old)
		m.cached = true
		m.show(now)
	}
	return m.take()
}

// Whole takes in a source's whole list.
func (m *Model) Whole(now time.Duration, src int, w Whole) []Action {
	s := m.sources[src]
	s.loading = false
	back := s.told && (w.History != s.history || w.Revision < s.revision)
	switch {
	case back && w.Stale && w.History == s.history:
		// Danger: a follower that lags would bring back who has left. What is held is newer.
		m.say(s.name+" stale", "%s: a list of revision %d is older than the one that is held (%d): left alone", s.name, w.Revision, s.revision)
		m.load(src)
		return m.take()
	case back:
		m.say(s.name+" history", "%s: its history is another (revision %d of %x, and it was %d of %x): it was restored or set up anew, and its list counts",
			s.name, w.Revision, w.History, s.revision, s.history)
		s.bad = map[string]string{}
	}
	// Danger: a confirmation that a backup brings back confirms nothing; only one that is written now does.
	confirmed := false
	if n := slices.IndexFunc(w.Items, func(i Item) bool { return i.Name == Confirm }); n >= 0 {
		confirmed = s.told && !back && w.Items[n].Mod > s.confirmed
		s.confirmed = w.Items[n].Mod
		w.Items = slices.Delete(slices.Clone(w.Items), n, n+1)
	}
	was := s.items
	s.items = make(map[string]Item, len(w.Items))
	for _, i := range w.Items {
		m.put(s, i, was)
	}
	if !w.Stale {
		m.note(now, s, was, back)
	}
	s.history, s.revision, s.synced, s.told = w.History, w.Revision, true, true
	for name := range s.bad {
		if _, there := s.items[name]; !there && !slices.ContainsFunc(w.Items, func(i Item) bool { return i.Name == name }) {
			delete(s.bad, name)
		}
	}
	m.heard(now, s, !w.Stale)
	m.choose(now)
	m.show(now)
	if confirmed {
		m.confirm(now)
	}
	return m.take()
}

// note notes when entries were told, and which have left. What a restored registry has no more did not leave.
func (m *Model) note(now time.Duration, s *source, was map[string]Item, back bool) {
	for name := range was {
		if _, stays := s.items[name]; !stays {
			delete(s.when, name)
			if !back {
				s.leave(name, now)
			}
		}
	}
	for name := range s.items {
		s.when[name] = now
		delete(s.left, name)
	}
}

const (
	mostLeft  = 20_000           // that are remembered to have left, at a source
	leftLong  = 10 * time.Minute // after which who has left is not: the other sources have heard of it too
	mostLines = 10_000           // of which the last is remembered
)

// leave remembers that an entry has left.
func (s *source) leave(name string, now time.Duration) {
	if len(s.left) >= mostLeft {
		maps.DeleteFunc(s.left, func(_ string, at time.Duration) bool { return now-at > leftLong })
	}
	if len(s.left) < mostLeft {
		s.left[name] = now
	}
}

// heed marks those as draining of which another source that is there has said, after the one that counts last
// spoke of them, that they drain or are gone. Danger: the rule on drains counts from when this proxy was told,
// by whomever; and while the source that counts is lost its list is the older word.
func (m *Model) heed(list map[string]Entry) {
	var leaving []string
	for name, e := range list {
		if e.Draining || !m.leaves(name) {
			continue
		}
		if was, shown := m.shown[name]; shown && was.Draining {
			e.Draining = true // as before, however many are left
			list[name] = e
			continue
		}
		leaving = append(leaving, name)
	}
	m.unheeded = m.cfg.Guard > 0 && m.cfg.Guard < 1 && float64(len(leaving)) > m.cfg.Guard*float64(len(list))
	if m.unheeded {
		m.say("heed", "WARNING: of %d entries %d would drain or be gone by the word of a source that does not count: left alone", len(list), len(leaving))
		return
	}
	m.unsay("heed")
	for _, name := range leaving {
		e := list[name]
		e.Draining = true
		list[name] = e
	}
}

// leaves tells whether another source has said last that an entry drains or is gone.
func (m *Model) leaves(name string) bool {
	said := m.sources[m.active].when[name]
	for j, s := range m.sources {
		if j == m.active || !s.told || s.lost {
			continue
		}
		at, gone := s.left[name]
		if i, there := s.items[name]; there && i.Entry.Draining {
			at, gone = s.when[name], true
		}
		if gone && at > said {
			return true
		}
	}
	return false
}

// put takes one item in. One that can't be read leaves the last good one in its place.
func (m *Model) put(s *source, i Item, was map[string]Item) {
	if i.Bad == "" {
		delete(s.bad, i.Name)
		m.unsay(s.name + " bad " + i.Name)
		if _, there := s.items[i.Name]; !there && m.cfg.Most > 0 && len(s.items) >= m.cfg.Most {
			m.say(s.name+" most", "%s: more than %d entries: the others are left out", s.name, m.cfg.Most)
			return
		}
		s.items[i.Name] = i
		return
	}
	if old, there := was[i.Name]; there {
		s.items[i.Name] = old
		m.say(s.name+" bad "+i.Name, "%s: entry %s can't be read (%s): its last good one stands", s.name, i.Name, i.Bad)
	} else {
		m.say(s.name+" bad "+i.Name, "%s: entry %s can't be read (%s): it is left out", s.name, i.Name, i.Bad)
	}
	if len(s.bad) < 1000 {
		s.bad[i.Name] = i.Bad
	}
}

// Change takes in a transaction, whole. One that was told before is nothing new.
func (m *Model) Change(now time.Duration, src int, c Change) []Action {
	s := m.sources[src]
	if !s.synced {
		return nil // the whole list is on its way, and has it
	}
	if c.Revision <= s.revision {
		return nil
	}
	if src == m.active {
		m.leaveAddresses(c)
	}
	for _, name := range c.Deletes {
		if _, there := s.items[name]; there {
			s.leave(name, now)
		}
		delete(s.items, name)
		delete(s.when, name)
		delete(s.bad, name)
	}
	confirmed := false
	touched := make([]string, 0, len(c.Puts)+len(c.Deletes))
	touched = append(touched, c.Deletes...)
	for _, i := range c.Puts {
		if i.Name == Confirm {
			confirmed, s.confirmed = true, i.Mod
			continue
		}
		touched = append(touched, i.Name)
		m.put(s, i, s.items)
		if i.Bad == "" {
			s.when[i.Name] = now
			delete(s.left, i.Name)
		}
	}
	s.revision = c.Revision
	before, found := m.active, s.lost
	m.heard(now, s, true)
	if m.choose(now); found || before != m.active || !m.showSome(now, src, touched) {
		m.show(now)
	}
	if confirmed {
		m.confirm(now)
	}
	return m.take()
}

// Progress takes in that nothing has changed up to a revision.
func (m *Model) Progress(now time.Duration, src int, revision int64) []Action {
	s := m.sources[src]
	switch {
	case !s.synced:
		return nil
	case revision < s.revision: // a registry can't forget by itself
		s.synced = false
		m.load(src)
	default:
		s.revision = revision
		m.heard(now, s, true)
		m.choose(now)
		m.show(now)
	}
	return m.take()
}

// Compacted takes in that the changes behind the held revision are no longer there: the whole list has to
// come. Until it does the held one stands.
func (m *Model) Compacted(now time.Duration, src int) []Action {
	s := m.sources[src]
	s.synced = false
	m.load(src)
	return m.take()
}

// Lost takes in that a source can't be reached. Its list stands.
func (m *Model) Lost(now time.Duration, src int, why string) []Action {
	s := m.sources[src]
	s.loading, s.why = false, why
	if !s.lost {
		s.lost, s.lostAt = true, now
		m.say(s.name+" lost", "%s: lost (%s); its list stands", s.name, why)
	}
	m.choose(now)
	m.show(now)
	return m.take()
}

// heard notes that a source is there, and up to date where the word was of now.
func (m *Model) heard(now time.Duration, s *source, fresh bool) {
	if s.lost {
		s.lost, s.lostAt = false, now
		m.unsay(s.name + " lost")
		m.say(s.name+" found", "%s: found again", s.name)
		m.unsay(s.name + " found")
	}
	if fresh {
		s.asOf = now
	}
}

func (m *Model) load(src int) {
	if s := m.sources[src]; !s.loading {
		s.loading = true
		m.out = append(m.out, Load{src})
	}
}

// Tick does what time alone brings about. Next says when.
func (m *Model) Tick(now time.Duration) []Action {
	m.choose(now)
	m.show(now)
	return m.take()
}

// Next is when Tick has something to do; 0 is never, as things stand.
func (m *Model) Next(now time.Duration) time.Duration {
	next := time.Duration(0)
	at := func(t time.Duration) {
		if t > now && (next == 0 || t < next) {
			next = t
		}
	}
	for i, s := range m.sources {
		if s.told && s.lost && i == m.active {
			at(s.lostAt + m.cfg.Patience)
		}
		if s.told && !s.lost && i != m.active {
			at(s.lostAt + m.cfg.Settle)
		}
	}
	for name := range m.damp {
		at(now + m.flaps[name].until(now, m.cfg))
	}
	return next
}

// usable tells whether a source's list may be shown.
func (m *Model) usable(now time.Duration, s *source) bool {
	return s.told && (!s.lost || now-s.lostAt < m.cfg.Patience)
}

// choose decides whose list is shown: the first that is usable, and has been well for a while if another's is
// shown. Where none is usable the one that is shown stays.
func (m *Model) choose(now time.Duration) {
	for i, s := range m.sources {
		if !m.usable(now, s) {
			continue
		}
		if m.active < 0 || i == m.active {
			m.move(now, i)
			return
		}
		// Danger: a source that comes and goes would make the list do the same.
		mine := m.sources[m.active]
		if !m.usable(now, mine) || !s.lost && now-s.lostAt >= m.cfg.Settle && i < m.active {
			m.move(now, i)
			return
		}
	}
}

func (m *Model) move(now time.Duration, to int) {
	if m.active == to {
		return
	}
	if m.active >= 0 {
		m.say("source", "the list is now %s's, and was %s's", m.sources[to].name, m.sources[m.active].name)
	} else {
		m.say("source", "the list is now %s's", m.sources[to].name)
	}
	m.active, m.cached, m.old = to, false, nil
}

// wanted is the list as it would be shown if nothing were held or damped.
func (m *Model) wanted() map[string]Entry {
	if m.active < 0 {
		return maps.Clone(m.old)
	}
	items := m.sources[m.active].items
	list := make(map[string]Entry, len(items))
	// Danger: two names at one address are one backend that would get twice its load, or one whose
	// successor has its address already. The one written last counts.
	m.addresses = make(map[string][]string, len(items))
	for name, i := range items {
		m.addresses[i.Entry.Addr] = append(m.addresses[i.Entry.Addr], name)
	}
	for _, names := range m.addresses {
		name := m.latest(names)
		list[name] = items[name].Entry
	}
	if len(m.sources) > 1 {
		m.heed(list)
	}
	return list
}

// latest is which of several at one address counts.
func (m *Model) latest(names []string) string {
	if len(names) == 1 {
		return names[0]
	}
	items := m.sources[m.active].items
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(items[a].Mod, items[b].Mod), strings.Compare(a, b)) })
	last := names[len(names)-1]
	m.say("address "+items[last].Entry.Addr, "%s are all at %s: the latest, %s, counts", strings.Join(names, ", "), items[last].Entry.Addr, last)
	return last
}

// show tells the list, if it is another one than before.
func (m *Model) show(now time.Duration) {
	if m.active < 0 && m.old == nil {
		return
	}
	next := m.wanted()
	m.dampFlaps(now, next)
	m.guard(now, next)
	m.whole = true
	if m.began && maps.Equal(next, m.shown) && m.cached == m.shownCached {
		return
	}
	m.began, m.shown, m.shownCached = true, next, m.cached
	m.out = append(m.out, List{Entries: maps.Clone(next), Cached: m.cached})
}

// Of is a source's own list, and whether it has told one.
func (m *Model) Of(src int) (map[string]Entry, bool) {
	s := m.sources[src]
	list := make(map[string]Entry, len(s.items))
	for name, i := range s.items {
		list[name] = i.Entry
	}
	return list, s.told
}

// Status is how things stand.
type Status struct {
	Source   string         `json:"source"` // whose list is shown; "" is an old one
	Revision int64          `json:"revision"`
	Age      time.Duration  `json:"age_ns"` // since the list was last known to be up to date; -1 is not known
	Entries  int            `json:"entries"`
	Held     []string       `json:"held,omitempty"` // that would have gone with too many others
	Damped   []string       `json:"damped,omitempty"`
	Sources  []SourceStatus `json:"sources"`
}

// SourceStatus is how a source stands.
type SourceStatus struct {
	Name     string            `json:"name"`
	Revision int64             `json:"revision"`
	Synced   bool              `json:"synced"` // its whole list is known at the revision
	Lost     bool              `json:"lost"`
	Why      string            `json:"why,omitempty"` // it was last lost
	Bad      map[string]string `json:"bad,omitempty"` // entries that can't be read, and why
}

// Status gives it.
func (m *Model) Status(now time.Duration) Status {
	s := Status{Age: -1, Entries: len(m.shown), Held: slices.Sorted(maps.Keys(m.held)), Damped: slices.Sorted(maps.Keys(m.damp))}
	if m.active >= 0 {
		a := m.sources[m.active]
		s.Source, s.Revision = a.name, a.revision
		if a.asOf > 0 {
			s.Age = now - a.asOf
		}
	}
	for _, x := range m.sources {
		s.Sources = append(s.Sources, SourceStatus{x.name, x.revision, x.synced, x.lost, x.why, maps.Clone(x.bad)})
	}
	return s
}
