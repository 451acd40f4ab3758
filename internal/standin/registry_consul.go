package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// consulGet serves Consul's read of a key or of all keys with a prefix: at once, or as a blocking query.
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

// consulWrite commits a write if its check-and-set index and its session are valid.
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
