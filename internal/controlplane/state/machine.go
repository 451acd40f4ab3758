package state

import (
	"maps"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
)

// Machine is the replicated state machine. It is not safe for concurrent use.
type Machine struct {
	state    *api.State              // without the document
	document *configuration.Document // nil if none was accepted yet
	retired  map[string]bool         // the ids in state.Retired
}

// New creates a Machine with an empty state.
func New() *Machine {
	m := &Machine{}
	m.Restore(&api.State{})
	return m
}

// Clone returns a copy on which operations can be tried.
func (m *Machine) Clone() *Machine {
	return &Machine{state: cloneState(m.state), document: m.document, retired: maps.Clone(m.retired)}
}

// cloneState copies a state without its document. The copy shares the messages in the lists, which are never changed.
func cloneState(s *api.State) *api.State {
	return &api.State{
		Version: s.Version, Digests: slices.Clone(s.Digests), Evacuations: slices.Clone(s.Evacuations),
		Retired: slices.Clone(s.Retired), Ownerships: slices.Clone(s.Ownerships), LastFencingToken: s.LastFencingToken,
		ForgottenVersion: s.ForgottenVersion,
	}
}

// State returns a copy of the state as a message, for a snapshot.
func (m *Machine) State() *api.State {
	s := cloneState(m.state)
	if m.document != nil {
		s.Document = m.document.Raw()
	}
	return s
}

// Restore replaces the state with that of a snapshot; nil is the empty state.
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
		// A rejected operation changes nothing, on all members alike.
		_, _ = m.execute(operation, accepted())
	}
}

// Execute validates and executes an operation. It reports whether the state has changed. If it has not, the error
// says why the operation was rejected; a nil error means that the operation had already taken effect.
func (m *Machine) Execute(operation *api.Operation) (bool, *result.Error) {
	return m.execute(operation, proposed())
}

// documentReader parses whole documents, and applies changes to documents. It may validate the results.
type documentReader struct {
	read   func(data []byte) (*configuration.Document, *result.Error)
	modify func(d *configuration.Document, change []byte) (*configuration.Document, *result.Error)
}

// proposed returns a reader that validates documents, for operations that are proposed.
func proposed() documentReader {
	return documentReader{configuration.Parse, (*configuration.Document).Modify}
}

// accepted returns a reader that does not validate, for operations that were validated when they were proposed.
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
