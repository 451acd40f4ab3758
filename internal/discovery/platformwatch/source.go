package platformwatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// Sink receives the lists of a source. Post runs an event on the sink's goroutine, on which OnList is called too.
type Sink interface {
	Post(event func())
	OnList(l engine.Membership)
}

// Config configures a Source.
type Config struct {
	Addr    string // of the platform's discovery, host:port
	Timings Timings
	Names   Names
	Logf    func(format string, args ...any)
}

// Source follows the platform's list for the engine. When the address changes, the old one is watched until the new
// one has sent its list, so a change leaves no gap and an address that never answers does no harm. Watching continues
// until it is turned off. Apart from Close, all methods are called on the engine's goroutine.
type Source struct {
	config      Config
	ctx         context.Context // of all goroutines, from New to Close
	cancel      context.CancelFunc
	running     sync.WaitGroup // all goroutines
	sink        Sink
	client      *http.Client
	version     uint32
	versionAddr string   // the address whose generations version refers to
	current     *watcher // whose lists are used; nil: nothing is watched
	next        *watcher // takes over with its first list
	fetching    bool
}

// New returns a source that continues from a version. It makes no calls before Watch or Fetch.
func New(config Config, version uint32, sink Sink) *Source {
	s := &Source{config: config, sink: sink, client: newClient(), version: version, versionAddr: config.Addr}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close cancels all calls and waits for them. Unless Post returns without waiting for the sink's goroutine, call it
// only after that goroutine has ended.
func (s *Source) Close() {
	s.cancel()
	s.running.Wait()
}

// Reload changes the address and the names.
func (s *Source) Reload(addr string, names Names) {
	addrChanged := addr != s.config.Addr
	s.config.Names = names
	for _, w := range []*watcher{s.current, s.next} {
		if w != nil {
			w.names.Store(&names)
		}
	}
	if !addrChanged {
		return
	}
	s.config.Logf("discovery: address changed from %s to %s", s.config.Addr, addr)
	s.config.Addr = addr
	if s.current == nil {
		return // nothing is watched; the next call goes to the new address
	}
	s.next.stop()
	// The new address may number its generations differently, so its full list is requested and reconciled. Backends
	// that are still listed keep their health and connections.
	s.next = s.startWatch()
}

// watcher is the state of all calls to one address.
type watcher struct {
	cancel  context.CancelFunc
	addr    string
	names   atomic.Pointer[Names]
	version atomic.Uint32 // generation of the last list or change received from it
}

// newWatcher returns a watcher for the address in force. Its goroutines read the names from a copy, as a SIGHUP changes
// the source's.
func (s *Source) newWatcher(cancel context.CancelFunc) *watcher {
	w := &watcher{cancel: cancel, addr: s.config.Addr}
	names := s.config.Names
	w.names.Store(&names)
	return w
}

func (w *watcher) stop() {
	if w != nil {
		w.cancel()
	}
}

// Watch starts or stops following the list. If it is followed already, its calls are left running: a new call would
// have to queue behind those in flight.
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

// Fetch fetches the full list, and retries until it succeeds. One fetch runs at a time.
func (s *Source) Fetch() {
	if s.fetching {
		return
	}
	s.fetching = true
	w := s.newWatcher(nil)
	f := s.follower(w)
	f.onList = func(l *List) {
		s.sink.Post(func() {
			s.fetching = false
			s.handleList(w, l)
		})
	}
	s.running.Go(func() { f.fetchUntilDone(s.ctx) })
}

// startWatch watches the address in force, from the last version received from it. An address that has not sent one
// yet may number its generations differently, so its full list is requested.
func (s *Source) startWatch() *watcher {
	ctx, cancel := context.WithCancel(s.ctx)
	w := s.newWatcher(cancel)
	if s.versionAddr == s.config.Addr {
		w.version.Store(s.version)
	}
	f := s.follower(w)
	version := w.version.Load()
	s.running.Go(func() { f.follow(ctx, version) })
	if s.config.Timings.ResyncInterval > 0 {
		s.running.Go(func() { f.resync(ctx, w.version.Load, func(l *List) { s.postResynced(w, l) }) })
	}
	return w
}

// postResynced passes on a resynced list, unless the watch has received a newer one since it was requested.
func (s *Source) postResynced(w *watcher, l *List) {
	s.sink.Post(func() {
		if l.Generation > w.version.Load() && s.accepts(w) {
			s.handleList(w, l)
		}
	})
}

// follower returns the follower that makes a watcher's calls.
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

// handleList passes a list or a change on to the sink.
func (s *Source) handleList(w *watcher, l *List) {
	kind := balancer.MembershipDelta
	switch {
	case l.onlyDrains:
		s.sink.OnList(engine.Membership{Kind: kind, Version: s.version, Entries: l.entries})
		return
	case l.Reset:
		kind = balancer.MembershipFull
	case s.versionAddr == w.addr && l.Generation < s.version:
		return // a resync has already received a newer list
	}
	s.version, s.versionAddr = l.Generation, w.addr
	w.version.Store(l.Generation)
	s.sink.OnList(l.ForEngine(kind, l.entries))
}

// accepts reports whether a watcher's lists are still used. The next watcher becomes the current one with its first
// list; lists of the previous watcher that arrive later are ignored.
func (s *Source) accepts(w *watcher) bool {
	if w == s.next {
		s.current.stop()
		s.current, s.next = w, nil
	}
	return w == s.current
}
