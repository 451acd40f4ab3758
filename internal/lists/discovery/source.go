package discovery

import (
	"context"
	"net/http"

	"marlreel"
	"marlreel/internal/engine"
)

// Sink takes what the source has to tell. All but Post are called on the goroutine
// that Post leads to.
type Sink interface {
	Post(event func())
	List(l engine.List)
	ListFailed()
}

// Config is what a Source is told.
type Config struct {
	Addr      string // of the platform's discovery
	OnRequest bool   // the list comes only when asked for
	Names     Names
	Logf      func(format string, args ...any)
}

// Source is where the engine watches the list. Of two addresses the older is watched
// until the newer has told its list: a change leaves no gap, and an address that never
// answers costs nothing. The engine's goroutine owns it, but for Close.
type Source struct {
	cfg     Config
	ctx     context.Context // of all that it starts
	cancel  context.CancelFunc
	sink    Sink
	client  *http.Client
	version uint32
	numbers string   // the address whose numbers version is one of
	current *watcher // whose word counts; nil: nothing is watched
	next    *watcher // takes over with its first word
}

// New makes a source that goes on from a version. Nothing is called before Watch or Fetch.
func New(cfg Config, version uint32, sink Sink) *Source {
	s := &Source{cfg: cfg, sink: sink, client: newClient(), version: version, numbers: cfg.Addr}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends all calls. Any goroutine may call it.
func (s *Source) Close() { s.cancel() }

// Reload puts another address in force.
func (s *Source) Reload(addr string) {
	if addr == s.cfg.Addr {
		return
	}
	s.cfg.Logf("discovery: from %s to %s", s.cfg.Addr, addr)
	s.cfg.Addr = addr
	if s.current == nil {
		return // nothing is watched; the next call goes to the new address
	}
	s.next.stop()
	// The new address may number its lists otherwise: it is asked for the whole one,
	// and the module reconciles. What stays in it keeps its health and connections.
	s.next = s.startWatch()
}

// watcher stands for one watch, or one watch after the other at one address.
type watcher struct {
	cancel context.CancelFunc
	addr   string
}

func (w *watcher) stop() {
	if w != nil {
		w.cancel()
	}
}

// Watch follows the list, or ceases to. A watch at an address that is no longer in force
// goes on until the one in force has told its list.
func (s *Source) Watch(on bool) {
	s.next.stop()
	s.next = nil
	if on && s.current != nil && s.current.addr != s.cfg.Addr {
		s.next = s.startWatch()
		return
	}
	s.current.stop()
	s.current = nil
	if on {
		s.current = s.startWatch()
	}
}

// ended takes in that a watch is over, or that a single call failed where w is nil, and
// tells whether the module has to ask again. Danger: where calls wait in turn, a call that
// is on its way is worth more than a new one behind it, and a watch that still brings
// changes more than none.
func (s *Source) ended(w *watcher) bool {
	switch w {
	case nil:
		return true
	case s.next:
		s.next = nil
		return true
	case s.current:
		s.current = nil
		return s.next == nil
	}
	return false
}

// Fetch asks for the whole list once.
func (s *Source) Fetch() { go s.follower(nil).fetch(s.ctx) }

// startWatch watches the address in force, from the version on that it has told before.
// Another address may number its lists otherwise: that one is asked for the whole.
func (s *Source) startWatch() *watcher {
	ctx, cancel := context.WithCancel(s.ctx)
	w := &watcher{cancel, s.cfg.Addr}
	from := uint32(0)
	if s.numbers == s.cfg.Addr {
		from = s.version
	}
	if d := s.follower(w); s.cfg.OnRequest {
		go d.once(ctx, from)
	} else {
		go d.follow(ctx, from)
	}
	return w
}

// follower makes calls at the address now in force, for a watcher or, where that is
// nil, a single one.
func (s *Source) follower(w *watcher) *follower {
	addr := s.cfg.Addr
	return &follower{names: s.cfg.Names, addr: addr, client: s.client, logf: s.cfg.Logf,
		tell: func(list *List, entries []engine.Entry) {
			kind := marlreel.ListDelta
			if list.Reset {
				kind = marlreel.ListFull
			}
			s.sink.Post(func() {
				if s.speaks(w) {
					s.version, s.numbers = list.Generation, addr
					s.sink.List(list.Engine(kind, entries))
				}
			})
		},
		failed: func() {
			s.sink.Post(func() {
				if s.cfg.OnRequest && s.ended(w) {
					s.sink.ListFailed()
				}
			})
		}}
}

// speaks tells whether a watcher's word still counts. The next one's first word makes
// it the current one: what the older had on its way is void from then on.
func (s *Source) speaks(w *watcher) bool {
	if w != nil && w == s.next {
		s.current.stop()
		s.current, s.next = w, nil
	}
	return w == nil || w == s.current
}
