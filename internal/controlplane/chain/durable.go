package chain

import "marlreel/internal/api"

// DurableState is what a member keeps on disk. A Node owns it: callers read it to save it and change nothing.
type DurableState struct {
	// Self is this member, with the incarnation that it has had since its disk was empty. It is always set.
	Self *api.Member
	// View is the newest view that this member knows to be agreed; nil before the first.
	View *api.View
	// Promised is the highest ballot promised for the view after View; nil: none was. While it is set this member is
	// wedged.
	Promised *api.Ballot
	// AcceptedBallot and AcceptedView are the last that was accepted for the view after View; nil: nothing was.
	AcceptedBallot *api.Ballot
	AcceptedView   *api.View
	// SyncedView is the number of the view in which the log was last made equal to the head's; 0: it never was.
	SyncedView uint64
	// Snapshot is the state up to the entry that it names; nil: the empty state before the first entry.
	Snapshot *api.Snapshot
	// Entries are the log after the snapshot, in order and without gaps.
	Entries []*api.Entry
}

// Changes says which parts of a DurableState have to be written. All of them must be written in one atomic and
// synced write.
type Changes struct {
	Self bool
	View bool
	// Acceptor: Promised, AcceptedBallot and AcceptedView, each of which may have become nil.
	Acceptor   bool
	SyncedView bool
	// Snapshot: a new snapshot, which covers the entries up to its sequence number: these are to be deleted.
	Snapshot bool
	// Appended are entries behind those on disk. It is empty where LogReplaced is set.
	Appended []*api.Entry
	// LogReplaced: all entries on disk are to be replaced by those of the DurableState.
	LogReplaced bool
}

// Any tells whether anything has to be written.
func (c *Changes) Any() bool {
	return c.Self || c.View || c.Acceptor || c.SyncedView || c.Snapshot || c.LogReplaced || len(c.Appended) > 0
}

// LogIsIntact tells whether a log that was read from disk is one that was written: whether its entries follow the
// snapshot and each other without gaps, and have the hashes of their content.
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
