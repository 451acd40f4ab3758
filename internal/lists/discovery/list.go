package discovery

import (
	"fmt"
	"net/netip"
	"time"

	"marlreel"
	"marlreel/internal/engine"
)

// List is the platform's form of the list, or of changes to it.
type List struct {
	Generation uint32     `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
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

var lifecycles = map[string]marlreel.State{"Ready": marlreel.Ready, "Terminating": marlreel.Draining,
	"Gone": marlreel.Gone}

// Check reads the entries. A list with one bad entry is bad as a whole: half of it
// would pass for all of it.
func (l *List) Check(names Names) ([]engine.Entry, error) {
	entries := make([]engine.Entry, len(l.Instances))
	for i, e := range l.Instances {
		state, known := lifecycles[e.Lifecycle]
		if e.InstanceID == "" || !known {
			return nil, fmt.Errorf("instance %d: id %q, lifecycle %q", i, e.InstanceID, e.Lifecycle)
		}
		entries[i] = engine.Entry{Name: e.InstanceID, Addr: e.HostPort, Zone: -1, Kind: -1, Cell: e.Cell, State: state, Weight: e.Weight}
		if state == marlreel.Gone {
			continue // it may come without the rest
		}
		if _, err := netip.ParseAddrPort(e.HostPort); err != nil {
			return nil, fmt.Errorf("instance %s: %w", e.InstanceID, err)
		}
		zone, known := names.Zones[e.Zone]
		if !known {
			return nil, fmt.Errorf("instance %s: unknown zone %q", e.InstanceID, e.Zone)
		}
		entries[i].Zone = zone
		if kind, known := names.Kinds[e.MachineType]; known {
			entries[i].Kind = kind
		}
		if e.StartedAtMs != 0 {
			entries[i].Started = time.UnixMilli(e.StartedAtMs)
		}
	}
	return entries, nil
}

// Engine is the list as the engine takes it.
func (l *List) Engine(kind marlreel.ListKind, entries []engine.Entry) engine.List {
	return engine.List{Kind: kind, Version: l.Generation, Entries: entries}
}
