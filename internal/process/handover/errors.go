package handover

import "fmt"

// ListenerError is an inherited descriptor that is no listener of the clients'.
type ListenerError struct {
	FD  int
	Err error
}

func (e *ListenerError) Error() string { return fmt.Sprintf("descriptor %d: %v", e.FD, e.Err) }
func (e *ListenerError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListenerError) Advice() string {
	return "let the platform hand on the listening socket of the configuration's address, and name its descriptor in NODE_SOCKET_FD"
}

// JoinError is that other processes of this proxy can't be found.
type JoinError struct{ Err error }

func (e *JoinError) Error() string { return "rendezvous: " + e.Err.Error() }
func (e *JoinError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *JoinError) Advice() string {
	return "give all processes of this proxy one TMPDIR in which they may write; until then this one takes the whole of its room"
}

// TransferError is something that could not be given to another process, or taken from one.
type TransferError struct {
	What string // pass, ask, passed, asked
	Err  error
}

func (e *TransferError) Error() string { return e.What + ": " + e.Err.Error() }
func (e *TransferError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *TransferError) Advice() string {
	return "nothing: what could not be handed on ends with its own process; if it happens at each upgrade, compare the two releases"
}
