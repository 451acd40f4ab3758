package configuration

import (
	"encoding/json"

	"marlreel/internal/controlplane/result"
)

// change is the body of a modify call: the items to add or replace, and the names of those to remove, by the key of
// their list.
type change struct {
	Version uint64                       `json:"config_version"`
	Upsert  map[string][]json.RawMessage `json:"upsert"`
	Remove  map[string][]string          `json:"remove"`
}

// decodeChange decodes a change and rejects it if it names a list that doesn't exist.
func decodeChange(data []byte) (*change, *result.Error) {
	c := &change{}
	if err := decodeJSON(data, c); err != nil {
		return nil, result.Errorf(result.Malformed, "change: %s", describeJSONError(err))
	}
	for name := range c.Upsert {
		if !isList(name) {
			return nil, result.Errorf(result.InvalidField, "upsert: there is no list %s", name)
		}
	}
	for name := range c.Remove {
		if !isList(name) {
			return nil, result.Errorf(result.InvalidField, "remove: there is no list %s", name)
		}
	}
	return c, nil
}

func isList(name string) bool {
	return name == routesKey || name == servicesKey || name == subscribersKey
}

// touches reports whether the change names items of the list with a key.
func (c *change) touches(key string) bool { return len(c.Upsert[key]) > 0 || len(c.Remove[key]) > 0 }

// Modify validates a change and returns the resulting document; this document is not modified. Items that the change
// doesn't name are neither decoded nor validated again, except for their relations to changed items. Both documents
// share the items and lookup tables of lists that the change doesn't touch.
func (d *Document) Modify(data []byte) (*Document, *result.Error) {
	next, checked, err := d.merge(data)
	if err != nil {
		return nil, err
	}
	if err := combine(next.validate(checked)); err != nil {
		return nil, err
	}
	d.raw.cacheResult(data, next)
	return next, nil
}

// Merge is Modify without the validation, for a change that was validated when it was accepted.
func (d *Document) Merge(data []byte) (*Document, *result.Error) {
	if next := d.raw.cachedResult(data); next != nil {
		return next, nil
	}
	next, _, err := d.merge(data)
	return next, err
}

// merge returns the document that results from a change, and the scope in which it has to be validated.
func (d *Document) merge(data []byte) (*Document, scope, *result.Error) {
	c, err := decodeChange(data)
	if err != nil {
		return nil, scope{}, err
	}
	old, err := d.raw.split(d)
	if err != nil {
		return nil, scope{}, err
	}
	newNames := map[string]bool{}
	routes, err := applyChange(list[Route]{d.Routes, old.routes}, c, routesKey, newNames)
	if err != nil {
		return nil, scope{}, err
	}
	services, err := applyChange(list[Service]{d.Services, old.services}, c, servicesKey, newNames)
	if err != nil {
		return nil, scope{}, err
	}
	subscribers, err := applyChange(list[Subscriber]{d.Subscribers, old.subscribers}, c, subscribersKey, newNames)
	if err != nil {
		return nil, scope{}, err
	}
	next := *d
	next.Version, next.Routes, next.Services, next.Subscribers = c.Version, routes.values, services.values, subscribers.values
	next.raw = &rawDocument{fields: &rawFields{
		routes: routes.items, services: services.items, subscribers: subscribers.items, others: old.others,
	}}
	next.rebuildTouchedIndexes(c)
	isNew := func(name string) bool { return newNames[name] }
	return &next, scope{touches: c.touches, isNew: isNew}, nil
}

// rebuildTouchedIndexes rebuilds the lookup tables of the lists that a change touches.
func (d *Document) rebuildTouchedIndexes(c *change) {
	if c.touches(routesKey) {
		d.indexRoutes()
	}
	if c.touches(servicesKey) {
		d.indexServices()
	}
	if c.touches(subscribersKey) {
		d.indexSubscribers()
	}
}

// listItem is a named item of one of the document's lists.
type listItem interface {
	Route | Service | Subscriber
	itemName() string
}

func (r Route) itemName() string { return r.Name }

func (s Service) itemName() string { return s.Name }

func (s Subscriber) itemName() string { return s.Name }

// list is a list of a document: its items both decoded and as they were sent, in the same order.
type list[T any] struct {
	values []T
	items  []rawItem
}

func (l *list[T]) add(value T, item rawItem) {
	l.values = append(l.values, value)
	l.items = append(l.items, item)
}

// applyChange applies a change to the list under a key, and adds the names of the added or replaced items to newNames.
// A list that the change doesn't touch is returned unchanged, as is an absent list from which items are removed.
func applyChange[T listItem](old list[T], c *change, key string, newNames map[string]bool) (list[T], *result.Error) {
	if len(c.Upsert[key]) == 0 && (len(c.Remove[key]) == 0 || old.items == nil) {
		return old, nil
	}
	upserts, err := decodeUpserts[T](c.Upsert[key])
	if err != nil {
		return list[T]{}, err
	}
	for _, item := range upserts.items {
		newNames[item.name] = true
	}
	return mergeList(old, upserts, c.Remove[key]), nil
}

// decodeUpserts decodes the items that a change adds or replaces.
func decodeUpserts[T listItem](upsert []json.RawMessage) (list[T], *result.Error) {
	if decoded, ok := decodeInOnePass[T](upsert); ok {
		return decoded, nil
	}
	items, err := namedItems(upsert)
	if err != nil {
		return list[T]{}, err
	}
	names := map[string]bool{}
	values := make([]T, len(items))
	for i, item := range items {
		if names[item.name] {
			return list[T]{}, result.Errorf(result.DuplicateName, "upsert: %s comes twice", item.name)
		}
		if err := json.Unmarshal(item.json, &values[i]); err != nil {
			return list[T]{}, result.Errorf(result.Malformed, "%s: %s", item.name, describeJSONError(err))
		}
		names[item.name] = true
	}
	return list[T]{values: values, items: items}, nil
}

// decodeInOnePass decodes valid items, each in a single pass. It reports false if an item is invalid; finding out why
// takes another pass.
func decodeInOnePass[T listItem](upsert []json.RawMessage) (list[T], bool) {
	decoded := list[T]{values: make([]T, len(upsert)), items: make([]rawItem, len(upsert))}
	names := make(map[string]bool, len(upsert))
	for i, data := range upsert {
		if json.Unmarshal(data, &decoded.values[i]) != nil {
			return list[T]{}, false
		}
		name := decoded.values[i].itemName()
		if name == "" || names[name] {
			return list[T]{}, false
		}
		names[name] = true
		decoded.items[i] = rawItem{name: name, json: data}
	}
	return decoded, true
}

// mergeList replaces items of the old list by upserts of the same name, drops removed items, and appends the remaining
// upserts. An upsert takes precedence over a removal of the same name.
func mergeList[T any](old, upserts list[T], remove []string) list[T] {
	pending := map[string]int{} // upserts that have not replaced an old item, by name
	for i, item := range upserts.items {
		pending[item.name] = i
	}
	removed := map[string]bool{}
	for _, name := range remove {
		removed[name] = true
	}
	size := len(old.items) + len(upserts.items)
	merged := list[T]{values: make([]T, 0, size), items: make([]rawItem, 0, size)}
	for i, item := range old.items {
		at, replaced := pending[item.name]
		switch {
		case replaced:
			merged.add(upserts.values[at], upserts.items[at])
			delete(pending, item.name)
		case !removed[item.name]:
			merged.add(old.values[i], item)
		}
	}
	for i, item := range upserts.items {
		if _, left := pending[item.name]; left {
			merged.add(upserts.values[i], item)
		}
	}
	return merged
}
