package chain

import (
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// Before a view is in service, its head synchronizes the logs of the chain with its own: it asks each member for its
// position (SyncQuery, SyncPosition), sends the entries that it lacks (SyncData), and waits until it has them on disk
// (SyncDone).

// syncProgress is the head's progress in synchronizing one member.
type syncProgress struct {
	done bool
	// sentAt is when the last query was sent to the member, or, while data is in flight, when that should have arrived;
	// 0 if nothing was sent yet.
	sentAt time.Duration
}

// startSync starts synchronizing the chain with this node, the head of a new view.
func (n *Node) startSync() {
	n.syncing = map[string]*syncProgress{}
	for _, member := range n.durable.View.Chain {
		if !sameMember(member, n.durable.Self) {
			n.syncing[MemberKey(member)] = &syncProgress{}
		}
	}
	n.continueSync()
}

// continueSync queries the members that are not synchronized yet, and queries them again if they did not answer.
func (n *Node) continueSync() {
	done := true
	for _, member := range n.durable.View.Chain {
		progress := n.syncing[MemberKey(member)]
		if progress == nil || progress.done {
			continue
		}
		done = false
		if progress.sentAt > 0 && n.now-progress.sentAt < n.config.RetransmitTimeout {
			continue
		}
		progress.sentAt = max(n.now, 1)
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_SyncQuery{SyncQuery: &api.SyncQuery{}}})
	}
	if done {
		n.finishSync()
	}
}

// finishSync puts the view in service. Every member of the chain has the head's log on disk, so the whole log is
// committed.
func (n *Node) finishSync() {
	n.syncing = nil
	n.enterService(n.durable.lastPosition().Sequence)
	n.sendMemberHeartbeats()
}

func (n *Node) onSyncQuery(from *api.Member) {
	if n.wedged() || !sameMember(from, n.Head()) {
		return
	}
	position := &api.SyncPosition{Position: n.durable.lastPosition()}
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_SyncPosition{SyncPosition: position}})
}

func (n *Node) onSyncPosition(from *api.Member, reply *api.SyncPosition) {
	progress := n.syncing[MemberKey(from)]
	if progress == nil || progress.done || n.wedged() || n.now < progress.sentAt {
		return
	}
	data := &api.SyncData{Target: n.durable.lastPosition()}
	entries, found := n.durable.entriesAfter(reply.Position.GetSequence(), reply.Position.GetHash())
	if !found {
		data.Snapshot, entries = n.durable.Snapshot, n.durable.Entries
	}
	data.Entries = entries
	// Don't query the member again while the data may be in flight.
	progress.sentAt = n.now + n.transmissionTime(proto.Size(data))
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_SyncData{SyncData: data}})
}

// onSyncData brings this node's log up to the head's.
func (n *Node) onSyncData(from *api.Member, data *api.SyncData) {
	if n.wedged() || !sameMember(from, n.Head()) || !n.inChain() {
		return
	}
	synced := n.durable.SyncedView == n.durable.View.Number
	if synced && n.durable.lastPosition().Sequence >= data.Target.GetSequence() {
		n.sendSyncDone(from) // the data is a duplicate
		return
	}
	if !n.extendLog(data.Snapshot, data.Entries, data.Target) {
		return
	}
	n.durable.SyncedView = n.durable.View.Number
	n.output.Save.SyncedView = true
	n.sendSyncDone(from)
}

func (n *Node) sendSyncDone(head *api.Member) {
	done := &api.SyncDone{Position: n.durable.lastPosition()}
	n.send(head, &api.ChainMessage{Body: &api.ChainMessage_SyncDone{SyncDone: done}})
}

func (n *Node) onSyncDone(from *api.Member, done *api.SyncDone) {
	progress := n.syncing[MemberKey(from)]
	end := n.durable.lastPosition()
	if progress == nil || done.Position.GetSequence() != end.Sequence || done.Position.GetHash() != end.Hash {
		return
	}
	progress.done = true
	n.continueSync()
}
