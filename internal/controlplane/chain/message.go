package chain

import (
	"time"

	"marlreel/internal/api"
)

// Receive handles a message from another member. Messages may be lost, repeated, or delayed for any time. A message for
// another incarnation of this member, or from another view, has no effect on the log.
func (n *Node) Receive(now time.Duration, message *api.ChainMessage) Output {
	n.now = now
	if message.GetFrom() == nil || sameMember(message.From, n.durable.Self) {
		return n.takeOutput()
	}
	if to := message.To; to.GetIncarnation() != 0 && !sameMember(to, n.durable.Self) {
		// The message is for the member that had this address before its disk was lost. The sender's address may be
		// the only way for this process to find the chain.
		n.learnAddress(message.From.Address)
		return n.takeOutput()
	}
	p := n.markSeen(message)
	if message.View.GetNumber() > n.durable.View.Number {
		n.installView(message.View)
	}
	if heartbeat := message.GetHeartbeat(); heartbeat != nil {
		n.onHeartbeat(p, message, heartbeat)
		return n.takeOutput()
	}
	if message.ViewNumber != n.durable.View.Number {
		// One of the two nodes has missed a view; the reply carries the newer view if the sender missed it.
		n.send(message.From, n.heartbeatMessage())
		return n.takeOutput()
	}
	n.dispatch(message)
	return n.takeOutput()
}

// dispatch passes a message from the current view to its handler.
func (n *Node) dispatch(message *api.ChainMessage) {
	from := message.From
	switch body := message.Body.(type) {
	case *api.ChainMessage_Prepare:
		n.onPrepare(from, body.Prepare)
	case *api.ChainMessage_Promise:
		n.onPromise(from, body.Promise)
	case *api.ChainMessage_Accept:
		n.onAccept(from, body.Accept)
	case *api.ChainMessage_Accepted:
		n.onAccepted(from, body.Accepted)
	case *api.ChainMessage_SyncQuery:
		n.onSyncQuery(from)
	case *api.ChainMessage_SyncPosition:
		n.onSyncPosition(from, body.SyncPosition)
	case *api.ChainMessage_SyncData:
		n.onSyncData(from, body.SyncData)
	case *api.ChainMessage_SyncDone:
		n.onSyncDone(from, body.SyncDone)
	case *api.ChainMessage_CatchUp:
		n.onCatchUp(from, body.CatchUp)
	case *api.ChainMessage_Replicate:
		n.onReplicate(from, body.Replicate)
	case *api.ChainMessage_Acknowledge:
		n.onAcknowledge(from, body.Acknowledge)
	case *api.ChainMessage_Confirm:
		n.onConfirm(from, body.Confirm)
	case *api.ChainMessage_Confirmed:
		n.onConfirmed(from, body.Confirmed)
	}
}

// send adds a message to the output, and attaches the view if the receiver may not know it. A message to this node
// itself is dropped.
func (n *Node) send(to *api.Member, message *api.ChainMessage) {
	if sameMember(to, n.durable.Self) {
		return
	}
	message.From, message.To, message.ViewNumber = n.durable.Self, to, n.durable.View.Number
	if p := n.peers[MemberKey(to)]; p == nil || p.hasOlderView {
		message.View = n.durable.View
	}
	n.output.Messages = append(n.output.Messages, message)
}

// retransmit sends unanswered messages again.
func (n *Node) retransmit() {
	if n.wedged() {
		return
	}
	if n.syncing != nil {
		n.continueSync()
		return
	}
	n.retransmitEntry()
}

// retransmitDelay returns how long to wait before sending a message of size bytes again.
func (n *Node) retransmitDelay(size int) time.Duration {
	return n.config.RetransmitTimeout + n.transmissionTime(size)
}

// transmissionTime returns how long size bytes take on the slowest link that is assumed.
func (n *Node) transmissionTime(size int) time.Duration {
	return time.Duration(float64(size) / float64(n.config.MinLinkBytesPerSecond) * float64(time.Second))
}
