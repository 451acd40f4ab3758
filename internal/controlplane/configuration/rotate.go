package configuration

import (
	"encoding/json"
	"slices"
	"strings"

	"marlreel/internal/controlplane/result"
)

// AddKey returns the change that adds a key to a tenant. The change builds on this document and has the next version.
// It fails with result.InvalidField if there is no such tenant, or a tenant already has the key.
func (d *Document) AddKey(name, key string) ([]byte, *result.Error) {
	subscriber, err := d.findSubscriber(name)
	if err != nil {
		return nil, err
	}
	if owner := d.SubscriberByKey(key); owner != nil {
		return nil, result.Errorf(result.InvalidField, "subscriber %q has this key", owner.Name)
	}
	return d.changeKeys(name, append(slices.Clone(subscriber.AccessKeys), key))
}

// RemoveKey returns the change that removes the key with a fingerprint (KeyFingerprint) from a tenant. The change
// builds on this document and has the next version. It fails with result.InvalidField if there is no such tenant or
// key.
func (d *Document) RemoveKey(name, fingerprint string) ([]byte, *result.Error) {
	subscriber, err := d.findSubscriber(name)
	if err != nil {
		return nil, err
	}
	remaining := slices.DeleteFunc(slices.Clone(subscriber.AccessKeys), func(key string) bool { return KeyFingerprint(key) == fingerprint })
	if len(remaining) == len(subscriber.AccessKeys) {
		// The error doesn't quote the fingerprint: the operator may have given the key itself by mistake.
		return nil, result.Errorf(result.InvalidField, "subscriber %q has no key of this fingerprint", name)
	}
	return d.changeKeys(name, remaining)
}

func (d *Document) findSubscriber(name string) (*Subscriber, *result.Error) {
	subscriber := d.Subscriber(name)
	if subscriber == nil {
		return nil, result.Errorf(result.InvalidField, "there is no subscriber %q", name)
	}
	return subscriber, nil
}

// changeKeys returns the change that replaces a tenant's keys and keeps its other fields as they were sent.
func (d *Document) changeKeys(name string, keys []string) ([]byte, *result.Error) {
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
		if strings.EqualFold(field, accessKeysField) { // decoding ignores case too
			delete(subscriber, field)
		}
	}
	subscriber[accessKeysField], _ = json.Marshal(keys) // strings always marshal
	item, _ := json.Marshal(subscriber)                 // fields of valid JSON always marshal
	data, _ := json.Marshal(change{Version: d.Version + 1, Upsert: map[string][]json.RawMessage{subscribersKey: {item}}})
	return data, nil
}
