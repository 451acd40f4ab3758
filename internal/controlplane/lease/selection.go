package lease

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"marlreel/internal/api"
)

// SelectNode selects the holder of a lease among nodes by rendezvous hashing: leases are spread evenly, and when a node
// leaves, only its own leases move. It returns nil if there are no nodes. Control processes of different versions must
// make the same selection.
func SelectNode(key string, nodes []*api.Node) *api.Node {
	var selected *api.Node
	highest := uint64(0)
	for _, node := range nodes {
		score := score(key, node.Name)
		if selected == nil || score > highest {
			selected, highest = node, score
		}
	}
	return selected
}

// RankNodes returns the nodes in the order in which SelectNode prefers them for a key. All processes rank the nodes
// that they have in common in the same order.
func RankNodes(key string, nodes []*api.Node) []*api.Node {
	scores := make(map[*api.Node]uint64, len(nodes))
	for _, node := range nodes {
		scores[node] = score(key, node.Name)
	}
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b *api.Node) int {
		return cmp.Or(cmp.Compare(scores[b], scores[a]), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// score returns a node's rendezvous weight for a key. It mixes the bits of an FNV-1a hash, because otherwise keys that
// differ only in their last byte would get similar scores.
func score(key, node string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key + "|" + node)) // never fails
	return mix(hash.Sum64())
}

// mix spreads a hash over all of its bits (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// candidates returns the nodes to select a holder from: those that are not draining, are not among the unresponsive
// holders, and reported within maxAge. If there are none, it waives these conditions one by one, the last one first.
// The second result is the unresponsive holders, or nil if that condition was waived.
func candidates(nodes []*api.Node, unresponsive map[string]bool, maxAge time.Duration) ([]*api.Node, map[string]bool) {
	staying := without(nodes, func(n *api.Node) bool { return n.Draining })
	responsive := without(staying, func(n *api.Node) bool { return unresponsive[HolderID(n.Name, n.Incarnation)] })
	recent := without(responsive, func(n *api.Node) bool { return time.Duration(n.AgeMs)*time.Millisecond > maxAge })
	switch {
	case len(recent) > 0:
		return recent, unresponsive
	case len(responsive) > 0:
		return responsive, unresponsive
	case len(staying) > 0:
		return staying, nil
	}
	return nodes, nil
}

// without returns the nodes that are not excluded, in their order.
func without(nodes []*api.Node, excluded func(n *api.Node) bool) []*api.Node {
	return slices.DeleteFunc(slices.Clone(nodes), excluded)
}
