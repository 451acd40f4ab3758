package rehearsal

import (
	"encoding/json"
	"fmt"
	"time"

	"marlreel/internal/standin"
)

// RegistrySpec is a registry that has the list too, beside the platform's discovery: the proxies follow it, as
// [registry] of their own settings says.
type RegistrySpec struct {
	Kind     string `toml:"kind"`     // etcd, consul; "" is none
	Patience Span   `toml:"patience"` // of the proxies, with one that is lost
	Settle   Span   `toml:"settle"`
}

// enrolled is the list in the registry. Each proxy reaches each node at an address of its own, so there is a
// list for each proxy.
type enrolled struct {
	store   *standin.Registry
	now     map[string]standin.Entry // by node, as it should be
	marks   []revisionAt
	emptied bool
}

type revisionAt struct {
	at       time.Duration
	revision int64
}

// nodesPrefix is where a proxy finds its list.
func nodesPrefix(k int) string { return fmt.Sprintf("rehearsal/%s/", proxyName(k)) }

// put changes the list, at the platform's discovery and in the registry.
func (w *world) put(e standin.Entry) {
	w.discovery.Put(e)
	r := w.enrolled
	if r == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Lifecycle == "Gone" {
		delete(r.now, e.InstanceID)
	} else {
		r.now[e.InstanceID] = e
	}
	if !r.emptied {
		r.mark(w.clock.Now(), r.store.Txn(w.ops(e)...))
	}
}

func (r *enrolled) mark(at time.Duration, revision int64) {
	r.marks = append(r.marks, revisionAt{at, revision})
}

// ops are a node's entry in every proxy's list. Under the lock.
func (w *world) ops(e standin.Entry) (ops []standin.RegistryOp) {
	for k := range w.scenario.Proxies.Count {
		op := standin.RegistryOp{Key: nodesPrefix(k) + e.InstanceID, Delete: e.Lifecycle == "Gone"}
		if !op.Delete {
			state := "ready"
			if e.Lifecycle == "Terminating" {
				state = "draining"
			}
			value, err := json.Marshal(map[string]any{
				"v": 1, "address": w.paths[w.index[e.InstanceID]][k].Addr, "zone": e.Zone, "kind": e.MachineType,
				"state": state, "weight": 1, "started_ms": e.StartedAtMs,
			})
			if err != nil {
				panic(fmt.Sprintf("an entry that is no JSON: %v", err)) // texts and numbers
			}
			op.Value = string(value)
		}
		ops = append(ops, op)
	}
	return ops
}

// registryFault does one event to the registry.
func (w *world) registryFault(e Event) {
	r := w.enrolled
	w.mu.Lock()
	defer w.mu.Unlock()
	all := func(gone bool) (ops []standin.RegistryOp) {
		for _, n := range r.now {
			if gone {
				n.Lifecycle = "Gone"
			}
			ops = append(ops, w.ops(n)...)
		}
		return ops
	}
	switch e.What {
	case "registry-lost":
		r.store.Cut(true)
		r.store.CloseWatches()
	case "end registry-lost":
		r.store.Cut(false)
	case "registry-emptied":
		r.emptied = true
		r.store.Txn(all(true)...)
	case "end registry-emptied", "end registry-restored":
		// Who keeps the list has put it right: what is in it and shouldn't be goes, the rest comes again.
		r.emptied = false
		var ops []standin.RegistryOp
		for key := range r.store.State(r.store.Revision()) {
			ops = append(ops, standin.RegistryOp{Key: key, Delete: true})
		}
		ops = append(ops, all(false)...)
		r.mark(w.clock.Now(), r.store.Txn(ops...))
	case "registry-restored":
		back := r.marks[0].revision
		for _, m := range r.marks {
			if m.at <= w.clock.Now()-e.By {
				back = m.revision
			}
		}
		r.emptied = true // what changes meanwhile is written when it is put right
		r.store.Restore(back, true)
	case "registry-compacted":
		r.store.Compact(r.store.Revision())
		r.store.CloseWatches()
	}
}
