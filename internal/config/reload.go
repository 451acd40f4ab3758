package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// CheckReload returns an *IncompatibleChangeError if a configuration can't replace this one
// while the process runs. The new one must have every setting that this one has: in a file that
// is truncated or half edited, missing settings would silently fall back to defaults, such as
// that a class is unsafe or that only one attempt is allowed. The zones must be the same too, as
// the list of backends and the balancer identify them by position.
func (c *Platform) CheckReload(next *Platform) error {
	missing := missingKey(c.rawSettings, next.rawSettings, "settings")
	if missing != "" {
		return &IncompatibleChangeError{missing + " is missing, and stands in the settings in force"}
	}
	if !reflect.DeepEqual(c.Names.Zones, next.Names.Zones) || c.Settings.Zone != next.Settings.Zone {
		return &IncompatibleChangeError{"settings.FailureDomains or settings.Zone differ: they can't change while the process runs"}
	}
	return nil
}

// missingKey returns the path of the first key of old that isn't in next, or "". Every item of a
// list must have the keys that all items of the old list have in common.
func missingKey(old, next any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		object, isObject := next.(map[string]any)
		if !isObject {
			return path
		}
		return missingKeyOfObject(old, object, path)
	case []any:
		list, isList := next.([]any)
		if !isList {
			return path
		}
		common := commonKeys(old)
		for i, item := range list {
			missing := missingKey(common, item, fmt.Sprintf("%s[%d]", path, i))
			if missing != "" {
				return missing
			}
		}
	}
	return ""
}

func missingKeyOfObject(old, next map[string]any, path string) string {
	for _, key := range slices.Sorted(maps.Keys(old)) {
		value, exists := next[key]
		if !exists || value == nil && old[key] != nil {
			return path + "." + key
		}
		missing := missingKey(old[key], value, path+"."+key)
		if missing != "" {
			return missing
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all objects of a list have, or nil if the list is empty or has other
// items.
func commonKeys(items []any) any {
	var common map[string]any
	for _, item := range items {
		object, isObject := item.(map[string]any)
		if !isObject {
			return nil
		}
		if common == nil {
			common = maps.Clone(object)
			continue
		}
		maps.DeleteFunc(common, func(key string, _ any) bool {
			_, exists := object[key]
			return !exists
		})
	}
	if common == nil {
		return nil
	}
	return common
}
