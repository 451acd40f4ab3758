package chain

import "marlreel/internal/api"

// DurableState is what a member keeps on disk. The Node owns it: callers only read it, to save it.
type DurableState struct {
	// Self is this member, with the incarnation that it got when its disk was empty. It is always set.
	Self *api.Member
	// View is the newest view that this member knows to be agreed; nil before the first.
	View *api.View
	// Promised is the highest ballot promised for the view after View, or nil. While it is set, this member is wedged.
	Promised *api.Ballot
	// AcceptedBallot and AcceptedView are the ballot and view last accepted for the view after View, or nil.
	AcceptedBallot *api.Ballot
	AcceptedView   *api.View
	// SyncedView is the number of the view in which the log was last synchronized with the head's; 0 if it never was.
	SyncedView uint64
	// Snapshot is the state up to the entry that it names; nil is the empty state before the first entry.
	Snapshot *api.Snapshot
	// Entries is the log after the snapshot, in order and without gaps.
	Entries []*api.Entry
}

// Changes says which parts of a DurableState have to be written. All of them must be written in one atomic and
// synced write.
type Changes struct {
	Self bool
	View bool
	// Acceptor covers Promised, AcceptedBallot and AcceptedView, each of which may have become nil.
	Acceptor   bool
	SyncedView bool
	// Snapshot means that there is a new snapshot. The entries up to its sequence number are to be deleted.
	Snapshot bool
	// Appended are the entries to append to those on disk. It is empty if LogReplaced is set.
	Appended []*api.Entry
	// LogReplaced means that all entries on disk are to be replaced with those of the DurableState.
	LogReplaced bool
}

// Any reports whether anything has to be written.
func (c *Changes) Any() bool {
	return c.Self || c.View || c.Acceptor || c.SyncedView || c.Snapshot || c.LogReplaced || len(c.Appended) > 0
}

// LogIsIntact reports whether a log read from disk is valid: its entries must follow the snapshot and each other
// without gaps, and their hashes must match their content.
func (d *DurableState) LogIsIntact() bool {
	sequence, hash := d.Snapshot.GetSequence(), d.Snapshot.GetHash()
	for _, entry := range d.Entries {
		if entry.Sequence != sequence+1 || entry.PreviousHash != hash ||
			entry.Hash != entryHash(hash, entry.Sequence, entry.Operations) {
			return false
		}
		sequence, hash = entry.Sequence, entry.Hash
	}
	return true
}
