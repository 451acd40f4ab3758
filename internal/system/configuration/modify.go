package configuration

import (
	"encoding/json"
	"strconv"

	"marlreel/internal/system/result"
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

// Modify makes the document that a change leads to.
func (d *Document) Modify(data []byte) (*Document, *result.Error) {
	var c change
	if err := decode(data, &c); err != nil {
		return nil, result.Errorf(result.Unreadable, "change: %v", err)
	}
	whole := map[string]json.RawMessage{}
	if err := decode(d.raw, &whole); err != nil {
		return nil, result.Errorf(result.Unreadable, "configuration in place: %v", err)
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
	for _, name := range []string{routeList, serviceList} {
		changed, err := changeList(whole[name], c.Upsert[name], c.Remove[name])
		if err != nil {
			return nil, err
		}
		whole[name] = changed
	}
	whole[versionKey] = json.RawMessage(strconv.FormatUint(c.Version, 10))
	raw, err := json.Marshal(whole)
	if err != nil {
		return nil, result.Errorf(result.Unreadable, "change: %v", err)
	}
	return Parse(raw)
}

// changeList removes items by name, replaces those that are there, and adds the others.
func changeList(list json.RawMessage, upsert []json.RawMessage, remove []string) (json.RawMessage, *result.Error) {
	var items []json.RawMessage
	if len(list) > 0 {
		if err := json.Unmarshal(list, &items); err != nil {
			return nil, result.Errorf(result.Unreadable, "configuration in place: %v", err)
		}
	}
	fresh, order := map[string]json.RawMessage{}, []string(nil)
	for _, item := range upsert {
		name, err := nameOf(item)
		if err != nil {
			return nil, err
		}
		if _, twice := fresh[name]; twice {
			return nil, result.Errorf(result.SameName, "upsert: %s comes twice", name)
		}
		fresh[name], order = item, append(order, name)
	}
	gone := map[string]bool{}
	for _, name := range remove {
		gone[name] = true
	}
	kept := make([]json.RawMessage, 0, len(items)+len(upsert))
	for _, item := range items {
		name, err := nameOf(item)
		if err != nil {
			return nil, err
		}
		if replacement, replaced := fresh[name]; replaced {
			kept = append(kept, replacement)
			delete(fresh, name)
		} else if !gone[name] {
			kept = append(kept, item)
		}
	}
	for _, name := range order {
		if item, added := fresh[name]; added {
			kept = append(kept, item)
		}
	}
	data, err := json.Marshal(kept)
	if err != nil {
		return nil, result.Errorf(result.Unreadable, "change: %v", err)
	}
	return data, nil
}

func nameOf(item json.RawMessage) (string, *result.Error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(item, &named); err != nil || named.Name == "" {
		return "", result.Errorf(result.InvalidField, "an item has no name")
	}
	return named.Name, nil
}
