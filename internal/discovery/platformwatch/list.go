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

	entries    []engine.Entry // of Instances
	onlyDrains bool           // the drains of a list that can't be used: its generation does not count
}

// Instance is a backend in a list.
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

// Names are the indices that the settings give the names of zones and of kinds.
type Names struct{ Zones, Kinds map[string]int }

var lifecycles = map[string]balancer.State{
	"Ready": balancer.Ready, "Terminating": balancer.Draining,
	"Gone": balancer.Gone,
}

// ParseEntries reads the entries. A list with one bad entry is bad as a whole: half of it would pass for all of it.
// The error is a ListError.
func (l *List) ParseEntries(names Names) ([]engine.Entry, error) {
	entries := make([]engine.Entry, len(l.Instances))
	for i, instance := range l.Instances {
		entry, err := instance.entry(i, names)
		if err != nil {
			return nil, err
		}
		entries[i] = entry
	}
	return entries, nil
}

// drainsOnly is what a list that can't be used says, in entries that can, of backends that drain or are gone. A drain
// counts from when this proxy was first notified of it, whatever else is wrong with the list.
func (l *List) drainsOnly(names Names) *List {
	drains := &List{onlyDrains: true}
	for i, instance := range l.Instances {
		entry, err := instance.entry(i, names)
		if err != nil || entry.State == balancer.Ready {
			continue
		}
		drains.Instances = append(drains.Instances, instance)
		drains.entries = append(drains.entries, entry)
	}
	return drains
}

// entry reads an instance, the one at an index of the list.
func (e *Instance) entry(index int, names Names) (engine.Entry, error) {
	bad := func(key, format string, v ...any) (engine.Entry, error) {
		which := e.InstanceID
		if which == "" {
			which = fmt.Sprint("number ", index+1)
		}
		return engine.Entry{}, &ListError{Instance: which, Key: key, Err: fmt.Errorf(format, v...)}
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

// ForEngine is the list in the engine's form.
func (l *List) ForEngine(kind balancer.MembershipKind, entries []engine.Entry) engine.Membership {
	return engine.Membership{Kind: kind, Version: l.Generation, Entries: entries}
}
