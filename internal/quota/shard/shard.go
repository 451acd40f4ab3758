// Package shard divides the tenants into a fixed number of shards. One agent at a time, the holder of the shard's lease,
// keeps account of the quotas of a shard.
//
// The package is pure. Proxies, agents and control processes of different versions have to assign tenants to the same
// shards.
package shard

import (
	"fmt"
	"hash/fnv"
)

// Count is the number of shards: enough that the loss of an owner affects few tenants, and few enough that lease renewals
// cost control little. It can't change while two versions run side by side.
const Count = 16

// Of returns the shard of a tenant, from 0 to Count-1.
func Of(subscriber string) int {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(subscriber)) // a hash never returns an error
	return int(mix(hash.Sum64()) % Count)
}

// LeaseKey returns the key of the lease on a shard. The key is stored, so its format can't change.
func LeaseKey(shard int) string { return fmt.Sprintf("quota/%d", shard) }

// mix spreads differences over all bits of a hash (the finalizer of MurmurHash3). With FNV alone, names that differ only
// in their last byte get hashes that are close together.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
