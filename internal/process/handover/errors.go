package handover

import "fmt"

// ListenerError reports that an inherited descriptor is not a listener for clients at the configured address.
type ListenerError struct {
	FD  int
	Err error
}

func (e *ListenerError) Error() string { return fmt.Sprintf("descriptor %d: %v", e.FD, e.Err) }
func (e *ListenerError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListenerError) Advice() string {
	return "make the platform pass a listening socket bound to the configured address, and set NODE_SOCKET_FD to its descriptor"
}

// JoinError reports that this process can't find the other processes of its proxy.
type JoinError struct{ Err error }

func (e *JoinError) Error() string { return "rendezvous: " + e.Err.Error() }
func (e *JoinError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *JoinError) Advice() string {
	return "give all processes of this proxy the same writable TMPDIR; until then this one uses the full capacity"
}

// TransferError reports that connections or learned state could not be transferred between two processes.
type TransferError struct {
	What string // the operation that failed
	Err  error
}

func (e *TransferError) Error() string { return e.What + ": " + e.Err.Error() }
func (e *TransferError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *TransferError) Advice() string {
	return "nothing: connections that could not be transferred end with their process; if this happens at every upgrade, compare the two releases"
}
