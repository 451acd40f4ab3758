package gateway

import (
	"hash/fnv"
	"io"
	"slices"
)

// identity is what tells a proxy apart from its peers.
type identity struct {
	name  string
	zones []string // all, sorted
	zone  string
}

// rank is a number by the proxy's name, which seeds what proxies should do differently.
func (i identity) rank() int {
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, i.name) // a hash never fails
	return int(hash.Sum32() >> 1)
}

// zoneIndex is a zone's number. One that is not known is far from all others.
func (i identity) zoneIndex(zone string) int {
	if at, found := slices.BinarySearch(i.zones, zone); found {
		return at
	}
	return len(i.zones)
}
