package state

import (
	"maps"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
)

// Machine is the state. One goroutine at a time may use it.
type Machine struct {
	state    *api.State              // but for the document
	document *configuration.Document // nil: none was accepted yet
	retired  map[string]bool         // the ids of state.Retired
}

// New makes an empty state.
func New() *Machine {
	m := &Machine{}
	m.Restore(&api.State{})
	return m
}

// Clone gives a copy on which operations can be tried.
func (m *Machine) Clone() *Machine {
	return &Machine{state: cloneState(m.state), document: m.document, retired: maps.Clone(m.retired)}
}

// cloneState copies a state but for its document. The messages in its lists are shared: they are never changed.
func cloneState(s *api.State) *api.State {
	return &api.State{
		Version: s.Version, Digests: slices.Clone(s.Digests), Evacuations: slices.Clone(s.Evacuations),
		Retired: slices.Clone(s.Retired), Ownerships: slices.Clone(s.Ownerships), LastFencingToken: s.LastFencingToken,
		ForgottenVersion: s.ForgottenVersion,
	}
}

// State gives a copy of the state as a message, for a snapshot.
func (m *Machine) State() *api.State {
	s := cloneState(m.state)
	if m.document != nil {
		s.Document = m.document.Raw()
	}
	return s
}

// Restore replaces the state by that of a snapshot; nil is the empty state.
func (m *Machine) Restore(s *api.State) {
	if s == nil {
		s = &api.State{}
	}
	m.state = cloneState(s)
	m.document, m.retired = nil, map[string]bool{}
	if len(s.Document) > 0 {
		m.document, _ = configuration.Decode(s.Document) // it was validated when it was accepted
	}
	for _, r := range s.Retired {
		m.retired[r.Id] = true
	}
}

// Apply executes the operations of a committed entry. They were executed on a clone before they became an entry, so
// documents are not validated again.
func (m *Machine) Apply(entry *api.Entry) {
	for _, operation := range entry.Operations {
		// One that is rejected changes nothing, on every member alike.
		_, _ = m.execute(operation, accepted())
	}
}

// Execute validates one operation and executes it. It reports whether the state has changed. If not, the error says why
// the operation was rejected; without an error it had its effect before.
func (m *Machine) Execute(operation *api.Operation) (bool, *result.Error) {
	return m.execute(operation, proposed())
}

// documentReader makes documents of whole ones and of changes, and validates them or not.
type documentReader struct {
	read   func(data []byte) (*configuration.Document, *result.Error)
	modify func(d *configuration.Document, change []byte) (*configuration.Document, *result.Error)
}

// proposed reads what is to be validated, and accepted what was.
func proposed() documentReader {
	return documentReader{configuration.Parse, (*configuration.Document).Modify}
}

func accepted() documentReader {
	return documentReader{configuration.Decode, (*configuration.Document).Merge}
}

func (m *Machine) execute(operation *api.Operation, reader documentReader) (bool, *result.Error) {
	switch kind := operation.Kind.(type) {
	case *api.Operation_Replace:
		return m.replace(kind.Replace, reader)
	case *api.Operation_Modify:
		return m.modify(kind.Modify, reader)
	case *api.Operation_Evacuation:
		return m.evacuate(kind.Evacuation)
	case *api.Operation_Retire:
		return m.retire(kind.Retire)
	case *api.Operation_Grant:
		return m.grant(kind.Grant)
	}
	return false, result.Errorf(result.Malformed, "an operation that is not known here")
}
