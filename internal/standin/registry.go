package standin

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Registry is a revisioned key-value store that serves two published registry protocols on one address:
// etcd v3's JSON gateway and Consul's KV with blocking queries. A test can make it compact its history, restore a
// backup, lag, stop answering, delay answers, repeat watch events and close its watches.
type Registry struct {
	Addr   string
	server *http.Server
	done   chan struct{}

	counted *countingListener

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change of any kind
	cluster  uint64
	revision int64
	keys     map[string]kv
	log      []registryEvent
	states   map[int64]map[string]kv // complete states by revision, of the last maxStates revisions
	compact  int64
	lag      int64 // revisions that serializable reads, watches and Consul's stale reads are behind
	quorum   bool  // linearizable reads are answered
	cut      bool  // nothing is answered
	delay    time.Duration
	repeat   bool // watches send each transaction twice
	fragment int  // maximum events per watch message; 0 is unlimited
	user     string
	password string
	tokens   map[string]bool
	leases   map[int64]*lease
	lastID   int64
	calls    map[string]int
	watches  map[chan struct{}]bool
}

type kv struct {
	value          string
	create, modify int64
	lease          int64
}

type registryEvent struct {
	revision int64
	key      string
	deleted  bool
	kv       kv
}

type lease struct {
	ttl time.Duration
	end *time.Timer
}

// RegistryOp is a put or a delete in a transaction.
type RegistryOp struct {
	Key, Value string
	Delete     bool
}

// StartRegistry starts an empty registry.
func StartRegistry() (*Registry, error) { return StartRegistryTLS(nil) }

// StartRegistryTLS starts an empty registry that serves TLS, or plain HTTP if t is nil.
func StartRegistryTLS(t *tls.Config) (*Registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, counted := ln.Addr().String(), &countingListener{Listener: ln}
	ln = counted
	if t != nil {
		ln = tls.NewListener(ln, t)
	}
	r := &Registry{
		Addr: addr, counted: counted, done: make(chan struct{}), changed: make(chan struct{}), cluster: 0xc1, revision: 1, keys: map[string]kv{},
		states: map[int64]map[string]kv{1: {}}, quorum: true, tokens: map[string]bool{}, leases: map[int64]*lease{}, calls: map[string]int{},
		watches: map[chan struct{}]bool{},
	}
	r.server = &http.Server{Handler: r.routes()}
	go func() {
		defer close(r.done)
		r.server.Serve(ln)
	}()
	return r, nil
}

// Close stops the registry and closes all its connections.
func (r *Registry) Close() {
	r.mu.Lock()
	for _, l := range r.leases {
		l.end.Stop()
	}
	r.leases = map[int64]*lease{}
	r.mu.Unlock()
	r.CloseWatches()
	r.server.Close()
	<-r.done
}

// URL returns the registry's base URL, for plain HTTP.
func (r *Registry) URL() string { return "http://" + r.Addr }

// set runs how under the lock and wakes all waiters.
func (r *Registry) set(how func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	how()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Txn commits a transaction and returns its revision.
func (r *Registry) Txn(ops ...RegistryOp) (revision int64) {
	r.set(func() { revision = r.txn(0, ops...) })
	return revision
}

func (r *Registry) txn(lease int64, ops ...RegistryOp) int64 {
	r.revision++
	for _, o := range ops {
		old, there := r.keys[o.Key]
		if o.Delete {
			if there {
				delete(r.keys, o.Key)
				r.log = append(r.log, registryEvent{r.revision, o.Key, true, kv{modify: r.revision}})
			}
			continue
		}
		k := kv{o.Value, r.revision, r.revision, lease}
		if there {
			k.create = old.create
		}
		r.keys[o.Key] = k
		r.log = append(r.log, registryEvent{r.revision, o.Key, false, k})
	}
	r.states[r.revision] = maps.Clone(r.keys)
	if old := r.revision - maxStates; old > 0 {
		delete(r.states, old)
		r.forget(old)
	}
	return r.revision
}

// maxStates is the number of revisions kept for reads and for Restore.
const maxStates = 1000

// Revision returns the newest revision.
func (r *Registry) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// State returns all values at a revision, by key.
func (r *Registry) State(revision int64) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]string{}
	for k, v := range r.states[revision] {
		out[k] = v.value
	}
	return out
}

// Compact drops the change history up to and including a revision.
func (r *Registry) Compact(revision int64) {
	r.set(func() { r.forget(revision) })
}

// forget is Compact for callers that hold the lock.
func (r *Registry) forget(revision int64) {
	r.compact = max(r.compact, revision)
	r.log = slices.DeleteFunc(r.log, func(e registryEvent) bool { return e.revision <= r.compact })
}

// Restore goes back to an earlier revision, as after a restore from a backup. With anew set the cluster ID changes,
// as if the cluster had been set up again. All watches end.
func (r *Registry) Restore(revision int64, anew bool) {
	r.set(func() {
		r.keys = maps.Clone(r.states[revision])
		r.revision, r.compact = revision, min(r.compact, revision)
		r.log = slices.DeleteFunc(r.log, func(e registryEvent) bool { return e.revision > revision })
		for v := range r.states {
			if v > revision {
				delete(r.states, v)
			}
		}
		if anew {
			r.cluster++
		}
	})
	r.CloseWatches()
}

// Lag makes reads that may be stale, and watches, lag by a number of revisions.
func (r *Registry) Lag(revisions int64) { r.set(func() { r.lag = revisions }) }

// Quorum sets whether there is a quorum: without it linearizable reads fail.
func (r *Registry) Quorum(there bool) { r.set(func() { r.quorum = there }) }

// Cut cuts the registry off, so that nothing is answered and watches send nothing; Cut(false) ends that.
func (r *Registry) Cut(off bool) { r.set(func() { r.cut = off }) }

// Delay delays every answer.
func (r *Registry) Delay(by time.Duration) { r.set(func() { r.delay = by }) }

// Repeat makes watches send each transaction twice.
func (r *Registry) Repeat(on bool) { r.set(func() { r.repeat = on }) }

// Fragment limits the number of events in a watch message.
func (r *Registry) Fragment(events int) { r.set(func() { r.fragment = events }) }

// RequireLogin requires authentication from now on and revokes all tokens.
func (r *Registry) RequireLogin(user, password string) {
	r.set(func() { r.user, r.password, r.tokens = user, password, map[string]bool{} })
}

// CloseWatches ends all watches, as the restart of a member does.
func (r *Registry) CloseWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.watches {
		close(w)
		delete(r.watches, w)
	}
}

// watch registers a watch. CloseWatches closes the returned channel; over removes the registration.
func (r *Registry) watch() (closed chan struct{}, over func()) {
	closed = make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watches[closed] = true
	return closed, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.watches, closed)
	}
}

// Calls returns how often a path was called.
func (r *Registry) Calls(path string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls[path]
}

func (r *Registry) routes() http.Handler {
	m := http.NewServeMux()
	for path, serve := range map[string]func(http.ResponseWriter, *http.Request){
		"POST /v3/kv/range": r.serveRange, "POST /v3/watch": r.serveWatch, "POST /v3/kv/put": r.servePut, "POST /v3/kv/deleterange": r.serveDelete,
		"POST /v3/kv/txn": r.serveTxn, "POST /v3/auth/authenticate": r.serveLogin, "POST /v3/lease/grant": r.serveGrant,
		"POST /v3/lease/keepalive": r.serveKeepAlive, "POST /v3/lease/revoke": r.serveRevoke,
		"GET /v1/kv/": r.consulGet, "PUT /v1/kv/": r.consulPut, "DELETE /v1/kv/": r.consulDelete,
		"PUT /v1/session/create": r.consulSession, "PUT /v1/session/renew/": r.consulRenew, "PUT /v1/session/destroy/": r.consulDestroy,
	} {
		m.HandleFunc(path, func(w http.ResponseWriter, q *http.Request) {
			r.mu.Lock()
			_, name, _ := strings.Cut(path, " ")
			r.calls[name]++
			delay := r.delay
			r.mu.Unlock()
			if delay > 0 {
				select {
				case <-time.After(delay):
				case <-q.Context().Done():
					return
				}
			}
			if !r.reachable(q.Context()) {
				return
			}
			if strings.HasPrefix(name, "/v3/") && name != "/v3/auth/authenticate" && !r.allowed(q.Header.Get("Authorization")) ||
				strings.HasPrefix(name, "/v1/") && !r.allowed(q.Header.Get("X-Consul-Token")) {
				fail(w, http.StatusUnauthorized, 16, "etcdserver: invalid auth token")
				return
			}
			serve(w, q)
		})
	}
	return m
}

// reachable waits while the registry is cut off, and returns false if ctx ends first.
func (r *Registry) reachable(ctx context.Context) bool {
	for {
		r.mu.Lock()
		cut, changed := r.cut, r.changed
		r.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (r *Registry) allowed(token string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.user == "" || r.tokens[token] || token == r.password
}

// countingListener is a listener that counts the bytes its connections write.
type countingListener struct {
	net.Listener
	sent atomic.Int64
}

type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

// Accept implements net.Listener.
func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, &c.sent}, nil
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// Sent returns the number of bytes that the registry has written.
func (r *Registry) Sent() int64 { return r.counted.sent.Load() }
