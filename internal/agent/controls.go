package agent

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/process/bootstrap"
)

// controlAddresses returns the addresses of the control processes, the preferred one first: the known ones and the seeds
// of the settings. Those in the node's own zone come before others. Within each group a hash gives each node an order of
// its own, which spreads the load over the control processes.
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
		_, _ = io.WriteString(hash, settings.NodeName+" "+address) // writing to a hash never fails
		if inZone[address] {
			return uint64(hash.Sum32())
		}
		return uint64(hash.Sum32()) + 1<<32
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return addresses
}
