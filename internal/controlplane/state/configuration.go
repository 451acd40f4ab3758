package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"

	"marlreel/internal/api"
	"marlreel/internal/controlplane/configuration"
	"marlreel/internal/controlplane/result"
)

// maxDigests is how many accepted changes are remembered, so that a repeated call is acknowledged again.
const maxDigests = 4096

// Document returns the current configuration, or nil if none was accepted yet.
func (m *Machine) Document() *configuration.Document { return m.document }

// Version returns the version of the current configuration, or 0 if none was accepted yet.
func (m *Machine) Version() uint64 { return m.state.Version }

func (m *Machine) replace(c *api.ReplaceConfiguration, reader documentReader) (bool, *result.Error) {
	digest := changeDigest(replaceKind, c.BaseVersion, c.Document)
	if m.wasAccepted(digest) {
		return false, nil
	}
	if c.BaseVersion != m.state.Version {
		return false, m.conflict(c.BaseVersion)
	}
	document, err := reader.read(c.Document)
	if err != nil {
		return false, err
	}
	return m.setDocument(document, digest)
}

func (m *Machine) modify(c *api.ModifyConfiguration, reader documentReader) (bool, *result.Error) {
	digest := changeDigest(modifyKind, c.BaseVersion, c.Change)
	if m.wasAccepted(digest) {
		return false, nil
	}
	if c.BaseVersion != m.state.Version || m.document == nil {
		return false, m.conflict(c.BaseVersion)
	}
	document, err := reader.modify(m.document, c.Change)
	if err != nil {
		return false, err
	}
	return m.setDocument(document, digest)
}

// conflict returns the error for a change based on a version that is not current. A change based on a version before
// ForgottenVersion may have been accepted and its digest dropped since, so its outcome is unknown and it must not be
// rejected.
func (m *Machine) conflict(base uint64) *result.Error {
	if base < m.state.ForgottenVersion {
		return result.Errorf(result.OutcomeUnknown, "built on version %d; which changes were taken up to version %d is not known any more",
			base, m.state.ForgottenVersion)
	}
	return result.Errorf(result.VersionConflict, "built on version %d, and %d is current", base, m.state.Version)
}

// setDocument makes a document the current configuration.
func (m *Machine) setDocument(document *configuration.Document, digest []byte) (bool, *result.Error) {
	if document.Version <= m.state.Version {
		return false, result.Errorf(result.VersionTooLow, "version %d is not above %d", document.Version, m.state.Version)
	}
	m.state.Version, m.document = document.Version, document
	m.state.Digests = append(m.state.Digests, &api.Digest{Version: document.Version, Sum: digest})
	if extra := len(m.state.Digests) - maxDigests; extra > 0 {
		m.state.ForgottenVersion = m.state.Digests[extra-1].Version
		m.state.Digests = slices.Clone(m.state.Digests[extra:])
	}
	return true, nil
}

// wasAccepted reports whether the same change was accepted before.
func (m *Machine) wasAccepted(digest []byte) bool {
	return slices.ContainsFunc(m.state.Digests, func(d *api.Digest) bool { return bytes.Equal(d.Sum, digest) })
}

const (
	// digestBytes is long enough that no two changes in a cluster have the same digest.
	digestBytes = 16
	// replaceKind and modifyKind distinguish the digests of the two kinds of changes. They are part of stored digests.
	replaceKind = 'r'
	modifyKind  = 'm'
)

func changeDigest(kind byte, base uint64, body []byte) []byte {
	hash := sha256.New()
	var header [9]byte
	header[0] = kind
	binary.LittleEndian.PutUint64(header[1:], base)
	hash.Write(header[:])
	hash.Write(body)
	return hash.Sum(nil)[:digestBytes]
}
