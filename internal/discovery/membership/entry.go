package membership

// ConfirmKey is the reserved name with which an operator confirms a list in the registry itself: writing it drops
// the entries that are retained after a mass removal. It is never a backend.
const ConfirmKey = "_confirm"

// Entry is a backend as a registry describes it.
type Entry struct {
	Addr, Zone, Kind string
	Cell             int
	Draining         bool
	Weight           float64
	Started          int64 // Unix time in ms; 0 if long ago
}

// Item is a registry's entry under its name, with the revision at which it was last written.
type Item struct {
	Name        string
	ModRevision int64
	Malformed   string // why it can't be parsed; "" if it can
	Entry       Entry
}

// Snapshot is the complete list at one revision.
type Snapshot struct {
	History  uint64 // identifies the registry that numbers the revisions; it changes when the registry is set up anew
	Revision int64
	Items    []Item
	Stale    bool // read from a member that may lag, so newer revisions may exist
}

// Update is one transaction in a registry.
type Update struct {
	Revision int64
	Puts     []Item
	Deletes  []string
}
