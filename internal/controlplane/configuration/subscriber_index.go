package configuration

import "crypto/sha256"

// keyDigest is the SHA-256 of a key: by it a key is looked up in a time that does not tell how much of it is right.
type keyDigest [sha256.Size]byte

func digestOfKey(key string) keyDigest { return sha256.Sum256([]byte(key)) }

// subscriberIndex finds the tenants of a list. It is immutable once it is made: documents with the same list share it.
type subscriberIndex struct {
	byName map[string]*Subscriber
	byKey  map[keyDigest]*Subscriber
	shared []sharedKey
}

// sharedKey says that two tenants have the same key.
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
