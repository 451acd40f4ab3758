package lease

import "fmt"

// PlacementKey is the key of the lease under which the models of a service are placed. It is stored.
func PlacementKey(service string) string { return "placement/" + service }

// HolderID names a holder of leases: one incarnation of one node, of which it has the lower half. It is stored.
func HolderID(node string, incarnation uint64) string {
	return fmt.Sprintf("%s/%08x", node, uint32(incarnation))
}
