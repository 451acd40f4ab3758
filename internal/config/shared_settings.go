package config

import (
	"encoding/json"
	"errors"
	"maps"

	"marlreel/internal/balancer"
	"marlreel/internal/fleet/transition"
)

// localKeys of the settings differ from one proxy to the next.
var localKeys = []string{"Rank", "Zone"}

// SharedSettings is the text of the settings without what is this proxy's own: what the proxies of a fleet agree on.
func (c *Platform) SharedSettings() (string, error) {
	object, isObject := c.rawSettings.(map[string]any)
	if !isObject {
		return "", errSettingsNoObject
	}
	object = maps.Clone(object)
	for _, key := range localKeys {
		delete(object, key)
	}
	text, err := json.Marshal(object)
	return string(text), err
}

var errSettingsNoObject = settingsError(errors.New("an object is needed"))

// WithSharedSettings is this configuration with a shared text as its settings, and this proxy's own keys as they are.
// It is checked like a file, with the errors of ParsePlatform.
func (c *Platform) WithSharedSettings(text string) (*Platform, error) {
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		return nil, settingsError(err)
	}
	if object == nil { // the text was null
		return nil, errSettingsNoObject
	}
	if local, isObject := c.rawSettings.(map[string]any); isObject {
		for _, key := range localKeys {
			if value, exists := local[key]; exists {
				object[key] = value
			}
		}
	}
	merged, err := json.Marshal(object)
	if err != nil {
		return nil, err
	}
	next := *c
	if err := next.readSettings(merged); err != nil {
		return nil, err
	}
	return &next, nil
}

// CheckSharedSettings tells why a shared text can't follow others, or nil. What it knows of this proxy is its own keys
// alone, and its zones.
func (c *Platform) CheckSharedSettings(before []string, text string) error {
	next, err := c.WithSharedSettings(text)
	if err != nil {
		return err
	}
	for _, earlier := range before {
		previous, err := c.WithSharedSettings(earlier)
		if err != nil {
			continue // no proxy could use it either
		}
		if err := previous.CheckReload(next); err != nil {
			return err
		}
		if err := transition.ValidateSuccessor(previous.Settings, next.Settings); err != nil {
			return err
		}
	}
	return nil
}

// ParseSharedSettings is the balancer's reading of a shared text.
func (c *Platform) ParseSharedSettings(text string) (balancer.Config, error) {
	platform, err := c.WithSharedSettings(text)
	if err != nil {
		return balancer.Config{}, err
	}
	return platform.Settings, nil
}
