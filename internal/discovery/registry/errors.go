package registry

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// SettingError is returned for a key of [registry] whose value is invalid.
type SettingError struct{ Key, Problem string }

func (e *SettingError) Error() string { return e.Key + e.Problem }

// Advice says what an operator can do.
func (e *SettingError) Advice() string {
	return "correct the value of the key; docs/REGISTRY.md describes each one"
}

// FileError is returned if a file that [registry] names can't be used.
type FileError struct {
	Key string
	Err error
}

func (e *FileError) Error() string { return e.Key + ": " + e.Err.Error() }
func (e *FileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *FileError) Advice() string {
	return "make sure that the file is valid and that this program's user can read it"
}

// ReachError is returned if an endpoint of the registry can't be reached.
type ReachError struct {
	Endpoint string
	Err      error
}

func (e *ReachError) Error() string { return e.Err.Error() }
func (e *ReachError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ReachError) Advice() string {
	return "check that " + e.Endpoint + " is running and can be reached from here; other endpoints are tried automatically"
}

// ConflictError is returned if an entry was written by another client since it was read.
type ConflictError struct{}

func (e *ConflictError) Error() string {
	return "it has been written by another client in the meantime"
}

// Advice says what an operator can do.
func (e *ConflictError) Advice() string {
	return "check the entry with 'marlreelctl nodes list', and repeat the change if it is still needed"
}

// LeaseError is returned if a lease has ended.
type LeaseError struct{}

func (e *LeaseError) Error() string { return "the lease has ended" }

// Advice says what an operator can do.
func (e *LeaseError) Advice() string {
	return "nothing: the node registers again by itself; if this happens often, check whether it reaches the registry in time"
}

// QuorumError is returned if the registry has no quorum.
type QuorumError struct{}

func (e *QuorumError) Error() string { return "the registry has no quorum: its data may be stale" }

// Advice says what an operator can do.
func (e *QuorumError) Advice() string { return "first bring a majority of the registry's members back" }

// NameTakenError is returned if a node's name is registered at another address.
type NameTakenError struct{ Name, Address string }

func (e *NameTakenError) Error() string {
	return fmt.Sprintf("%s is already registered at %s: by another node, or by this one until its old lease ends", e.Name, e.Address)
}

// Advice says what an operator can do.
func (e *NameTakenError) Advice() string {
	return "give each node a unique name, or wait until the lease has ended"
}

// ValueError is returned for a malformed entry of a node.
type ValueError struct{ Reason string }

func (e *ValueError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *ValueError) Advice() string {
	return "rewrite the entry with 'marlreelctl nodes put'; until then the malformed entry is ignored"
}

// callError is a response that reports an error.
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
	return "check the registry's log; while the registry is unreachable, the proxies use the platform's list"
}

// Unreachable reports whether an error is the endpoint's, so that another endpoint may work.
func Unreachable(err error) bool {
	var bad *callError
	var call *url.Error
	return errors.As(err, &call) || errors.As(err, &bad) && bad.Status >= 500
}

// ProtocolError is returned if a registry's response violates its protocol or is too large.
type ProtocolError struct{ Reason string }

func (e *ProtocolError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *ProtocolError) Advice() string {
	return "check that registry.endpoints and registry.prefix are right, and look at the registry's log"
}

// LoginError is returned if etcd rejects a login.
type LoginError struct {
	User string
	Err  error
}

func (e *LoginError) Error() string { return fmt.Sprintf("user %s: %v", e.User, e.Err) }

// Unwrap returns etcd's error.
func (e *LoginError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *LoginError) Advice() string {
	return "look at registry.user and registry.password-file, and at what that user may do in the registry"
}
