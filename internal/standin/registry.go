package standin

import (
	"cmp"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Registry is a revisioned key-value store that speaks two registries' published protocols on one address:
// etcd v3's JSON gateway and Consul's KV with blocking queries. On command it compacts, loses its history, is
// restored from a backup, lags, is cut off, delays, repeats, and closes its watches.
type Registry struct {
	Addr   string
	server *http.Server
	done   chan struct{}

	counted *counting

	mu       sync.Mutex
	changed  chan struct{} // closed at each change of anything
	cluster  uint64
	revision int64
	keys     map[string]kv
	log      []registryEvent
	states   map[int64]map[string]kv // whole, by revision, as far as they are kept
	compact  int64
	lag      int64 // serializable reads, watches and Consul's stale reads are so many revisions behind
	quorum   bool  // linearizable reads are answered
	cut      bool  // nothing is answered
	delay    time.Duration
	repeat   bool // each watch tells each transaction twice
	fragment int  // events in a message; 0 is any number
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

// RegistryOp is a part of a transaction.
type RegistryOp struct {
	Key, Value string
	Delete     bool
}

// StartRegistry starts one that is empty.
func StartRegistry() (*Registry, error) { return StartRegistryTLS(nil) }

// StartRegistryTLS starts one that is spoken to over TLS.
func StartRegistryTLS(t *tls.Config) (*Registry, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr, counted := ln.Addr().String(), &counting{Listener: ln}
	ln = counted
	if t != nil {
		ln = tls.NewListener(ln, t)
	}
	r := &Registry{Addr: addr, counted: counted, done: make(chan struct{}), changed: make(chan struct{}), cluster: 0xc1, revision: 1, keys: map[string]kv{},
		states: map[int64]map[string]kv{1: {}}, quorum: true, tokens: map[string]bool{}, leases: map[int64]*lease{}, calls: map[string]int{},
		watches: map[chan struct{}]bool{}}
	r.server = &http.Server{Handler: r.routes()}
	go func() {
		defer close(r.done)
		r.server.Serve(ln)
	}()
	return r, nil
}

// Close ends it with all its connections.
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

// URL is where clients find it.
func (r *Registry) URL() string { return "http://" + r.Addr }

// set changes something under the lock and wakes who waits.
func (r *Registry) set(how func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	how()
	close(r.changed)
	r.changed = make(chan struct{})
}

// Txn carries out a transaction, and gives its revision.
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
	if old := r.revision - mostStates; old > 0 {
		delete(r.states, old)
		r.forget(old)
	}
	return r.revision
}

// mostStates bounds how many revisions can be read, or gone back to.
const mostStates = 1000

// Revision is the newest.
func (r *Registry) Revision() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision
}

// State is what stood at a revision, by key.
func (r *Registry) State(revision int64) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]string{}
	for k, v := range r.states[revision] {
		out[k] = v.value
	}
	return out
}

// Compact forgets the changes up to a revision.
func (r *Registry) Compact(revision int64) {
	r.set(func() { r.forget(revision) })
}

// forget is Compact, under the lock.
func (r *Registry) forget(revision int64) {
	r.compact = max(r.compact, revision)
	r.log = slices.DeleteFunc(r.log, func(e registryEvent) bool { return e.revision <= r.compact })
}

// Restore goes back to a revision that stood before, as after a restore from a backup; with another id where
// the cluster was set up anew. Watches end.
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

// Lag lets reads that may be old be so many revisions behind.
func (r *Registry) Lag(revisions int64) { r.set(func() { r.lag = revisions }) }

// Quorum says whether there is one: without it no read can be sure, and nothing is written.
func (r *Registry) Quorum(there bool) { r.set(func() { r.quorum = there }) }

// Cut cuts the registry off: nothing is answered, and watches fall silent; or ends that.
func (r *Registry) Cut(off bool) { r.set(func() { r.cut = off }) }

// Delay holds every answer back.
func (r *Registry) Delay(by time.Duration) { r.set(func() { r.delay = by }) }

// Repeat lets watches tell each transaction twice.
func (r *Registry) Repeat(on bool) { r.set(func() { r.repeat = on }) }

// Fragment bounds the events in one message of a watch.
func (r *Registry) Fragment(events int) { r.set(func() { r.fragment = events }) }

// Login asks for a user from now on, and drops all tokens.
func (r *Registry) Login(user, password string) {
	r.set(func() { r.user, r.password, r.tokens = user, password, map[string]bool{} })
}

// CloseWatches ends all watches, as a restarted member does.
func (r *Registry) CloseWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.watches {
		close(w)
		delete(r.watches, w)
	}
}

// watch notes a watch: the first ends where CloseWatches is called, the second ends the note.
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

// Calls is how often each path was called.
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

// reachable waits while the registry is cut off.
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

func fail(w http.ResponseWriter, status, code int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": message, "code": code, "message": message})
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}

func (r *Registry) header(revision int64) map[string]any {
	return map[string]any{"cluster_id": strconv.FormatUint(r.cluster, 10), "member_id": "1", "revision": strconv.FormatInt(revision, 10), "raft_term": "2"}
}

func kvJSON(key string, k kv) map[string]any {
	m := map[string]any{"key": []byte(key), "mod_revision": strconv.FormatInt(k.modify, 10)}
	if k.create > 0 {
		m["create_revision"], m["version"], m["value"] = strconv.FormatInt(k.create, 10), "1", []byte(k.value)
	}
	return m
}

func within(key string, from, end []byte) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	return key >= string(from) && (key < string(end) || len(end) == 1 && end[0] == 0)
}

func (r *Registry) serveRange(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		Key          []byte `json:"key"`
		End          []byte `json:"range_end"`
		Limit        int    `json:"limit"`
		Revision     int64  `json:"revision"`
		Serializable bool   `json:"serializable"`
	}
	if json.NewDecoder(q.Body).Decode(&ask) != nil {
		fail(w, http.StatusBadRequest, 3, "bad request")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.revision
	if ask.Serializable {
		now = max(1, now-r.lag)
	} else if !r.quorum {
		fail(w, http.StatusServiceUnavailable, 14, "etcdserver: no leader")
		return
	}
	at := now
	if ask.Revision > 0 {
		at = ask.Revision
	}
	switch {
	case at < r.compact:
		fail(w, http.StatusBadRequest, 11, "etcdserver: mvcc: required revision has been compacted")
		return
	case at > now:
		fail(w, http.StatusBadRequest, 11, "etcdserver: mvcc: required revision is a future revision")
		return
	}
	var kvs []map[string]any
	more := false
	for _, key := range slices.Sorted(maps.Keys(r.states[at])) {
		if !within(key, ask.Key, ask.End) {
			continue
		}
		if ask.Limit > 0 && len(kvs) == ask.Limit {
			more = true
			break
		}
		kvs = append(kvs, kvJSON(key, r.states[at][key]))
	}
	answer(w, map[string]any{"header": r.header(now), "kvs": kvs, "more": more, "count": strconv.Itoa(len(kvs))})
}

func (r *Registry) serveWatch(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		Create struct {
			Key      []byte      `json:"key"`
			End      []byte      `json:"range_end"`
			Start    json.Number `json:"start_revision"`
			Progress bool        `json:"progress_notify"`
			Fragment bool        `json:"fragment"`
		} `json:"create_request"`
	}
	if json.NewDecoder(q.Body).Decode(&ask) != nil {
		fail(w, http.StatusBadRequest, 3, "bad request")
		return
	}
	closed, over := r.watch()
	defer over()
	send := func(result map[string]any) {
		json.NewEncoder(w).Encode(map[string]any{"result": result})
		w.(http.Flusher).Flush()
	}
	next, _ := ask.Create.Start.Int64()
	r.mu.Lock()
	created := map[string]any{"header": r.header(max(1, r.revision-r.lag)), "watch_id": "0", "created": true}
	r.mu.Unlock()
	send(created)
	for {
		r.mu.Lock()
		changed, cut := r.changed, r.cut
		var events []registryEvent
		if !cut && next <= r.compact {
			gone := map[string]any{"header": r.header(r.revision), "watch_id": "0", "canceled": true, "compact_revision": strconv.FormatInt(r.compact, 10)}
			r.mu.Unlock()
			send(gone)
			return
		}
		newest := max(1, r.revision-r.lag)
		header := r.header(newest)
		if !cut {
			for _, e := range r.log {
				if e.revision >= next && e.revision <= newest && within(e.key, ask.Create.Key, ask.Create.End) {
					events = append(events, e)
				}
			}
			next = max(next, newest+1)
		}
		repeat, fragment := r.repeat, r.fragment
		r.mu.Unlock()
		for times := 0; len(events) > 0 && (times == 0 || repeat && times == 1); times++ {
			for from := 0; from < len(events); {
				to := len(events)
				if fragment > 0 && ask.Create.Fragment {
					to = min(to, from+fragment)
				}
				var out []map[string]any
				for _, e := range events[from:to] {
					ev := map[string]any{"kv": kvJSON(e.key, e.kv)}
					if e.deleted {
						ev["type"] = "DELETE"
					}
					out = append(out, ev)
				}
				m := map[string]any{"header": header, "watch_id": "0", "events": out}
				if to < len(events) {
					m["fragment"] = true
				}
				send(m)
				from = to
			}
		}
		select {
		case <-changed:
		case <-closed:
			return
		case <-q.Context().Done():
			return
		case <-time.After(200 * time.Millisecond):
			if ask.Create.Progress && !cut && len(events) == 0 {
				send(map[string]any{"header": header, "watch_id": "0"})
			}
		}
	}
}

func (r *Registry) servePut(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		Key   []byte      `json:"key"`
		Value []byte      `json:"value"`
		Lease json.Number `json:"lease"`
	}
	if json.NewDecoder(q.Body).Decode(&ask) != nil {
		fail(w, http.StatusBadRequest, 3, "bad request")
		return
	}
	id, _ := ask.Lease.Int64()
	var head map[string]any
	var bad error
	r.set(func() {
		if _, there := r.leases[id]; id != 0 && !there {
			bad = errors.New("etcdserver: requested lease not found")
			return
		}
		r.txn(id, RegistryOp{Key: string(ask.Key), Value: string(ask.Value)})
		head = r.header(r.revision)
	})
	if bad != nil {
		fail(w, http.StatusNotFound, 5, bad.Error())
		return
	}
	answer(w, map[string]any{"header": head})
}

func (r *Registry) serveDelete(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		Key []byte `json:"key"`
	}
	if json.NewDecoder(q.Body).Decode(&ask) != nil {
		fail(w, http.StatusBadRequest, 3, "bad request")
		return
	}
	var head map[string]any
	r.set(func() {
		r.txn(0, RegistryOp{Key: string(ask.Key), Delete: true})
		head = r.header(r.revision)
	})
	answer(w, map[string]any{"header": head})
}

// serveTxn takes comparisons of MOD alone, and puts and deletions.
func (r *Registry) serveTxn(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		Compare []struct {
			Key    []byte      `json:"key"`
			Target string      `json:"target"`
			Result string      `json:"result"`
			Mod    json.Number `json:"mod_revision"`
		} `json:"compare"`
		Success []struct {
			Put *struct {
				Key   []byte      `json:"key"`
				Value []byte      `json:"value"`
				Lease json.Number `json:"lease"`
			} `json:"request_put"`
			Delete *struct {
				Key []byte `json:"key"`
			} `json:"request_delete_range"`
		} `json:"success"`
	}
	if json.NewDecoder(q.Body).Decode(&ask) != nil {
		fail(w, http.StatusBadRequest, 3, "bad request")
		return
	}
	var head map[string]any
	succeeded, missing := true, false
	r.set(func() {
		for _, c := range ask.Compare {
			mod, _ := c.Mod.Int64()
			if c.Target != "MOD" || c.Result != "EQUAL" || r.keys[string(c.Key)].modify != mod {
				succeeded = false
			}
		}
		if succeeded {
			var ops []RegistryOp
			id := int64(0)
			for _, s := range ask.Success {
				if s.Put != nil {
					id, _ = s.Put.Lease.Int64()
					ops = append(ops, RegistryOp{Key: string(s.Put.Key), Value: string(s.Put.Value)})
				} else if s.Delete != nil {
					ops = append(ops, RegistryOp{Key: string(s.Delete.Key), Delete: true})
				}
			}
			if _, there := r.leases[id]; id != 0 && !there {
				missing = true
				return
			}
			r.txn(id, ops...)
		}
		head = r.header(r.revision)
	})
	if missing {
		fail(w, http.StatusNotFound, 5, "etcdserver: requested lease not found")
		return
	}
	answer(w, map[string]any{"header": head, "succeeded": succeeded})
}

func (r *Registry) serveLogin(w http.ResponseWriter, q *http.Request) {
	var ask struct{ Name, Password string }
	json.NewDecoder(q.Body).Decode(&ask)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ask.Name != r.user || ask.Password != r.password {
		fail(w, http.StatusBadRequest, 3, "etcdserver: authentication failed, invalid user ID or password")
		return
	}
	token := fmt.Sprint("token-", len(r.tokens)+1)
	r.tokens[token] = true
	answer(w, map[string]any{"header": r.header(r.revision), "token": token})
}

func (r *Registry) grant(ttl time.Duration) int64 {
	r.lastID++
	id := r.lastID
	r.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { r.expire(id) })}
	return id
}

// expire ends a lease with all its keys, in one transaction.
func (r *Registry) expire(id int64) {
	r.set(func() {
		if l := r.leases[id]; l != nil {
			l.end.Stop()
			delete(r.leases, id)
			var ops []RegistryOp
			for key, k := range r.keys {
				if k.lease == id {
					ops = append(ops, RegistryOp{Key: key, Delete: true})
				}
			}
			if len(ops) > 0 {
				slices.SortFunc(ops, func(a, b RegistryOp) int { return cmp.Compare(a.Key, b.Key) })
				r.txn(0, ops...)
			}
		}
	})
}

// ExpireLeases ends all leases now, as if no keep-alive had come.
func (r *Registry) ExpireLeases() {
	r.mu.Lock()
	ids := slices.Collect(maps.Keys(r.leases))
	r.mu.Unlock()
	for _, id := range ids {
		r.expire(id)
	}
}

func (r *Registry) serveGrant(w http.ResponseWriter, q *http.Request) {
	var ask struct {
		TTL json.Number `json:"TTL"`
	}
	json.NewDecoder(q.Body).Decode(&ask)
	ttl, _ := ask.TTL.Int64()
	var id int64
	r.set(func() { id = r.grant(time.Duration(ttl) * time.Second) })
	answer(w, map[string]any{"ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(ttl, 10)})
}

// renew gives a lease its time again; 0: there is none.
func (r *Registry) renew(id int64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.leases[id]
	if l == nil {
		return 0
	}
	l.end.Reset(l.ttl)
	return l.ttl
}

func leaseID(body io.Reader) int64 {
	var ask struct {
		ID json.Number `json:"ID"`
	}
	json.NewDecoder(body).Decode(&ask)
	id, _ := ask.ID.Int64()
	return id
}

func (r *Registry) serveKeepAlive(w http.ResponseWriter, q *http.Request) {
	id := leaseID(q.Body)
	result := map[string]any{"ID": strconv.FormatInt(id, 10)}
	if ttl := r.renew(id); ttl > 0 {
		result["TTL"] = strconv.FormatInt(int64(ttl/time.Second), 10)
	}
	answer(w, map[string]any{"result": result})
}

func (r *Registry) serveRevoke(w http.ResponseWriter, q *http.Request) {
	r.expire(leaseID(q.Body))
	answer(w, map[string]any{})
}

// ---- Consul ----

func (r *Registry) consulGet(w http.ResponseWriter, q *http.Request) {
	prefix := strings.TrimPrefix(q.URL.Path, "/v1/kv/")
	index, _ := strconv.ParseInt(q.URL.Query().Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.URL.Query().Get("wait"))
	stale, recurse := q.URL.Query().Has("stale"), q.URL.Query().Has("recurse")
	until := time.After(wait)
	closed, over := r.watch()
	defer over()
	for {
		r.mu.Lock()
		changed, cut, quorum := r.changed, r.cut, r.quorum
		at := r.revision
		if stale {
			at = max(1, at-r.lag)
		}
		state := r.states[at]
		r.mu.Unlock()
		if !cut && !stale && !quorum {
			http.Error(w, "No cluster leader", http.StatusInternalServerError)
			return
		}
		if over := at != index; !cut && (index == 0 || over) {
			consulAnswer(w, prefix, recurse, at, state)
			return
		}
		select {
		case <-changed:
		case <-closed:
			http.Error(w, "the agent stops", http.StatusInternalServerError)
			return
		case <-until:
			if !cut {
				consulAnswer(w, prefix, recurse, at, state)
				return
			}
			until = nil
		case <-q.Context().Done():
			return
		}
	}
}

func consulAnswer(w http.ResponseWriter, prefix string, recurse bool, at int64, state map[string]kv) {
	w.Header().Set("X-Consul-Index", strconv.FormatInt(at, 10))
	var all []map[string]any
	for _, key := range slices.Sorted(maps.Keys(state)) {
		if key == prefix || recurse && strings.HasPrefix(key, prefix) {
			k := state[key]
			all = append(all, map[string]any{"Key": key, "Value": []byte(k.value), "ModifyIndex": k.modify, "CreateIndex": k.create, "Flags": 0, "LockIndex": 0})
		}
	}
	if len(all) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, all)
}

// consulWrite carries a write out if its condition holds.
func (r *Registry) consulWrite(w http.ResponseWriter, q *http.Request, o RegistryOp) {
	o.Key = strings.TrimPrefix(q.URL.Path, "/v1/kv/")
	cas := q.URL.Query().Get("cas")
	session, _ := strconv.ParseInt(q.URL.Query().Get("acquire"), 10, 64)
	done := true
	r.set(func() {
		if want, err := strconv.ParseInt(cas, 10, 64); err == nil && r.keys[o.Key].modify != want {
			done = false
		}
		if _, there := r.leases[session]; session != 0 && !there {
			done = false
		}
		if done {
			r.txn(session, o)
		}
	})
	answer(w, done)
}

func (r *Registry) consulPut(w http.ResponseWriter, q *http.Request) {
	data, _ := io.ReadAll(q.Body)
	r.consulWrite(w, q, RegistryOp{Value: string(data)})
}

func (r *Registry) consulDelete(w http.ResponseWriter, q *http.Request) {
	r.consulWrite(w, q, RegistryOp{Delete: true})
}

func (r *Registry) consulSession(w http.ResponseWriter, q *http.Request) {
	var ask struct{ TTL, Behavior string }
	json.NewDecoder(q.Body).Decode(&ask)
	ttl, err := time.ParseDuration(ask.TTL)
	if err != nil || ask.Behavior != "delete" {
		http.Error(w, "TTL and Behavior delete are needed", http.StatusBadRequest)
		return
	}
	var id int64
	r.set(func() { id = r.grant(ttl) })
	answer(w, map[string]any{"ID": strconv.FormatInt(id, 10)})
}

func sessionOf(q *http.Request) int64 {
	id, _ := strconv.ParseInt(q.URL.Path[strings.LastIndexByte(q.URL.Path, '/')+1:], 10, 64)
	return id
}

func (r *Registry) consulRenew(w http.ResponseWriter, q *http.Request) {
	if r.renew(sessionOf(q)) == 0 {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	answer(w, []any{})
}

func (r *Registry) consulDestroy(w http.ResponseWriter, q *http.Request) {
	r.expire(sessionOf(q))
	answer(w, true)
}

// counting counts what a listener's connections write.
type counting struct {
	net.Listener
	sent atomic.Int64
}

type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

// Accept implements net.Listener.
func (c *counting) Accept() (net.Conn, error) {
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

// Sent is how many bytes it has written.
func (r *Registry) Sent() int64 { return r.counted.sent.Load() }
