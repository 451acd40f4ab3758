package config

import (
	"encoding/json"
	"errors"
	"maps"

	"marlreel/internal/balancer"
	"marlreel/internal/fleet/transition"
)

// localKeys are the keys of the settings that differ between proxies.
var localKeys = []string{"Rank", "Zone"}

// SharedSettings returns the settings as JSON without this proxy's local keys. The proxies of a fleet agree on this text.
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

// WithSharedSettings returns a copy of this configuration with the shared settings of a text and this proxy's local
// keys. It is validated like a file, with the errors of ParsePlatform.
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

// CheckSharedSettings returns an error if a shared text can't replace one of the texts before. Of this proxy's own
// configuration it uses only the local keys and the zones.
func (c *Platform) CheckSharedSettings(before []string, text string) error {
	next, err := c.WithSharedSettings(text)
	if err != nil {
		return err
	}
	for _, earlier := range before {
		previous, err := c.WithSharedSettings(earlier)
		if err != nil {
			continue // invalid, so no proxy could be using it
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

// ParseSharedSettings returns the balancer configuration of a shared text.
func (c *Platform) ParseSharedSettings(text string) (balancer.Config, error) {
	platform, err := c.WithSharedSettings(text)
	if err != nil {
		return balancer.Config{}, err
	}
	return platform.Settings, nil
}
