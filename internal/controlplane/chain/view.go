package chain

import "marlreel/internal/api"

// installView puts a newer agreed view in force here. The promise and acceptance for it are void, and with them the
// wedge. Entries of the view before that were not committed stay in the log: the new head decides on them.
func (n *Node) installView(view *api.View) {
	if view.GetNumber() <= n.durable.View.Number {
		return
	}
	n.durable.View = view
	n.durable.Promised, n.durable.AcceptedBallot, n.durable.AcceptedView = nil, nil, nil
	n.output.Save.View, n.output.Save.Acceptor = true, true
	n.proposal, n.viewNeededSince, n.syncing, n.catchUp = nil, 0, nil, nil
	clear(n.confirmations)
	for _, p := range n.peers {
		p.hasOlderView = true // until it says otherwise
	}
	n.output.ViewChanged = true
	n.report(ViewInstalled{Number: view.Number, Chain: addressesOf(view.Chain), Members: len(view.Members)})
	if n.isHead() {
		n.durable.SyncedView = view.Number
		n.output.Save.SyncedView = true
		n.startSync()
	}
}

// enterService records that this node's view is in service and how far it has committed.
//
// A head that makes the chain's logs equal does not enter service by others' reports, not even where it has only been
// restarted: what it proposed meanwhile would count as committed at the end of that, although members that have been
// made equal before don't have it.
func (n *Node) enterService(committed uint64) {
	if n.durable.SyncedView != n.durable.View.Number || n.syncing != nil {
		return
	}
	n.inServiceView = n.durable.View.Number
	if n.isTail() {
		// All before it have what it has. It may have answered reads by that before it was restarted.
		committed = n.durable.lastPosition().Sequence
	}
	n.commitUpTo(committed)
}
