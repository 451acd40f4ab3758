package controlplane

import (
	"time"

	"marlreel/internal/api"
)

// peerTimeout is how long another control process counts as live without an update. Raising it means that backends are
// sent the address of a failed process for longer; lowering it extends the timeouts of backends (lostPeerFactor) after
// fewer lost updates.
const peerTimeout = 2500 * time.Millisecond

// peerTable records when each other control process sent its last update, and its zone and public address. Peers are
// never removed: their number is bounded by the addresses that control processes ever had. The caller must hold the lock.
type peerTable struct {
	lastUpdate map[string]time.Time        // by the peer's address
	nodes      map[string]*api.ControlNode // by the peer's address
}

func newPeerTable() *peerTable {
	return &peerTable{lastUpdate: map[string]time.Time{}, nodes: map[string]*api.ControlNode{}}
}

// onUpdate records that a peer sent an update. node is nil if the update did not include the peer's zone and address.
func (t *peerTable) onUpdate(now time.Time, address string, node *api.ControlNode) {
	t.lastUpdate[address] = now
	if node != nil {
		t.nodes[address] = node
	}
}

// timedOut reports whether a peer has sent no update for longer than peerTimeout, or none at all.
func (t *peerTable) timedOut(now time.Time, address string) bool {
	return now.Sub(t.lastUpdate[address]) > peerTimeout
}

// inZone returns the public address of some peer in a zone that sent an update within peerTimeout, or "" if there is none.
func (t *peerTable) inZone(now time.Time, zone string) string {
	for address, node := range t.nodes {
		if node.Zone == zone && now.Sub(t.lastUpdate[address]) < peerTimeout {
			return node.PublicAddress
		}
	}
	return ""
}

// controlNodes returns the addresses and zones of the members of a view, in the same order. For a member that is not
// self and has not sent its zone yet, only the address is set.
func (t *peerTable) controlNodes(self *api.ControlNode, members []string) []*api.ControlNode {
	nodes := make([]*api.ControlNode, 0, len(members))
	for _, address := range members {
		switch {
		case address == self.Address:
			nodes = append(nodes, self)
		case t.nodes[address] != nil:
			nodes = append(nodes, t.nodes[address])
		default:
			nodes = append(nodes, &api.ControlNode{Address: address})
		}
	}
	return nodes
}
