package configuration

import (
	"encoding/json"
	"slices"
	"strings"

	"marlreel/internal/controlplane/result"
)

// AddKey returns the change that gives a tenant one more key. It builds on this document, and has the version after
// it. It fails with result.InvalidField where there is no such tenant, or a tenant has the key.
func (d *Document) AddKey(name, key string) ([]byte, *result.Error) {
	subscriber, err := d.findSubscriber(name)
	if err != nil {
		return nil, err
	}
	if owner := d.SubscriberByKey(key); owner != nil {
		return nil, result.Errorf(result.InvalidField, "subscriber %q has this key", owner.Name)
	}
	return d.changeOfKeys(name, append(slices.Clone(subscriber.AccessKeys), key))
}

// RemoveKey returns the change that takes the key of a fingerprint (KeyFingerprint) from a tenant. It builds on this
// document, and has the version after it. It fails with result.InvalidField where there is no such tenant or key.
func (d *Document) RemoveKey(name, fingerprint string) ([]byte, *result.Error) {
	subscriber, err := d.findSubscriber(name)
	if err != nil {
		return nil, err
	}
	left := slices.DeleteFunc(slices.Clone(subscriber.AccessKeys), func(key string) bool { return KeyFingerprint(key) == fingerprint })
	if len(left) == len(subscriber.AccessKeys) {
		// The fingerprint is not in the text: it may be a key that was given in its place.
		return nil, result.Errorf(result.InvalidField, "subscriber %q has no key of this fingerprint", name)
	}
	return d.changeOfKeys(name, left)
}

func (d *Document) findSubscriber(name string) (*Subscriber, *result.Error) {
	subscriber := d.Subscriber(name)
	if subscriber == nil {
		return nil, result.Errorf(result.InvalidField, "there is no subscriber %q", name)
	}
	return subscriber, nil
}

// changeOfKeys is the change that replaces a tenant's keys and keeps its other fields as they were sent.
func (d *Document) changeOfKeys(name string, keys []string) ([]byte, *result.Error) {
	fields, err := d.raw.split(d)
	if err != nil {
		return nil, err
	}
	at := slices.IndexFunc(fields.subscribers, func(item rawItem) bool { return item.name == name })
	if at < 0 {
		return nil, result.Errorf(result.InvalidField, "subscriber %q is not in the list as it was sent", name)
	}
	subscriber := map[string]json.RawMessage{}
	if err := json.Unmarshal(fields.subscribers[at].json, &subscriber); err != nil {
		return nil, result.Errorf(result.Malformed, "subscriber %q: %s", name, describeJSONError(err))
	}
	for field := range subscriber {
		if strings.EqualFold(field, accessKeysField) { // as it is decoded
			delete(subscriber, field)
		}
	}
	subscriber[accessKeysField], _ = json.Marshal(keys) // strings always marshal
	item, _ := json.Marshal(subscriber)                 // fields of valid JSON always marshal
	data, _ := json.Marshal(change{Version: d.Version + 1, Upsert: map[string][]json.RawMessage{subscribersKey: {item}}})
	return data, nil
}
