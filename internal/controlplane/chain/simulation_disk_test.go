package chain

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

func cloneDurable(d *DurableState) DurableState {
	next := *d
	next.Entries = slices.Clone(d.Entries)
	return next
}

// save returns the content of a disk after exactly the changed parts were written to it. It copies them, so that the
// disk shares nothing with the running node.
func save(disk, now *DurableState, changed Changes) DurableState {
	next := cloneDurable(disk)
	if changed.Self {
		next.Self = proto.CloneOf(now.Self)
	}
	if changed.View {
		next.View = proto.CloneOf(now.View)
	}
	if changed.Acceptor {
		next.Promised = proto.CloneOf(now.Promised)
		next.AcceptedBallot = proto.CloneOf(now.AcceptedBallot)
		next.AcceptedView = proto.CloneOf(now.AcceptedView)
	}
	if changed.SyncedView {
		next.SyncedView = now.SyncedView
	}
	added := changed.Appended
	if changed.LogReplaced {
		next.Entries, added = nil, now.Entries
	}
	next.Entries = append(next.Entries, cloneEntries(added)...)
	if changed.Snapshot {
		next.Snapshot = proto.CloneOf(now.Snapshot)
	}
	next.Entries = slices.DeleteFunc(next.Entries, func(e *api.Entry) bool { return e.Sequence <= next.Snapshot.GetSequence() })
	return next
}

func cloneEntries(entries []*api.Entry) []*api.Entry {
	clones := make([]*api.Entry, 0, len(entries))
	for _, entry := range entries {
		clones = append(clones, proto.CloneOf(entry))
	}
	return clones
}

// load returns the state that a starting process reads from a disk.
func load(disk *DurableState) DurableState {
	var empty DurableState
	all := Changes{Self: true, View: true, Acceptor: true, SyncedView: true, LogReplaced: true, Snapshot: true}
	return save(&empty, disk, all)
}
