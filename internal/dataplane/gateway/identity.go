package gateway

import (
	"hash/fnv"
	"io"
	"slices"
)

// identity identifies a proxy among its peers.
type identity struct {
	name  string
	zones []string // all zones, sorted
	zone  string
}

// rank returns a number derived from the proxy's name. It seeds decisions that should differ between proxies.
func (i identity) rank() int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, i.name) // a hash never fails
	return int(hash.Sum32() >> 1)
}

// zoneIndex returns a zone's index. Unknown zones get one that no known zone has, far from all others.
func (i identity) zoneIndex(zone string) int {
	if at, found := slices.BinarySearch(i.zones, zone); found {
		return at
	}
	return len(i.zones)
}
