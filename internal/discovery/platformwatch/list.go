package platformwatch

import (
	"fmt"
	"net/netip"
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
)

// List is the platform's form of the list, or of changes to it.
type List struct {
	Generation uint32     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`

	entries    []engine.Entry // as Check gave them
	onlyDrains bool           // it is a part of one that can't be used: its number says nothing
}

// Instance is a backend in it.
type Instance struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0 is long ago
}

// Names are the positions that the settings give the names of zones and of kinds.
type Names struct{ Zones, Kinds map[string]int }

var lifecycles = map[string]balancer.State{
	"Ready": balancer.Ready, "Terminating": balancer.Draining,
	"Gone": balancer.Gone,
}

// ListError is a list, or a change to it, that can't be used. The one before stands.
type ListError struct {
	Instance string // its id, or its place in the list; "" is that the list itself can't be read
	Key      string
	Err      error // what is wrong, or what would be right
}

func (e *ListError) Error() string {
	if e.Instance == "" {
		return fmt.Sprintf("bad line: the list can't be read: %v", e.Err)
	}
	return fmt.Sprintf("bad line: instance %s: %s: %v", e.Instance, e.Key, e.Err)
}
func (e *ListError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListError) Advice() string {
	return "mend that entry where the platform keeps its list; until then this proxy goes by the list before, and heeds drains alone"
}

// ParseEntries reads the entries. A list with one bad entry is bad as a whole: half of it
// would pass for all of it.
func (l *List) ParseEntries(names Names) ([]engine.Entry, error) {
	entries := make([]engine.Entry, len(l.Instances))
	for i, e := range l.Instances {
		var err error
		if entries[i], err = e.entry(i, names); err != nil {
			return nil, err
		}
	}
	return entries, nil
}

// drainsOnly is what a list that can't be used says, in entries that can, of backends that drain or are gone. Danger:
// the rule on drains counts from when this was told, whatever else is wrong with the list.
func (l *List) drainsOnly(names Names) *List {
	part := &List{onlyDrains: true}
	for i, e := range l.Instances {
		if entry, err := e.entry(i, names); err == nil && entry.State != balancer.Ready {
			part.Instances, part.entries = append(part.Instances, e), append(part.entries, entry)
		}
	}
	return part
}

func (e *Instance) entry(i int, names Names) (engine.Entry, error) {
	bad := func(key, format string, v ...any) (engine.Entry, error) {
		which := e.InstanceID
		if which == "" {
			which = fmt.Sprint("number ", i+1)
		}
		return engine.Entry{}, &ListError{which, key, fmt.Errorf(format, v...)}
	}
	state, known := lifecycles[e.Lifecycle]
	switch {
	case e.InstanceID == "":
		return bad("instanceId", "it is missing, and each has one of its own")
	case !known:
		return bad("lifecycle", "%.40q is not Ready, Terminating or Gone", e.Lifecycle)
	}
	entry := engine.Entry{Name: e.InstanceID, Addr: e.HostPort, Zone: -1, Kind: -1, Cell: e.Cell, State: state, Weight: e.Weight}
	if state == balancer.Gone {
		return entry, nil // it may come without the rest
	}
	if _, err := netip.ParseAddrPort(e.HostPort); err != nil {
		return bad("hostPort", "%.80q is no address with a port", e.HostPort)
	}
	if entry.Zone, known = names.Zones[e.Zone]; !known {
		return bad("zone", "%.80q is not one of the settings' FailureDomains", e.Zone)
	}
	if kind, known := names.Kinds[e.MachineType]; known {
		entry.Kind = kind
	}
	if e.StartedAtMs != 0 {
		entry.Started = time.UnixMilli(e.StartedAtMs)
	}
	return entry, nil
}

// ForEngine is the list as the engine takes it.
func (l *List) ForEngine(kind balancer.ListKind, entries []engine.Entry) engine.List {
	return engine.List{Kind: kind, Version: l.Generation, Entries: entries}
}
