package controlplane

import (
	"time"

	"marlreel/internal/api"
)

// peerTimeout is how long another control process counts without an update. Raising it has backends told the address
// of a dead process for longer; lowering it extends the timeouts of backends (lostPeerFactor) for each lost update.
const peerTimeout = 2500 * time.Millisecond

// peerTable is when each other control process sent its last update, and where it is. Peers are never removed: there
// are as many as addresses that control processes ever had. It does no locking of its own.
type peerTable struct {
	lastUpdate map[string]time.Time        // by the peer's address
	nodes      map[string]*api.ControlNode // the same
}

func newPeerTable() *peerTable {
	return &peerTable{lastUpdate: map[string]time.Time{}, nodes: map[string]*api.ControlNode{}}
}

// onUpdate records that a peer sent an update; node is nil where it did not say where it is.
func (t *peerTable) onUpdate(now time.Time, address string, node *api.ControlNode) {
	t.lastUpdate[address] = now
	if node != nil {
		t.nodes[address] = node
	}
}

// timedOut reports whether a peer has sent no update for too long, or never one.
func (t *peerTable) timedOut(now time.Time, address string) bool {
	return now.Sub(t.lastUpdate[address]) > peerTimeout
}

// inZone returns the public address of some peer in a zone that sent an update within the timeout; "" is none.
func (t *peerTable) inZone(now time.Time, zone string) string {
	for address, node := range t.nodes {
		if node.Zone == zone && now.Sub(t.lastUpdate[address]) < peerTimeout {
			return node.PublicAddress
		}
	}
	return ""
}

// controlNodes returns where the members of a view are, in their order. Of a member that has not said so yet, and is
// not self, only the address is known.
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
