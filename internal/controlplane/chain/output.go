package chain

import "marlreel/internal/api"

// Output is what a Node wants done. The caller carries it out in the order of the fields, whole, before it calls the
// Node again. The Node keeps no reference to an Output's slices; messages and entries are shared and must not be changed.
type Output struct {
	// Events are for the log, in the order in which they happened. Nothing depends on them.
	Events []Event
	// Save says which parts of Node.DurableState must be on disk, synced, before any of Messages goes out and before
	// anything that Committed or ConfirmedTokens names is answered. If that fails, the Node must not be called again:
	// what its disk holds is not known.
	Save Changes
	// Messages are to be sent to their field To, by its address. They may be lost, repeated and reordered; what
	// matters is sent again.
	Messages []*api.ChainMessage
	// ViewChanged: another view is in force here. What was proposed at this node and is not among Committed may be
	// lost if it is no longer head, and tokens of ConfirmView that have not come back never will.
	ViewChanged bool
	// SnapshotRestored: the state machine was set to DurableState.Snapshot, and the entries in between were skipped.
	// Committed holds only what came after it.
	SnapshotRestored bool
	// Committed are the entries that the state machine was given during the call, in order. Their proposer may
	// acknowledge them.
	Committed []*api.Entry
	// ConfirmedTokens are tokens of ConfirmView that a majority has confirmed: when the call began, this node's view
	// was the newest.
	ConfirmedTokens []uint64
}

// takeOutput gives what has gathered since it was called last.
func (n *Node) takeOutput() Output {
	output := n.output
	n.output = Output{}
	return output
}

func (n *Node) report(event Event) { n.output.Events = append(n.output.Events, event) }
