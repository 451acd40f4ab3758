package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

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

// serveTxn supports comparisons of MOD only, and puts and deletes.
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
