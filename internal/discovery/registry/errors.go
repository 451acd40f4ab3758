package registry

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// SettingError is a key of [registry] that makes no sense.
type SettingError struct{ Key, Problem string }

func (e *SettingError) Error() string { return e.Key + e.Problem }

// Advice says what an operator can do.
func (e *SettingError) Advice() string {
	return "set the key to what is needed; docs/REGISTRY.md says what each does"
}

// FileError is a file that [registry] names and that can't be used.
type FileError struct {
	Key string
	Err error
}

func (e *FileError) Error() string { return e.Key + ": " + e.Err.Error() }
func (e *FileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *FileError) Advice() string {
	return "put a good file there, and let this program's user read it"
}

// ReachError is an endpoint of the registry that can't be reached.
type ReachError struct {
	Endpoint string
	Err      error
}

func (e *ReachError) Error() string { return e.Err.Error() }
func (e *ReachError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ReachError) Advice() string {
	return "see whether " + e.Endpoint + " runs and can be reached from here; other endpoints are tried by themselves"
}

// ConflictError is an entry that somebody else wrote meanwhile.
type ConflictError struct{}

func (e *ConflictError) Error() string { return "it was written by another meanwhile" }

// Advice says what an operator can do.
func (e *ConflictError) Advice() string {
	return "look at it with 'marlreelctl nodes list', and try again if it is still wanted"
}

// LeaseError is a lease that has ended.
type LeaseError struct{}

func (e *LeaseError) Error() string { return "the lease has ended" }

// Advice says what an operator can do.
func (e *LeaseError) Advice() string {
	return "nothing: the node enters anew by itself; if it happens often, see whether it reaches the registry in time"
}

// QuorumError is a registry that has no majority.
type QuorumError struct{}

func (e *QuorumError) Error() string { return "the registry has no quorum: what it says may be old" }

// Advice says what an operator can do.
func (e *QuorumError) Advice() string { return "bring a majority of the registry's members back first" }

// NameTakenError is a node's name that another has.
type NameTakenError struct{ Name, Address string }

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("%s is already at %s: another node has the name, or it was this one's until its lease ends", e.Name, e.Address)
}

// Advice says what an operator can do.
func (e *NameTakenError) Advice() string {
	return "give each node a name of its own, or wait until the lease has ended"
}

// ValueError is a node's entry that can't be read.
type ValueError struct{ Reason string }

func (e *ValueError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *ValueError) Advice() string {
	return "write the entry anew with 'marlreelctl nodes put'; until then the node is passed over"
}

// callError is an answer that is an error.
type callError struct {
	Status  int
	Code    int    `json:"code"`
	Message string `json:"message"`
	Old     string `json:"error"`
}

func (e *callError) Error() string {
	text := e.Message
	if text == "" {
		text = e.Old
	}
	return fmt.Sprintf("answered %d: %.200s", e.Status, text)
}

// Advice says what an operator can do.
func (e *callError) Advice() string {
	if e.Status == http.StatusUnauthorized || e.Status == http.StatusForbidden {
		return "look at registry.user and registry.password-file, and at what that user may do in the registry"
	}
	return "look at the registry's own log; the proxies go by the platform's list while it is lost"
}

// Unreachable tells whether an error is an endpoint's: another one may do.
func Unreachable(err error) bool {
	var bad *callError
	var call *url.Error
	return errors.As(err, &call) || errors.As(err, &bad) && bad.Status >= 500
}

// ProtocolError is an answer of a registry that isn't as its protocol has it, or too large.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *ProtocolError) Advice() string {
	return "see whether registry.endpoints and registry.prefix name what is meant, and look at the registry's own log"
}

// LoginError is a login that etcd did not accept.
type LoginError struct {
	User string
	Err  error
}

func (e *LoginError) Error() string { return fmt.Sprintf("user %s: %v", e.User, e.Err) }

// Unwrap returns etcd's answer.
func (e *LoginError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *LoginError) Advice() string {
	return "look at registry.user and registry.password-file, and at what that user may do in the registry"
}
