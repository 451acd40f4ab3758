package registry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strings"

	"marlreel/internal/discovery/membership"
)

// Value is a node's entry as stored in the registry, under the prefix and the node's id. This is version 1.
type Value struct {
	Version int     `json:"v"`
	Address string  `json:"address"` // ip:port
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind,omitempty"`
	Cell    int     `json:"cell,omitempty"`
	State   string  `json:"state"` // ready or draining
	Weight  float64 `json:"weight,omitempty"`
	Started int64   `json:"started_ms,omitempty"` // Unix time
}

// Limits of an entry.
const (
	maxValueBytes = 4096
	maxNameBytes  = 128 // of an id, zone or kind
	maxWeight     = 1e6
)

// ParseItem parses the node's entry at a key. For a malformed entry it returns an item with the reason in Malformed.
func ParseItem(prefix, key string, value []byte, revision int64) membership.Item {
	name, underPrefix := strings.CutPrefix(key, prefix)
	item := membership.Item{Name: name, ModRevision: revision}
	if underPrefix && name == membership.ConfirmKey {
		return item
	}
	if !underPrefix || !validName(name) {
		item.Malformed = fmt.Sprintf("key %.140q: %s and an id of printable characters without spaces and slashes is needed", key, prefix)
		return item
	}
	v, err := parseValue(value)
	if err != nil {
		item.Malformed = err.Error()
		return item
	}
	item.Entry = membership.Entry{
		Addr: v.Address, Zone: v.Zone, Kind: v.Kind, Cell: v.Cell,
		Draining: v.State == "draining", Weight: v.Weight, Started: v.Started,
	}
	if v.Weight == 0 {
		item.Entry.Weight = 1
	}
	return item
}

func validName(name string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r == 0x7f || r == '/' }
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsFunc(name, invalid)
}

// parseValue parses a value. Its errors are ValueErrors.
func parseValue(data []byte) (Value, error) {
	if len(data) > maxValueBytes {
		return Value{}, &ValueError{fmt.Sprintf("%d bytes, and %d are the most", len(data), maxValueBytes)}
	}
	var v Value
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(&v); err != nil {
		return Value{}, &ValueError{fmt.Sprintf("no JSON: %s", oneLine(err))}
	}
	if decoder.More() {
		return Value{}, &ValueError{"more than one value"}
	}
	return v, v.validate()
}

func (v *Value) validate() error {
	_, badAddress := netip.ParseAddrPort(v.Address)
	switch {
	case v.Version != 1:
		return &ValueError{fmt.Sprintf("v = %d: 1 is needed", v.Version)}
	case badAddress != nil:
		return &ValueError{fmt.Sprintf("address = %.80q: ip:port is needed", v.Address)}
	case v.State != "ready" && v.State != "draining":
		return &ValueError{fmt.Sprintf("state = %.80q: ready or draining is needed", v.State)}
	case v.Zone == "" || len(v.Zone) > maxNameBytes || len(v.Kind) > maxNameBytes:
		return &ValueError{"zone is needed, and zone and kind of up to 128 bytes"}
	case !(v.Weight >= 0) || math.IsInf(v.Weight, 0) || v.Weight > maxWeight:
		return &ValueError{fmt.Sprintf("weight = %v: 0 (for 1) to a million is needed", v.Weight)}
	case v.Started < 0 || v.Cell < 0:
		return &ValueError{"started_ms and cell can't be below 0"}
	}
	return nil
}

// Encode returns a node's value for the registry. Its errors are ValueErrors.
func (v Value) Encode() ([]byte, error) {
	v.Version = 1
	data, err := json.Marshal(v)
	if err != nil {
		return nil, &ValueError{oneLine(err)} // such as a number that JSON can't represent
	}
	if _, err := parseValue(data); err != nil {
		return nil, err
	}
	return data, nil
}
