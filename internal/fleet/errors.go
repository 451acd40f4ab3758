package fleet

import (
	"fmt"
	"strings"

	"marlreel/internal/actionable"
	"marlreel/internal/fleet/agree"
)

var (
	_ actionable.Error = (*ConfigError)(nil)
	_ actionable.Error = (*NoLeaderError)(nil)
	_ actionable.Error = (*RefusedError)(nil)
	_ actionable.Error = (*StaleFileError)(nil)
	_ actionable.Error = (*NoVersionError)(nil)
	_ actionable.Error = (*VersionError)(nil)
	_ actionable.Error = (*StaleMembershipError)(nil)
	_ actionable.Error = (*DivergentMembershipsError)(nil)
	_ actionable.Error = (*SocketError)(nil)
)

// ConfigError is an invalid key of [fleet].
type ConfigError struct{ Key, Want string }

// Error implements error.
func (e *ConfigError) Error() string { return e.Key + " " + e.Want }

// Advice implements actionable.Error.
func (e *ConfigError) Advice() string {
	return "correct the key in the file of --config; 'marlreel --check' checks the file"
}

// NoLeaderError is a request that no leader has answered in time.
type NoLeaderError struct{ Keepers []string }

// Error implements error.
func (e *NoLeaderError) Error() string {
	return "no keeper that leads has answered: " + strings.Join(e.Keepers, ", ")
}

// Advice implements actionable.Error.
func (e *NoLeaderError) Advice() string {
	return "see with 'marlreelctl fleet members' whether a majority of the keepers lives and reaches one another; what was proposed may still be decided: look at 'marlreelctl fleet versions' before proposing it again"
}

// RefusedError is a proposal that was rejected.
type RefusedError struct{ Result agree.Result }

// Error implements error.
func (e *RefusedError) Error() string {
	if e.Result.Version != 0 {
		return fmt.Sprintf("refused: %s: version %d, by %s", e.Result.Refused, e.Result.Version, e.Result.By)
	}
	if e.Result.By != "" {
		return fmt.Sprintf("refused by %s: %s", e.Result.By, e.Result.Refused)
	}
	return "refused: " + e.Result.Refused
}

// Advice implements actionable.Error.
func (e *RefusedError) Advice() string {
	if e.Result.Version != 0 {
		return "look at what was decided with 'marlreelctl fleet diff', and propose again on top of it"
	}
	return "mend what it names, and propose again"
}

// StaleFileError is a file whose text a newer version has replaced.
type StaleFileError struct {
	Version, Newest uint64
	By              string // who proposed the newest version
}

// Error implements error.
func (e *StaleFileError) Error() string {
	return fmt.Sprintf("the file is version %d, which version %d by %s has replaced", e.Version, e.Newest, e.By)
}

// Advice implements actionable.Error.
func (e *StaleFileError) Advice() string {
	return fmt.Sprintf("put the newest file on this proxy; to go back on purpose: 'marlreelctl fleet rollback %d'", e.Version)
}

// NoVersionError is a version whose text is not kept.
type NoVersionError struct{ Version uint64 }

// Error implements error.
func (e *NoVersionError) Error() string {
	return fmt.Sprintf("the text of version %d is not kept", e.Version)
}

// Advice implements actionable.Error.
func (e *NoVersionError) Advice() string {
	return "see with 'marlreelctl fleet versions' which are, or propose a file"
}

// VersionError is a decided version that this proxy can't apply.
type VersionError struct {
	Version uint64
	Err     error
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("this proxy can't apply version %d: %v", e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *VersionError) Unwrap() error { return e.Err }

// Advice implements actionable.Error.
func (e *VersionError) Advice() string {
	return "this proxy runs without a lease until a version is decided that it can apply: correct what the error names, and propose the settings again"
}

// StaleMembershipError is a membership below the fleet's revision floor.
type StaleMembershipError struct {
	Source          string
	Revision, Floor int64
}

// Error implements error.
func (e *StaleMembershipError) Error() string {
	return fmt.Sprintf("this proxy's list from the %s is outdated: it has revision %d, and others have %d", e.Source, e.Revision, e.Floor)
}

// Advice implements actionable.Error.
func (e *StaleMembershipError) Advice() string {
	return "check whether this proxy reaches its discovery; if the source's revisions have started again: 'marlreelctl fleet floor reset SOURCE'"
}

// DivergentMembershipsError means that proxies have different memberships at one revision of one source.
type DivergentMembershipsError struct {
	Source   string
	Revision int64
	Proxies  []string
}

// Error implements error.
func (e *DivergentMembershipsError) Error() string {
	return fmt.Sprintf("at revision %d of the %s this proxy's list differs from the lists of %s", e.Revision, e.Source, strings.Join(e.Proxies, ", "))
}

// Advice implements actionable.Error.
func (e *DivergentMembershipsError) Advice() string {
	return "the proxies' sources differ: see with 'marlreelctl fleet lists' which backends are ready at only some of them"
}

// SocketError is a failure to serve the operators' socket.
type SocketError struct {
	Path string
	Err  error
}

// Error implements error.
func (e *SocketError) Error() string {
	return "can't serve the operators' socket " + e.Path + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SocketError) Unwrap() error { return e.Err }

// Advice implements actionable.Error.
func (e *SocketError) Advice() string {
	return "set fleet.dir to a folder that this proxy may write to, with a path of at most 90 characters"
}
