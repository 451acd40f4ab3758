package registry

import "fmt"

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
