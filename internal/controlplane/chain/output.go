package chain

import "marlreel/internal/api"

// Output holds the actions that a Node requests. The caller carries out all of them, in the order of the fields, before
// it calls the Node again. The Node keeps no reference to an Output's slices, but messages and entries are shared and
// must not be changed.
type Output struct {
	// Events are for the event log, in the order in which they happened. They have no effect on the protocol.
	Events []Event
	// Save says which parts of Node.DurableState must be written and synced to disk before any of Messages is sent and
	// before any caller waiting for Committed or ConfirmedTokens gets its answer. If saving fails, the Node must not be
	// called again, because the content of its disk is unknown.
	Save Changes
	// Messages are to be sent to the address in their field To. They may be lost, repeated and reordered; the protocol
	// retransmits where it must.
	Messages []*api.ChainMessage
	// ViewChanged says that this node has installed another view. If the node is no longer head, entries that it
	// proposed and that are not among Committed may be lost. Tokens of ConfirmView that are still outstanding will never
	// be confirmed.
	ViewChanged bool
	// SnapshotRestored says that the state machine was restored from DurableState.Snapshot without applying the entries
	// before it. Committed holds only entries after the snapshot.
	SnapshotRestored bool
	// Committed are the entries applied to the state machine during the call, in order. Their proposer may acknowledge
	// them.
	Committed []*api.Entry
	// ConfirmedTokens are tokens of ConfirmView that a majority has confirmed: this node's view was the newest when
	// ConfirmView was called.
	ConfirmedTokens []uint64
}

// takeOutput returns the output collected since the last call, and resets it.
func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

func (n *Node) report(event Event) { n.output.Events = append(n.output.Events, event) }
