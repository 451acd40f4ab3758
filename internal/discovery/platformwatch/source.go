package platformwatch

import (
	"context"
	"net/http"
	"sync/atomic"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// Sink takes what the source has to tell. All but Post are called on the goroutine
// that Post leads to.
type Sink interface {
	Post(event func())
	OnList(l engine.List)
}

// Config is what a Source is told.
type Config struct {
	Addr    string // of the platform's discovery
	Timings Timings
	Names   Names
	Logf    func(format string, args ...any)
}

// Source is where the engine watches the list. Of two addresses the older is watched
// until the newer has told its list: a change leaves no gap, and an address that never
// answers costs nothing. It goes on until it is told not to: nobody has to ask again. The engine's goroutine owns
// it, but for Close.
type Source struct {
	config      Config
	ctx         context.Context // of all that it starts
	cancel      context.CancelFunc
	sink        Sink
	client      *http.Client
	version     uint32
	versionAddr string   // the address whose numbers version is one of
	current     *watcher // whose word counts; nil: nothing is watched
	next        *watcher // takes over with its first word
	fetching    bool
}

// New makes a source that goes on from a version. Nothing is called before Watch or Fetch.
func New(cfg Config, version uint32, sink Sink) *Source {
	s := &Source{config: cfg, sink: sink, client: newClient(), version: version, versionAddr: cfg.Addr}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends all calls. Any goroutine may call it.
func (s *Source) Close() { s.cancel() }

// Reload puts another address in force, and other names.
func (s *Source) Reload(addr string, names Names) {
	moves := addr != s.config.Addr
	s.config.Names = names
	for _, w := range []*watcher{s.current, s.next} {
		if w != nil {
			w.names.Store(&names)
		}
	}
	if !moves {
		return
	}
	s.config.Logf("discovery: from %s to %s", s.config.Addr, addr)
	s.config.Addr = addr
	if s.current == nil {
		return // nothing is watched; the next call goes to the new address
	}
	s.next.stop()
	// The new address may number its lists otherwise: it is asked for the whole one,
	// and the module reconciles. What stays in it keeps its health and connections.
	s.next = s.startWatch()
}

// watcher stands for all calls at one address.
type watcher struct {
	cancel  context.CancelFunc
	addr    string
	names   atomic.Pointer[Names]
	version atomic.Uint32 // the last that it has told
}

// newWatcher stands for calls at the address now in force. Danger: what it reads names from is its own, as SIGHUP writes
// the source's.
func (s *Source) newWatcher(cancel context.CancelFunc) *watcher {
	w, names := &watcher{cancel: cancel, addr: s.config.Addr}, s.config.Names
	w.names.Store(&names)
	return w
}

func (w *watcher) stop() {
	if w != nil {
		w.cancel()
	}
}

// Watch follows the list, or ceases to. What is watched already goes on: a call that is on its way is worth more than
// a new one, which may have to wait its turn behind it.
func (s *Source) Watch(on bool) {
	if on && s.current == nil {
		s.current = s.startWatch()
	}
	if !on {
		s.next.stop()
		s.current.stop()
		s.next, s.current = nil, nil
	}
}

// Fetch asks for the whole list until it has come.
func (s *Source) Fetch() {
	if s.fetching {
		return
	}
	s.fetching = true
	w := s.newWatcher(nil)
	d := s.follower(w)
	d.onList = func(l *List) {
		s.sink.Post(func() {
			s.fetching = false
			s.handleList(w, l)
		})
	}
	go d.fetchUntilDone(s.ctx)
}

// startWatch watches the address in force, from the version on that it has told before.
// Another address may number its lists otherwise: that one is asked for the whole.
func (s *Source) startWatch() *watcher {
	ctx, cancel := context.WithCancel(s.ctx)
	w := s.newWatcher(cancel)
	if s.versionAddr == s.config.Addr {
		w.version.Store(s.version)
	}
	d := s.follower(w)
	go d.follow(ctx, w.version.Load())
	if s.config.Timings.ResyncInterval > 0 {
		go d.resync(ctx, w.version.Load, func(l *List) {
			s.sink.Post(func() {
				// Danger: the watch may have told more since this was asked for.
				if l.Generation > w.version.Load() && s.accepts(w) {
					s.handleList(w, l)
				}
			})
		})
	}
	return w
}

// follower makes calls at the address now in force.
func (s *Source) follower(w *watcher) *follower {
	return &follower{
		timings: s.config.Timings, names: &w.names, addr: w.addr, client: s.client, logf: s.config.Logf,
		onList: func(l *List) {
			s.sink.Post(func() {
				if s.accepts(w) {
					s.handleList(w, l)
				}
			})
		},
	}
}

// handleList takes in what an address has told.
func (s *Source) handleList(w *watcher, l *List) {
	kind := balancer.ListDelta
	switch {
	case l.onlyDrains:
		s.sink.OnList(engine.List{Kind: kind, Version: s.version, Entries: l.entries})
		return
	case l.Reset:
		kind = balancer.ListFull
	case s.versionAddr == w.addr && l.Generation < s.version:
		return // a check has told of it, and of more
	}
	s.version, s.versionAddr = l.Generation, w.addr
	w.version.Store(l.Generation)
	s.sink.OnList(l.ForEngine(kind, l.entries))
}

// accepts tells whether a watcher's word still counts. The next one's first word makes
// it the current one: what the older had on its way is void from then on.
func (s *Source) accepts(w *watcher) bool {
	if w == s.next {
		s.current.stop()
		s.current, s.next = w, nil
	}
	return w == s.current
}
