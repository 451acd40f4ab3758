package config

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// CheckReload tells why a file that was read later can't take this one's place while the
// process runs, by an *IncompatibleChangeError. It has to have every setting that this one has: in a file that was
// cut short or edited by halves, what is missing would fall back to defaults, which say
// that a class is unsafe or that one attempt is allowed, and nobody would be notified. And the
// zones have to be the same: zones in the list and the module's own are known by their position.
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

// missingKey gives the path of the first key of old that isn't in next, or "". The items of a
// list need the keys that all items of the old one have.
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

// commonKeys is an object of what all items of a list of objects have, or nil where they are none.
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
