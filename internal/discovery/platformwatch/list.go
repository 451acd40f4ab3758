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

	entries    []engine.Entry // parsed Instances
	onlyDrains bool           // holds only the drains of a malformed list; Generation is not set
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
	StartedAtMs int64   `json:"startedAtMs"` // Unix time; 0 means long ago
}

// Names maps the names of zones and machine kinds to their indices in the settings.
type Names struct{ Zones, Kinds map[string]int }

var lifecycles = map[string]balancer.State{
	"Ready": balancer.Ready, "Terminating": balancer.Draining,
	"Gone": balancer.Gone,
}

// ParseEntries parses the instances. One malformed entry makes the whole list unusable: otherwise an incomplete list
// would be taken for the full one. The error is a ListError.
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

// drainsOnly returns the valid entries of a malformed list whose backends drain or are gone. A drain takes effect when
// this proxy is first notified of it, whatever else is wrong with the list.
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

// entry parses the instance, which is at the given index of the list.
func (e *Instance) entry(index int, names Names) (engine.Entry, error) {
	malformed := func(key, format string, v ...any) (engine.Entry, error) {
		which := e.InstanceID
		if which == "" {
			which = fmt.Sprint("number ", index+1)
		}
		return engine.Entry{}, &ListError{Instance: which, Key: key, Err: fmt.Errorf(format, v...)}
	}
	state, known := lifecycles[e.Lifecycle]
	switch {
	case e.InstanceID == "":
		return malformed("instanceId", "missing or empty; each instance needs a unique one")
	case !known:
		return malformed("lifecycle", "%.40q is not Ready, Terminating or Gone", e.Lifecycle)
	}
	entry := engine.Entry{Name: e.InstanceID, Addr: e.HostPort, Zone: -1, Kind: -1, Cell: e.Cell, State: state, Weight: e.Weight}
	if state == balancer.Gone {
		return entry, nil // the other fields may be missing
	}
	if _, err := netip.ParseAddrPort(e.HostPort); err != nil {
		return malformed("hostPort", "%.80q is not an IP address with a port", e.HostPort)
	}
	if entry.Zone, known = names.Zones[e.Zone]; !known {
		return malformed("zone", "%.80q is not in the FailureDomains of the settings", e.Zone)
	}
	if kind, known := names.Kinds[e.MachineType]; known {
		entry.Kind = kind
	}
	if e.StartedAtMs != 0 {
		entry.Started = time.UnixMilli(e.StartedAtMs)
	}
	return entry, nil
}

// ForEngine returns the list in the engine's form.
func (l *List) ForEngine(kind balancer.MembershipKind, entries []engine.Entry) engine.Membership {
	return engine.Membership{Kind: kind, Version: l.Generation, Entries: entries}
}
