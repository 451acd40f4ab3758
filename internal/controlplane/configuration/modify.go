package configuration

import (
	"encoding/json"

	"marlreel/internal/controlplane/result"
)

// change is what a call to modify carries: items of the document's lists, each list
// under its own name.
type change struct {
	Version uint64                       `json:"config_version"`
	Upsert  map[string][]json.RawMessage `json:"upsert"`
	Remove  map[string][]string          `json:"remove"`
}

// The lists of a document that can be changed item by item.
const (
	routeList   = "route_list"
	serviceList = "service_list"
	versionKey  = "config_version"
)

// readChange reads a change, and refuses lists that there are not.
func readChange(data []byte) (*change, *result.Error) {
	c := &change{}
	if err := decode(data, c); err != nil {
		return nil, result.Errorf(result.Malformed, "change: %v", err)
	}
	for name := range c.Upsert {
		if name != routeList && name != serviceList {
			return nil, result.Errorf(result.InvalidField, "upsert: there is no list %s", name)
		}
	}
	for name := range c.Remove {
		if name != routeList && name != serviceList {
			return nil, result.Errorf(result.InvalidField, "remove: there is no list %s", name)
		}
	}
	return c, nil
}

// Modify makes the document that a change leads to. What the change does not name is
// neither read nor checked anew.
func (d *Document) Modify(data []byte) (*Document, *result.Error) {
	c, err := readChange(data)
	if err != nil {
		return nil, err
	}
	old, err := d.text.apart()
	if err != nil {
		return nil, err
	}
	isNew := map[string]bool{}
	now := &parts{rest: old.rest}
	next := &Document{Version: c.Version, Limits: d.Limits, text: &text{parts: now}}
	next.Routes, now.routes, err = changeList(d.Routes, old.routes, c.Upsert[routeList], c.Remove[routeList], isNew)
	if err != nil {
		return nil, err
	}
	next.Services, now.services, err = changeList(d.Services, old.services, c.Upsert[serviceList], c.Remove[serviceList], isNew)
	if err != nil {
		return nil, err
	}
	next.index()
	if err := errorOf(next.check(func(name string) bool { return isNew[name] })); err != nil {
		return nil, err
	}
	return next, nil
}

// changeList removes items by name, replaces those that are there, and adds the others. It
// notes the names of those that it has taken from the change.
func changeList[T any](values []T, items []item, upsert []json.RawMessage, remove []string, isNew map[string]bool) ([]T, []item, *result.Error) {
	added, err := itemsOf(upsert)
	if err != nil {
		return nil, nil, err
	}
	fresh := map[string]int{} // by name: the place in added, until it has found its own
	read := make([]T, len(added))
	for i, a := range added {
		if _, twice := fresh[a.name]; twice {
			return nil, nil, result.Errorf(result.DuplicateName, "upsert: %s comes twice", a.name)
		}
		if err := json.Unmarshal(a.raw, &read[i]); err != nil {
			return nil, nil, result.Errorf(result.Malformed, "%s: %v", a.name, err)
		}
		fresh[a.name] = i
		isNew[a.name] = true
	}
	gone := map[string]bool{}
	for _, name := range remove {
		gone[name] = true
	}
	keptValues, kept := make([]T, 0, len(items)+len(added)), make([]item, 0, len(items)+len(added))
	for i, old := range items {
		if at, replaced := fresh[old.name]; replaced {
			keptValues, kept = append(keptValues, read[at]), append(kept, added[at])
			delete(fresh, old.name)
		} else if !gone[old.name] {
			keptValues, kept = append(keptValues, values[i]), append(kept, old)
		}
	}
	for i, a := range added {
		if _, left := fresh[a.name]; left {
			keptValues, kept = append(keptValues, read[i]), append(kept, a)
		}
	}
	return keptValues, kept, nil
}
