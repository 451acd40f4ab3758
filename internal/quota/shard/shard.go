// Package shard divides the tenants into a fixed number of shards. The quotas of a shard are counted by one agent at a
// time, which holds the shard's lease.
//
// The package is pure. Proxies, agents and control processes of two versions have to agree on it.
package shard

import (
	"fmt"
	"hash/fnv"
)

// Count is the number of shards: enough for the loss of an owner to leave most tenants alone, and few enough for the
// renewals of their leases to cost control little. It can't change while two versions run side by side.
const Count = 16

// Of returns the shard of a tenant, from 0 to Count-1.
func Of(subscriber string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(subscriber)) // it never fails
	return int(mix(hash.Sum64()) % Count)
}

// LeaseKey is the key of the lease under which the quotas of a shard are counted. It is stored.
func LeaseKey(shard int) string { return fmt.Sprintf("quota/%d", shard) }

// mix spreads a hash over all of its bits (the finalizer of MurmurHash3): FNV alone leaves names that differ in their
// last byte close together.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
