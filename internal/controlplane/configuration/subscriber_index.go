package configuration

import "crypto/sha256"

// keyDigest is the SHA-256 of a key. Looking keys up by digest keeps the lookup time from revealing how much of a
// guessed key is right.
type keyDigest [sha256.Size]byte

func digestOfKey(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// subscriberIndex finds tenants by name and by key. It is immutable after construction, so documents with the same list
// of tenants share it.
type subscriberIndex struct {
	byName map[string]*Subscriber
	byKey  map[keyDigest]*Subscriber
	shared []sharedKey
}

// sharedKey names two tenants that have the same key.
type sharedKey struct{ first, second string }

func newSubscriberIndex(subscribers []Subscriber) *subscriberIndex {
	keys := 0
	for i := range subscribers {
		keys += len(subscribers[i].AccessKeys)
	}
	index := &subscriberIndex{
		byName: make(map[string]*Subscriber, len(subscribers)),
		byKey:  make(map[keyDigest]*Subscriber, keys),
	}
	for i := range subscribers {
		subscriber := &subscribers[i]
		index.byName[subscriber.Name] = subscriber
		for _, key := range subscriber.AccessKeys {
			index.addKey(digestOfKey(key), subscriber)
		}
	}
	return index
}

func (x *subscriberIndex) addKey(digest keyDigest, subscriber *Subscriber) {
	owner, taken := x.byKey[digest]
	if taken && owner != subscriber {
		x.shared = append(x.shared, sharedKey{owner.Name, subscriber.Name})
		return
	}
	x.byKey[digest] = subscriber
}
