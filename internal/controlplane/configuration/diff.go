package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"marlreel/internal/controlplane/result"
)

// DifferenceKind is how two configurations differ at one path.
type DifferenceKind string

// The kinds of differences.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one path at which two configurations differ.
type Difference struct {
	Kind DifferenceKind `json:"kind"`
	// Path has the form route_list[chat].timeout_ms.
	Path string          `json:"path"`
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff returns all differences between two configurations, ordered by path, including those in fields that this version
// doesn't know. List items are paired by name; a list with an unnamed item or a duplicate name is compared as one
// value. Access keys are replaced by fingerprints, so that a changed key shows without being revealed. It fails with
// result.Malformed.
func Diff(before, after []byte) ([]Difference, *result.Error) {
	oldValue, err := decodeValue(before)
	if err != nil {
		return nil, err
	}
	newValue, err := decodeValue(after)
	if err != nil {
		return nil, err
	}
	redactKeys(oldValue)
	redactKeys(newValue)
	var c comparison
	c.compare("", oldValue, newValue)
	return c.differences, nil
}

// decodeValue decodes JSON and keeps numbers as they are written.
func decodeValue(data []byte) (any, *result.Error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, result.Errorf(result.Malformed, "configuration: %s", describeJSONError(err))
	}
	return value, nil
}

// comparison collects the differences between two decoded values.
type comparison struct {
	differences []Difference
}

func (c *comparison) add(kind DifferenceKind, path string, oldValue, newValue any) {
	d := Difference{Kind: kind, Path: path}
	if kind != Added {
		d.Old, _ = json.Marshal(oldValue) // values decoded from JSON always marshal
	}
	if kind != Removed {
		d.New, _ = json.Marshal(newValue)
	}
	c.differences = append(c.differences, d)
}

// compare adds the differences between the values at a path.
func (c *comparison) compare(path string, oldValue, newValue any) {
	before, after := childrenOf(oldValue), childrenOf(newValue)
	if before == nil || after == nil {
		if !equalValues(oldValue, newValue) {
			c.add(Changed, path, oldValue, newValue)
		}
		return
	}
	keys := slices.Collect(maps.Keys(before.values))
	for key := range after.values {
		if _, inBoth := before.values[key]; !inBoth {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		oldChild, inOld := before.values[key]
		newChild, inNew := after.values[key]
		childPath := after.path(path, key)
		switch {
		case !inOld:
			c.add(Added, childPath, nil, newChild)
		case !inNew:
			c.add(Removed, childPath, oldChild, nil)
		default:
			c.compare(childPath, oldChild, newChild)
		}
	}
}

// children are an object's values by key, or a list's items by name.
type children struct {
	values map[string]any
	list   bool
}

// path returns the path of a child.
func (c *children) path(parent, key string) string {
	switch {
	case c.list:
		return parent + "[" + key + "]"
	case parent == "":
		return key
	}
	return parent + "." + key
}

// childrenOf returns the children of an object or a list, and nil for a value that is compared as a whole.
func childrenOf(value any) *children {
	switch value := value.(type) {
	case map[string]any:
		return &children{values: value}
	case []any:
		if items := itemsByName(value); len(items) > 0 {
			return &children{values: items, list: true}
		}
	}
	return nil
}

// itemsByName returns a list's items by name; nil if an item has no name, or two have the same.
func itemsByName(list []any) map[string]any {
	items := map[string]any{}
	for _, item := range list {
		object, isObject := item.(map[string]any)
		if !isObject {
			return nil
		}
		name, hasName := object["name"].(string)
		if !hasName {
			return nil
		}
		if _, twice := items[name]; twice {
			return nil
		}
		items[name] = object
	}
	return items
}

// equalValues reports whether two decoded values are equal; numbers are compared by value.
func equalValues(a, b any) bool {
	switch a := a.(type) {
	case json.Number:
		b, isNumber := b.(json.Number)
		return isNumber && equalNumbers(a, b)
	case []any:
		b, isList := b.([]any)
		return isList && slices.EqualFunc(a, b, equalValues)
	case map[string]any:
		b, isObject := b.(map[string]any)
		return isObject && maps.EqualFunc(a, b, equalValues)
	}
	return a == b // strings, booleans and null
}

// equalNumbers compares the text first, as different large versions can be equal as float64.
func equalNumbers(a, b json.Number) bool {
	if strings.TrimSpace(a.String()) == strings.TrimSpace(b.String()) {
		return true
	}
	x, err := a.Float64()
	if err != nil {
		return false
	}
	y, err := b.Float64()
	return err == nil && x == y
}
