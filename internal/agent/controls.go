package agent

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/process/bootstrap"
)

// controlAddresses returns the control processes to ask, the preferred one first: those that are known and the seeds of
// the settings, those of the node's own zone before others. Among these each node has an order of its own, by a
// hash, so that they share the load.
func controlAddresses(settings *bootstrap.Settings, known []*api.ControlNode) []string {
	inZone := map[string]bool{}
	addresses := slices.Clone(settings.SeedPeers())
	for _, control := range known {
		addresses = append(addresses, control.Address)
		inZone[control.Address] = control.Zone == settings.Zone
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	rank := func(address string) uint64 {
		hash := fnv.New32a()
		_, _ = io.WriteString(hash, settings.NodeName+" "+address) // a hash takes everything
		if inZone[address] {
			return uint64(hash.Sum32())
		}
		return uint64(hash.Sum32()) + 1<<32
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return addresses
}
