package fleet

import (
	"fmt"
	"strings"

	"marlreel/internal/fleet/agree"
)

// NoLeaderError is a question that no keeper which leads has answered.
type NoLeaderError struct{ Keepers []string }

func (e *NoLeaderError) Error() string {
	return "no keeper that leads has answered: " + strings.Join(e.Keepers, ", ")
}

// Advice says what an operator can do.
func (e *NoLeaderError) Advice() string {
	return "see with 'marlreelctl fleet members' whether a majority of the keepers lives and reaches one another; what was proposed may still be decided: look at 'marlreelctl fleet versions' before proposing it again"
}

// RefusedError is a proposal that was not taken.
type RefusedError struct{ Result agree.Result }

func (e *RefusedError) Error() string {
	if e.Result.Version != 0 {
		return fmt.Sprintf("refused: %s: version %d, by %s", e.Result.Refused, e.Result.Version, e.Result.By)
	}
	if e.Result.By != "" {
		return fmt.Sprintf("refused by %s: %s", e.Result.By, e.Result.Refused)
	}
	return "refused: " + e.Result.Refused
}

// Advice says what an operator can do.
func (e *RefusedError) Advice() string {
	if e.Result.Version != 0 {
		return "look at what was decided with 'marlreelctl fleet diff', and propose again on top of it"
	}
	return "mend what it names, and propose again"
}

// StaleFileError is a file whose text a newer version has replaced.
type StaleFileError struct {
	Version, Newest uint64
	By              string
}

func (e *StaleFileError) Error() string {
	return fmt.Sprintf("the file is version %d, which version %d by %s has replaced", e.Version, e.Newest, e.By)
}

// Advice says what an operator can do.
func (e *StaleFileError) Advice() string {
	return fmt.Sprintf("put the newest file on this proxy; to go back on purpose: 'marlreelctl fleet rollback %d'", e.Version)
}

// NoVersionError is a version whose text is not kept.
type NoVersionError struct{ Version uint64 }

func (e *NoVersionError) Error() string {
	return fmt.Sprintf("the text of version %d is not kept", e.Version)
}

// Advice says what an operator can do.
func (e *NoVersionError) Advice() string {
	return "see with 'marlreelctl fleet versions' which are, or propose a file"
}

// VersionError is a decided version that this proxy can't go by.
type VersionError struct {
	Version uint64
	Err     error
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d can't be gone by here: %v", e.Version, e.Err)
}
func (e *VersionError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *VersionError) Advice() string {
	return "this proxy goes by the strict rules until a version comes that it can go by: look at what it names, and propose one"
}

// OldListError is a list under the fleet's floor.
type OldListError struct {
	Source   string
	Has, Got int64
}

func (e *OldListError) Error() string {
	return fmt.Sprintf("this proxy's list of the %s is old: revision %d, and others have %d", e.Source, e.Has, e.Got)
}

// Advice says what an operator can do.
func (e *OldListError) Advice() string {
	return "see whether this proxy reaches its discovery; if the source's revisions began anew: 'marlreelctl fleet floor reset SOURCE'"
}

// ApartError is that proxies have different lists of one revision.
type ApartError struct {
	Source   string
	Revision int64
	Names    []string
}

func (e *ApartError) Error() string {
	return fmt.Sprintf("at revision %d of the %s other lists are seen by %s", e.Revision, e.Source, strings.Join(e.Names, ", "))
}

// Advice says what an operator can do.
func (e *ApartError) Advice() string {
	return "see with 'marlreelctl fleet lists' which backends only some of them see: their sources differ"
}
