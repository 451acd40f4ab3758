// Package state is the replicated state of the system: the configuration, the zones
// that are evacuated, the backends that have announced their end, and who holds
// which role. It is pure: equal operations in equal order make equal states.
package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
)

const (
	// mostDigests is how many accepted changes are remembered, so that the same call
	// is acknowledged again.
	mostDigests = 4096
	// mostRetired is how many backends that have announced their end are remembered.
	// Each start of a backend brings a new id, so old ones don't come back.
	mostRetired = 8192
	// mostEvacuations bounds the zones.
	mostEvacuations = 1024
)

// Machine is the state. One goroutine at a time may use it.
type Machine struct {
	state    *api.State              // but for the document
	document *configuration.Document // nil: none was taken
	retired  map[string]bool
}

// New makes an empty state.
func New() *Machine {
	m := &Machine{}
	m.Restore(&api.State{})
	return m
}

// Clone gives a copy on which operations can be tried.
func (m *Machine) Clone() *Machine {
	return &Machine{state: copyOf(m.state), document: m.document, retired: maps.Clone(m.retired)}
}

// copyOf copies a state but for its document.
func copyOf(s *api.State) *api.State {
	return &api.State{
		Version: s.Version, Digests: slices.Clone(s.Digests), Evacuations: slices.Clone(s.Evacuations),
		Retired: slices.Clone(s.Retired), Ownerships: slices.Clone(s.Ownerships), LastFencingToken: s.LastFencingToken, ForgottenVersion: s.ForgottenVersion,
	}
}

// State gives a copy of the state as a message.
func (m *Machine) State() *api.State {
	s := copyOf(m.state)
	if m.document != nil {
		s.Document = m.document.Raw()
	}
	return s
}

// Restore sets the state.
func (m *Machine) Restore(s *api.State) {
	if s == nil {
		s = &api.State{}
	}
	m.state = copyOf(s)
	m.document, m.retired = nil, map[string]bool{}
	if len(s.Document) > 0 {
		m.document, _ = configuration.Decode(s.Document) // it was checked when it was taken
	}
	for _, r := range s.Retired {
		m.retired[r.Id] = true
	}
}

// Document is the configuration in force, or nil.
func (m *Machine) Document() *configuration.Document { return m.document }

// Version is that of the configuration in force; 0 is none.
func (m *Machine) Version() uint64 { return m.state.Version }

// IsEvacuated tells whether a zone's backends are to get nothing.
func (m *Machine) IsEvacuated(zone string) bool {
	return slices.ContainsFunc(m.state.Evacuations, func(e *api.Evacuation) bool { return e.Zone == zone })
}

// IsRetired tells whether a backend has announced its end.
func (m *Machine) IsRetired(id string) bool { return m.retired[id] }

// Lease is who holds a role, or nil.
func (m *Machine) Lease(key string) *api.Ownership {
	for _, o := range m.state.Ownerships {
		if o.Key == key {
			return o
		}
	}
	return nil
}

// Leases are all roles that are held. They must not be changed.
func (m *Machine) Leases() []*api.Ownership { return m.state.Ownerships }

// Apply takes an entry's operations into the state. They were tried before they became an
// entry: documents are not checked again.
func (m *Machine) Apply(entry *api.Entry) {
	for _, operation := range entry.Operations {
		m.do(operation, configuration.Decode)
	}
}

// Execute tries one operation. changed tells whether the state is another one now; where it
// is not, the error says why, or the operation had its effect before.
func (m *Machine) Execute(operation *api.Operation) (changed bool, failure *result.Error) {
	return m.do(operation, configuration.Parse)
}

// reader reads a whole document.
type reader func(data []byte) (*configuration.Document, *result.Error)

func (m *Machine) do(operation *api.Operation, read reader) (changed bool, failure *result.Error) {
	switch kind := operation.Kind.(type) {
	case *api.Operation_Replace:
		return m.replace(kind.Replace, read)
	case *api.Operation_Modify:
		return m.modify(kind.Modify)
	case *api.Operation_Evacuation:
		return m.evacuate(kind.Evacuation)
	case *api.Operation_Retire:
		return m.retire(kind.Retire)
	case *api.Operation_Grant:
		return m.grant(kind.Grant)
	}
	return false, result.Errorf(result.Malformed, "an operation that is not known here")
}

func (m *Machine) replace(c *api.ReplaceConfiguration, read reader) (bool, *result.Error) {
	digest := digestOf('r', c.BaseVersion, c.Document)
	if m.taken(digest) {
		return false, nil
	}
	if c.BaseVersion != m.state.Version {
		return false, m.conflict(c.BaseVersion)
	}
	document, err := read(c.Document)
	if err != nil {
		return false, err
	}
	return m.put(document, digest)
}

func (m *Machine) modify(c *api.ModifyConfiguration) (bool, *result.Error) {
	digest := digestOf('m', c.BaseVersion, c.Change)
	if m.taken(digest) {
		return false, nil
	}
	if c.BaseVersion != m.state.Version || m.document == nil {
		return false, m.conflict(c.BaseVersion)
	}
	document, err := m.document.Modify(c.Change)
	if err != nil {
		return false, err
	}
	return m.put(document, digest)
}

// conflict is the answer to a change on top of a version that is not current. What was built on a
// version before the last one that is forgotten may have been taken: that is never refused.
func (m *Machine) conflict(base uint64) *result.Error {
	if base < m.state.ForgottenVersion {
		return result.Errorf(result.OutcomeUnknown, "built on version %d; which changes were taken up to version %d is not known any more",
			base, m.state.ForgottenVersion)
	}
	return result.Errorf(result.VersionConflict, "built on version %d, and %d is current", base, m.state.Version)
}

// put takes a document in force.
func (m *Machine) put(document *configuration.Document, digest []byte) (bool, *result.Error) {
	if document.Version <= m.state.Version {
		return false, result.Errorf(result.VersionTooLow, "version %d is not above %d", document.Version, m.state.Version)
	}
	m.state.Version, m.document = document.Version, document
	m.state.Digests = append(m.state.Digests, &api.Digest{Version: document.Version, Sum: digest})
	if extra := len(m.state.Digests) - mostDigests; extra > 0 {
		m.state.ForgottenVersion = m.state.Digests[extra-1].Version
		m.state.Digests = slices.Clone(m.state.Digests[extra:])
	}
	return true, nil
}

// taken tells whether the very same change was accepted before.
func (m *Machine) taken(digest []byte) bool {
	return slices.ContainsFunc(m.state.Digests, func(d *api.Digest) bool { return bytes.Equal(d.Sum, digest) })
}

// digestLength is enough that no two changes of a cluster share a digest.
const digestLength = 16

func digestOf(kind byte, base uint64, body []byte) []byte {
	hash := sha256.New()
	var head [9]byte
	head[0] = kind
	binary.LittleEndian.PutUint64(head[1:], base)
	hash.Write(head[:])
	hash.Write(body)
	return hash.Sum(nil)[:digestLength]
}

func (m *Machine) evacuate(e *api.SetEvacuation) (bool, *result.Error) {
	if e.Zone == "" {
		return false, result.Errorf(result.InvalidField, "a zone is needed")
	}
	if m.IsEvacuated(e.Zone) == e.Active {
		return false, nil
	}
	if e.Active {
		if len(m.state.Evacuations) >= mostEvacuations {
			return false, result.Errorf(result.TooLarge, "%d zones are evacuated", len(m.state.Evacuations))
		}
		m.state.Evacuations = append(m.state.Evacuations, &api.Evacuation{Zone: e.Zone})
		return true, nil
	}
	m.state.Evacuations = slices.DeleteFunc(m.state.Evacuations, func(o *api.Evacuation) bool { return o.Zone == e.Zone })
	return true, nil
}

func (m *Machine) retire(r *api.RetireBackend) (bool, *result.Error) {
	if r.Id == "" {
		return false, result.Errorf(result.InvalidField, "a backend's id is needed")
	}
	if m.retired[r.Id] {
		return false, nil
	}
	m.retired[r.Id] = true
	m.state.Retired = append(m.state.Retired, &api.Retired{Id: r.Id})
	if extra := len(m.state.Retired) - mostRetired; extra > 0 {
		for _, old := range m.state.Retired[:extra] {
			delete(m.retired, old.Id)
		}
		m.state.Retired = slices.Clone(m.state.Retired[extra:])
	}
	return true, nil
}

func (m *Machine) grant(g *api.GrantOwnership) (bool, *result.Error) {
	if g.Key == "" || g.Holder == "" {
		return false, result.Errorf(result.InvalidField, "a key and a holder are needed")
	}
	// A grant that was decided on an earlier holder comes late, or a second time.
	if held := m.Lease(g.Key); g.ReplacesFencingToken != nil && held.GetFencingToken() != g.GetReplacesFencingToken() {
		if held.GetHolder() == g.Holder {
			return false, nil
		}
		return false, result.Errorf(result.VersionConflict, "the role %s was under token %d, and is under %d", g.Key, g.GetReplacesFencingToken(), held.GetFencingToken())
	}
	m.state.LastFencingToken++
	owned := &api.Ownership{Key: g.Key, Holder: g.Holder, Address: g.Address, FencingToken: m.state.LastFencingToken}
	for i, o := range m.state.Ownerships {
		if o.Key == g.Key {
			m.state.Ownerships = slices.Clone(m.state.Ownerships)
			m.state.Ownerships[i] = owned
			return true, nil
		}
	}
	m.state.Ownerships = append(m.state.Ownerships, owned)
	return true, nil
}

// EvacuatedZones are the zones whose backends are to get nothing.
func (m *Machine) EvacuatedZones() []string {
	var zones []string
	for _, e := range m.state.Evacuations {
		zones = append(zones, e.Zone)
	}
	return zones
}
