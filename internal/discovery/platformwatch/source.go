package platformwatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// Sink handles what the source reports. OnList is called on the goroutine that Post leads to.
type Sink interface {
	Post(event func())
	OnList(l engine.Membership)
}

// Config is what a Source follows, and how.
type Config struct {
	Addr    string // of the platform's discovery, host:port
	Timings Timings
	Names   Names
	Logf    func(format string, args ...any)
}

// Source follows the list for the engine. Of two addresses the older is watched until the newer has brought its list:
// a change leaves no gap, and an address that never answers costs nothing. It goes on until it is told not to: nobody
// has to ask again. The engine's goroutine owns it, but for Close.
type Source struct {
	config      Config
	ctx         context.Context // of all that it starts: from New to Close
	cancel      context.CancelFunc
	running     sync.WaitGroup // of all that it starts
	sink        Sink
	client      *http.Client
	version     uint32
	versionAddr string   // the address that counts version
	current     *watcher // whose lists count; nil: nothing is watched
	next        *watcher // takes over with its first list
	fetching    bool
}

// New returns a source that goes on from a version. Nothing is called before Watch or Fetch.
func New(config Config, version uint32, sink Sink) *Source {
	s := &Source{config: config, sink: sink, client: newClient(), version: version, versionAddr: config.Addr}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Close ends all calls and waits for them. Only after the goroutine that Post leads to has ended, or where Post does
// not wait for it.
func (s *Source) Close() {
	s.cancel()
	s.running.Wait()
}

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
	// The new address may count its generations otherwise: its complete list is asked for, and reconciled. What stays
	// in it keeps its health and connections.
	s.next = s.startWatch()
}

// watcher stands for all calls at one address.
type watcher struct {
	cancel  context.CancelFunc
	addr    string
	names   atomic.Pointer[Names]
	version atomic.Uint32 // of the last list or change it brought
}

// newWatcher stands for calls at the address in force. Its goroutines read the names from a copy: SIGHUP writes the
// source's.
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

// Watch follows the list, or stops following it. What is watched already goes on: a call on its way is worth more than
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

// Fetch fetches the complete list, with as many attempts as it takes. One fetch runs at a time.
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

// startWatch watches the address in force, from the version that it has brought before. Another address may count its
// generations otherwise: that one is asked for the complete list.
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

// postResynced hands on a list of the resync, unless the watch has brought more since it was asked for.
func (s *Source) postResynced(w *watcher, l *List) {
	s.sink.Post(func() {
		if l.Generation > w.version.Load() && s.accepts(w) {
			s.handleList(w, l)
		}
	})
}

// follower makes the calls at a watcher's address.
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

// handleList hands on what an address has brought.
func (s *Source) handleList(w *watcher, l *List) {
	kind := balancer.MembershipDelta
	switch {
	case l.onlyDrains:
		s.sink.OnList(engine.Membership{Kind: kind, Version: s.version, Entries: l.entries})
		return
	case l.Reset:
		kind = balancer.MembershipFull
	case s.versionAddr == w.addr && l.Generation < s.version:
		return // a resync has brought it, and more
	}
	s.version, s.versionAddr = l.Generation, w.addr
	w.version.Store(l.Generation)
	s.sink.OnList(l.ForEngine(kind, l.entries))
}

// accepts reports whether a watcher's lists still count. The next one's first list makes it the current one: what the
// older one had on its way is void from then on.
func (s *Source) accepts(w *watcher) bool {
	if w == s.next {
		s.current.stop()
		s.current, s.next = w, nil
	}
	return w == s.current
}
