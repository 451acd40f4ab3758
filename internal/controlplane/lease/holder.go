// Package lease names roles and chooses their holders. A role is held by one life
// of one node, under a fencing token of the chain. It is pure.
package lease

import (
	"fmt"
	"hash/fnv"
	"io"

	"marlreel/internal/api"
)

// PlacementKey names the role of placing a service's models.
func PlacementKey(service string) string { return "placement/" + service }

// HolderID words who holds a role: one life of one node.
func HolderID(node string, incarnation uint64) string {
	return fmt.Sprintf("%s/%08x", node, uint32(incarnation))
}

// SelectNode picks the holder of a role among nodes by rendezvous hashing: roles are spread
// evenly, and only those of a node that leaves move.
func SelectNode(key string, nodes []*api.Node) *api.Node {
	var best *api.Node
	var highest uint64
	for _, node := range nodes {
		hash := fnv.New64a()
		io.WriteString(hash, key+"|"+node.Name)
		if score := mix(hash.Sum64()); best == nil || score > highest {
			best, highest = node, score
		}
	}
	return best
}

// mix spreads a hash over all of its bits.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
