package chain

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// Receive takes a message in.
func (n *Node) Receive(now time.Duration, message *api.ChainMessage) Output {
	n.now = now
	if message.GetFrom() == nil || sameMember(message.From, n.durable.Self) {
		return n.take()
	}
	if to := message.To; to.GetIncarnation() != 0 && !sameMember(to, n.durable.Self) {
		// It is for the member that had this address before its disk was lost. Who sent it may
		// be all that can lead this one to the chain.
		n.meet(message.From.Address)
		return n.take()
	}
	p := n.heard(message)
	if message.View.GetNumber() > n.durable.View.Number {
		n.install(message.View)
	}
	if beat := message.GetHeartbeat(); beat != nil {
		n.onHeartbeat(p, message, beat)
		return n.take()
	}
	if message.ViewNumber != n.durable.View.Number {
		// One of the two has missed a view; the newer one goes with the answer.
		n.send(message.From, n.heartbeat())
		return n.take()
	}
	n.dispatch(message)
	return n.take()
}

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
		if !n.wedged() {
			n.confirmedBy(body.Confirmed.Token, from)
		}
	}
}

func (n *Node) onConfirm(from *api.Member, confirm *api.Confirm) {
	if n.wedged() || !n.isMember() {
		return
	}
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_Confirmed{Confirmed: &api.Confirmed{Token: confirm.Token}}})
}

// ---- Making the chain's logs equal, before a view is in service ----

// startSync lets the head of a new view find out what the others lack.
func (n *Node) startSync() {
	n.syncing = map[string]*syncState{}
	for _, member := range n.durable.View.Chain {
		if !sameMember(member, n.durable.Self) {
			n.syncing[MemberKey(member)] = &syncState{}
		}
	}
	n.continueSync()
}

// continueSync asks and tells those that have not caught up, again where nothing came back.
func (n *Node) continueSync() {
	done := true
	for _, member := range n.durable.View.Chain {
		state := n.syncing[MemberKey(member)]
		if state == nil || state.done {
			continue
		}
		done = false
		if state.askedAt > 0 && n.now-state.askedAt < n.cfg.RetransmitTimeout {
			continue
		}
		state.askedAt = max(n.now, 1)
		n.send(member, &api.ChainMessage{Body: &api.ChainMessage_SyncQuery{SyncQuery: &api.SyncQuery{}}})
	}
	if done {
		n.beginService()
	}
}

// beginService ends a head's preparation: all that its log holds is committed.
func (n *Node) beginService() {
	n.syncing = nil
	n.entersService(n.durable.last().Sequence)
	n.tellAll()
}

func (n *Node) onSyncQuery(from *api.Member) {
	if n.wedged() || !sameMember(from, n.Head()) {
		return
	}
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_SyncPosition{SyncPosition: &api.SyncPosition{Position: n.durable.last()}}})
}

func (n *Node) onSyncPosition(from *api.Member, reply *api.SyncPosition) {
	state := n.syncing[MemberKey(from)]
	if state == nil || state.done || n.wedged() || n.now < state.askedAt {
		return
	}
	data := &api.SyncData{Target: n.durable.last()}
	entries, holds := n.durable.entriesAfter(reply.Position.GetSequence(), reply.Position.GetHash())
	if !holds {
		data.Snapshot, entries = n.durable.Snapshot, n.durable.Entries
	}
	data.Entries = entries
	// It is not asked again for as long as that may be on its way.
	state.askedAt = n.now + n.travelTime(proto.Size(data))
	n.send(from, &api.ChainMessage{Body: &api.ChainMessage_SyncData{SyncData: data}})
}

// onSyncData makes this node's log equal to the head's.
func (n *Node) onSyncData(from *api.Member, data *api.SyncData) {
	if n.wedged() || !sameMember(from, n.Head()) || !n.inChain() {
		return
	}
	if end := n.durable.last(); n.durable.SyncedView == n.durable.View.Number && end.Sequence >= data.Target.GetSequence() {
		n.tellSynced(from) // it came twice
		return
	}
	if !n.takeLog(data.Snapshot, data.Entries, data.Target) {
		return
	}
	n.durable.SyncedView = n.durable.View.Number
	n.out.Save.SyncedView = true
	n.tellSynced(from)
}

func (n *Node) tellSynced(head *api.Member) {
	n.send(head, &api.ChainMessage{Body: &api.ChainMessage_SyncDone{SyncDone: &api.SyncDone{Position: n.durable.last()}}})
}

// takeLog takes entries behind this log, or a snapshot and the entries behind it in place of it. It tells whether they
// lead to the target: this log may have changed since it was looked at.
func (n *Node) takeLog(snapshot *api.Snapshot, entries []*api.Entry, target *api.Position) bool {
	start := n.durable.last()
	if snapshot != nil {
		start = &api.Position{Sequence: snapshot.Sequence, Hash: snapshot.Hash}
	}
	if !leadsTo(start, entries, target) {
		return false
	}
	if snapshot != nil {
		n.replaceLog(snapshot, entries)
		return true
	}
	for _, entry := range entries {
		n.append(entry)
	}
	return true
}

// leadsTo tells whether entries follow one another from a position to a target.
func leadsTo(start *api.Position, entries []*api.Entry, target *api.Position) bool {
	sequence, hash := start.Sequence, start.Hash
	for _, entry := range entries {
		if entry.Sequence != sequence+1 || entry.PreviousHash != hash {
			return false
		}
		sequence, hash = entry.Sequence, entry.Hash
	}
	return sequence == target.GetSequence() && hash == target.GetHash()
}

// replaceLog takes the head's log in place of this one, which parts from it or is too old.
func (n *Node) replaceLog(snapshot *api.Snapshot, entries []*api.Entry) {
	n.durable.Snapshot, n.durable.Entries = snapshot, slices.Clone(entries)
	n.logBytes = bytesOf(entries)
	n.out.Save.LogReplaced, n.out.Save.Snapshot = true, true
	n.out.Save.Appended = nil
	if n.committed < snapshot.Sequence {
		n.committed = snapshot.Sequence
		n.machine.Restore(snapshot.State)
		n.out.SnapshotRestored = true
	}
}

func (n *Node) onSyncDone(from *api.Member, done *api.SyncDone) {
	state := n.syncing[MemberKey(from)]
	end := n.durable.last()
	if state == nil || done.Position.GetSequence() != end.Sequence || done.Position.GetHash() != end.Hash {
		return
	}
	state.done = true
	n.continueSync()
}

// ---- Entries ----

func (n *Node) append(entry *api.Entry) {
	size := proto.Size(entry)
	n.durable.Entries = append(n.durable.Entries, entry)
	n.out.Save.Appended = append(n.out.Save.Appended, entry)
	n.logBytes += size
	n.resendAt = n.now + n.resendAfter(size)
}

// passOn hands an entry down the chain. At its end the entry is committed.
func (n *Node) passOn(entry *api.Entry) {
	if next := n.neighbour(1); next != nil {
		n.send(next, &api.ChainMessage{Body: &api.ChainMessage_Replicate{
			Replicate: &api.Replicate{Entry: entry, Committed: n.committed},
		}})
		return
	}
	n.commit(entry.Sequence)
	n.acknowledge(entry)
}

func (n *Node) acknowledge(entry *api.Entry) {
	if previous := n.neighbour(-1); previous != nil {
		n.send(previous, &api.ChainMessage{Body: &api.ChainMessage_Acknowledge{
			Acknowledge: &api.Acknowledge{Sequence: entry.Sequence, Hash: entry.Hash},
		}})
	}
}

func (n *Node) onReplicate(from *api.Member, replicate *api.Replicate) {
	entry := replicate.Entry
	if n.wedged() || entry == nil || n.durable.SyncedView != n.durable.View.Number || !sameMember(from, n.neighbour(-1)) {
		return
	}
	n.entersService(replicate.Committed) // a head proposes only in a view in service
	end := n.durable.last()
	switch {
	case entry.Sequence == end.Sequence && entry.Hash == end.Hash:
		if n.committed >= entry.Sequence {
			n.acknowledge(entry)
			return
		}
	case entry.Sequence == end.Sequence+1 && entry.PreviousHash == end.Hash:
		n.append(entry)
	default:
		return
	}
	n.passOn(entry)
}

func (n *Node) onAcknowledge(from *api.Member, ack *api.Acknowledge) {
	end := n.durable.last()
	if n.wedged() || !sameMember(from, n.neighbour(1)) || ack.Sequence != end.Sequence || ack.Hash != end.Hash {
		return
	}
	if n.committed >= ack.Sequence {
		return
	}
	entry := n.durable.Entries[len(n.durable.Entries)-1]
	n.commit(ack.Sequence)
	n.acknowledge(entry)
}

// resend repeats what was not answered.
func (n *Node) resend() {
	if n.wedged() {
		return
	}
	if n.syncing != nil {
		n.continueSync()
		return
	}
	end := n.durable.last()
	if !n.inService() || n.committed >= end.Sequence || n.now < n.resendAt || n.neighbour(1) == nil {
		return
	}
	last := n.durable.Entries[len(n.durable.Entries)-1]
	n.resendAt = n.now + n.resendAfter(proto.Size(last))
	n.passOn(last)
}
