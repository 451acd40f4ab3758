package rehearsal

import (
	"encoding/json"
	"fmt"
	"time"

	"marlreel/internal/standin"
)

// RegistrySpec describes a registry that holds the node list in addition to the platform's discovery service. The proxies
// follow it by [registry] in their operator settings.
type RegistrySpec struct {
	Kind     string `toml:"kind"`     // etcd or consul; empty: no registry
	Patience Span   `toml:"patience"` // the proxies' registry.patience with a registry that is lost
	Settle   Span   `toml:"settle"`   // the proxies' registry.settle
}

// registryList maintains the node lists in the registry. Each proxy reaches a node at a different address, so there is
// one list per proxy.
type registryList struct {
	store   *standin.Registry
	entries map[string]standin.Entry // intended entries by node id
	marks   []revisionAt
	emptied bool
}

type revisionAt struct {
	at       time.Duration
	revision int64
}

// nodesPrefix returns the key prefix of a proxy's node list.
func nodesPrefix(k int) string { return fmt.Sprintf("rehearsal/%s/", proxyName(k)) }

// updateList updates a node's entry in the discovery service and the registry.
func (w *testbed) updateList(e standin.Entry) {
	w.discovery.Put(e)
	r := w.registryList
	if r == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if e.Lifecycle == "Gone" {
		delete(r.entries, e.InstanceID)
	} else {
		r.entries[e.InstanceID] = e
	}
	if !r.emptied {
		r.mark(w.clock.Now(), r.store.Txn(w.ops(e)...))
	}
}

func (r *registryList) mark(at time.Duration, revision int64) {
	r.marks = append(r.marks, revisionAt{at, revision})
}

// ops returns the operations that write or delete a node's entry in every proxy's list. The caller holds w.mu.
func (w *testbed) ops(e standin.Entry) (ops []standin.RegistryOp) {
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
				panic(fmt.Sprintf("encoding registry entry as JSON: %v", err)) // it holds only strings and numbers
			}
			op.Value = string(value)
		}
		ops = append(ops, op)
	}
	return ops
}

// registryFault executes an event on the registry.
func (w *testbed) registryFault(e Event) {
	r := w.registryList
	w.mu.Lock()
	defer w.mu.Unlock()
	all := func(gone bool) (ops []standin.RegistryOp) {
		for _, n := range r.entries {
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
		// The platform repairs the list: delete all entries and write the intended ones.
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
		r.emptied = true // changes made meanwhile are written when the list is repaired
		r.store.Restore(back, true)
	case "registry-compacted":
		r.store.Compact(r.store.Revision())
		r.store.CloseWatches()
	}
}
