package lease

import "fmt"

// PlacementKey returns the key of the lease for placing the models of a service. The key is stored in the replicated
// state.
func PlacementKey(service string) string { return "placement/" + service }

// HolderID returns the identifier of a lease holder: a node's name and the lower half of its incarnation. The
// identifier is stored in the replicated state.
func HolderID(node string, incarnation uint64) string {
	return fmt.Sprintf("%s/%08x", node, uint32(incarnation))
}
