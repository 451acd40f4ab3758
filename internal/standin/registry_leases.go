package standin

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"
)

func (r *Registry) grant(ttl time.Duration) int64 {
	r.lastID++
	id := r.lastID
	r.leases[id] = &lease{ttl, time.AfterFunc(ttl, func() { r.expire(id) })}
	return id
}

// expire ends a lease and deletes its keys in one transaction.
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

// ExpireLeases expires all leases now, as if no keep-alive had arrived.
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

// renew restarts a lease's TTL and returns it, or 0 if there is no such lease.
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
