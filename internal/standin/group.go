package standin

import (
	"sync"
	"time"
)

// Group is a set of nodes that deduplicate requests by idempotency key together.
type Group struct {
	mu     sync.Mutex
	window time.Duration
	seen   map[string]time.Duration
	swept  time.Duration
}

// NewGroup returns a group that remembers a key for window after its first arrival.
func NewGroup(window time.Duration) *Group {
	return &Group{window: window, seen: map[string]time.Duration{}}
}

func (g *Group) first(key string, now time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now-g.swept > g.window {
		for k, at := range g.seen {
			if now-at >= g.window {
				delete(g.seen, k)
			}
		}
		g.swept = now
	}
	if at, was := g.seen[key]; was && now-at < g.window {
		return false
	}
	g.seen[key] = now
	return true
}

func (g *Group) forget(key string) {
	g.mu.Lock()
	delete(g.seen, key)
	g.mu.Unlock()
}
