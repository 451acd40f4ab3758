package chain

import "marlreel/internal/api"

// installView makes a newer agreed view this node's current one. That discards the promise and acceptance for it, so
// the node is no longer wedged. Uncommitted entries of the previous view stay in the log: the new head's log decides
// whether they are kept.
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
		p.hasOlderView = true // until a message from it says otherwise
	}
	n.output.ViewChanged = true
	n.report(ViewInstalled{Number: view.Number, Chain: addressesOf(view.Chain), Members: len(view.Members)})
	if n.isHead() {
		n.durable.SyncedView = view.Number
		n.output.Save.SyncedView = true
		n.startSync()
	}
}

// enterService records that this node's view is in service, and commits up to the given sequence number.
//
// A head that is synchronizing the chain ignores other members' reports of service, even if it was only restarted in
// the same view. Otherwise an entry that it proposes meanwhile would count as committed when synchronization
// finishes, although members that were synchronized earlier don't have it.
func (n *Node) enterService(committed uint64) {
	if n.durable.SyncedView != n.durable.View.Number || n.syncing != nil {
		return
	}
	n.inServiceView = n.durable.View.Number
	if n.isTail() {
		// All members before the tail have its whole log, and the tail may have answered reads from it before a restart.
		committed = n.durable.lastPosition().Sequence
	}
	n.commitUpTo(committed)
}
