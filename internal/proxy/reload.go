package proxy

import (
	"context"
	"log"
	"net/http"
	"os"

	"marlreel"
)

// Reloads reads the configuration again at each signal and hands on what is good.
// A file that can't be read or makes no sense is told in one line, and what is in
// force stays. The environment's address of discovery is the one of the start: from
// the first signal on the file's goes before it.
func Reloads(ctx context.Context, signals <-chan os.Signal, path string, getenv func(string) string, logger *log.Logger) <-chan *Config {
	configs := make(chan *Config)
	fileFirst := func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			cfg, err := LoadConfig(path, fileFirst)
			if err != nil {
				logger.Printf("not reloaded: %v", err)
				continue
			}
			select {
			case configs <- cfg:
			case <-ctx.Done():
				return
			}
		}
	}()
	return configs
}

// reload puts a new configuration in force, as far as that goes without a restart:
// the address of discovery.
func (l *loop) reload(cfg *Config) {
	if cfg.Discovery == l.list.addr {
		return
	}
	l.logf("discovery: from %s to %s", l.list.addr, cfg.Discovery)
	l.list.addr = cfg.Discovery
	if l.list.current == nil {
		return // nothing is watched; the next call goes to the new address
	}
	l.list.next.stop()
	// The new address may number its lists otherwise: it is asked for the whole one,
	// and the module reconciles. What stays in it keeps its health and connections.
	l.list.next = l.startWatch(0)
}

// listWatch is where the loop watches the list. Of two addresses the older is
// watched until the newer has told its list: a change leaves no gap, and an address
// that never answers costs nothing. The loop owns it.
type listWatch struct {
	addr    string
	client  *http.Client
	current *watcher // whose word counts; nil: nothing is watched
	next    *watcher // takes over with its first word
}

// watcher stands for one watch, or one watch after the other at one address.
type watcher struct{ cancel context.CancelFunc }

func (w *watcher) stop() {
	if w != nil {
		w.cancel()
	}
}

// watchList follows the list, or ceases to.
func (l *loop) watchList(on bool) {
	l.list.current.stop()
	l.list.next.stop()
	l.list.current, l.list.next = nil, nil
	if on {
		l.list.current = l.startWatch(l.version)
	}
}

func (l *loop) startWatch(from uint32) *watcher {
	ctx, cancel := context.WithCancel(l.ctx)
	w := &watcher{cancel}
	if d := l.discovery(w); l.cfg.Settings.OnRequest {
		go d.once(ctx, from)
	} else {
		go d.follow(ctx, from)
	}
	return w
}

// discovery makes calls at the address now in force, for a watcher or, where that
// is nil, a single one.
func (l *loop) discovery(w *watcher) *discovery {
	return &discovery{cfg: l.cfg, addr: l.list.addr, client: l.list.client, logf: l.logf,
		tell: func(list *endpointList, entries []marlreel.Backend) {
			kind := marlreel.ListDelta
			if list.Reset {
				kind = marlreel.ListFull
			}
			l.post(func() {
				if l.speaks(w) {
					l.membership(kind, list, entries)
				}
			})
		},
		failed: func() {
			l.post(func() {
				if l.cfg.Settings.OnRequest && (w == nil || w == l.list.current || w == l.list.next) {
					l.balancer.Membership(l.now(), marlreel.Membership{Kind: marlreel.ListFailed})
				}
			})
		}}
}

// speaks tells whether a watcher's word still counts. The next one's first word
// makes it the current one: what the older had on its way is void from then on.
func (l *loop) speaks(w *watcher) bool {
	if w != nil && w == l.list.next {
		l.list.current.stop()
		l.list.current, l.list.next = w, nil
	}
	return w == nil || w == l.list.current
}
