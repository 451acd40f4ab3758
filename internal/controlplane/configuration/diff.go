package configuration

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"marlreel/internal/controlplane/result"
)

// DifferenceKind says how two configurations differ in one place.
type DifferenceKind string

// The kinds of differences.
const (
	Added   DifferenceKind = "added"
	Removed DifferenceKind = "removed"
	Changed DifferenceKind = "changed"
)

// Difference is one place in which two configurations differ.
type Difference struct {
	Kind DifferenceKind  `json:"kind"`
	Path string          `json:"path"` // as in route_list[chat].timeout_ms
	Old  json.RawMessage `json:"old,omitempty"`
	New  json.RawMessage `json:"new,omitempty"`
}

// Diff gives all in which two configurations differ, fields that are not known here among
// it, by path. Items of lists are told apart by their names; where there are none, a list
// counts as one value.
func Diff(before, after []byte) ([]Difference, *result.Error) {
	var old, changed any
	for _, side := range []struct {
		data []byte
		into *any
	}{{before, &old}, {after, &changed}} {
		decoder := json.NewDecoder(bytes.NewReader(side.data))
		decoder.UseNumber()
		if err := decoder.Decode(side.into); err != nil {
			return nil, result.Errorf(result.Malformed, "configuration: %v", err)
		}
	}
	c := &comparison{}
	c.compare("", old, changed)
	return c.found, nil
}

// comparison gathers differences.
type comparison struct {
	found []Difference
}

func (c *comparison) add(kind DifferenceKind, path string, was, is any) {
	d := Difference{Kind: kind, Path: path}
	if kind != Added {
		d.Old, _ = json.Marshal(was) // it was read from JSON
	}
	if kind != Removed {
		d.New, _ = json.Marshal(is)
	}
	c.found = append(c.found, d)
}

// compare finds where two values differ.
func (c *comparison) compare(path string, old, changed any) {
	before, after := fieldsOf(old), fieldsOf(changed)
	if before == nil || after == nil {
		if !sameValue(old, changed) {
			c.add(Changed, path, old, changed)
		}
		return
	}
	keys := slices.Sorted(maps.Keys(before.values))
	for key := range after.values {
		if _, both := before.values[key]; !both {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for _, key := range keys {
		was, had := before.values[key]
		is, has := after.values[key]
		place := after.place(path, key)
		switch {
		case !had:
			c.add(Added, place, nil, is)
		case !has:
			c.add(Removed, place, was, nil)
		default:
			c.compare(place, was, is)
		}
	}
}

// fields are an object's values by key, or a list's by the names of its items.
type fields struct {
	values map[string]any
	list   bool
}

// place is the path of a value.
func (f *fields) place(path, key string) string {
	switch {
	case f.list:
		return path + "[" + key + "]"
	case path == "":
		return key
	}
	return path + "." + key
}

// fieldsOf gives nil for what is to be compared as one value.
func fieldsOf(value any) *fields {
	switch v := value.(type) {
	case map[string]any:
		return &fields{values: v}
	case []any:
		named := map[string]any{}
		for _, item := range v {
			object, is := item.(map[string]any)
			name, has := object["name"].(string)
			if _, twice := named[name]; !is || !has || twice {
				return nil
			}
			named[name] = object
		}
		if len(named) > 0 {
			return &fields{values: named, list: true}
		}
	}
	return nil
}

// sameValue tells whether two values are equal, numbers by what they are worth.
func sameValue(a, b any) bool {
	x, isNumber := a.(json.Number)
	y, areNumbers := b.(json.Number)
	if isNumber && areNumbers {
		if strings.TrimSpace(x.String()) == strings.TrimSpace(y.String()) {
			return true
		}
		p, err := x.Float64()
		q, err2 := y.Float64()
		return err == nil && err2 == nil && p == q
	}
	listA, isList := a.([]any)
	listB, areLists := b.([]any)
	if isList && areLists {
		return slices.EqualFunc(listA, listB, sameValue)
	}
	objectA, isObject := a.(map[string]any)
	objectB, areObjects := b.(map[string]any)
	if isObject && areObjects {
		return maps.EqualFunc(objectA, objectB, sameValue)
	}
	return !isNumber && !areNumbers && !isList && !areLists && !isObject && !areObjects && a == b
}
