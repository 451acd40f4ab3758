package disk

import (
	"errors"
	"fmt"

	"marlreel/internal/actionable"
)

// Error is a file that can't be used.
type Error struct {
	Path string
	Err  error
	// Remedy says what an operator can do.
	Remedy string
}

var _ actionable.Error = (*Error)(nil)

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Advice implements actionable.Error.
func (e *Error) Advice() string { return e.Remedy }

// The causes that an Error may wrap.
var (
	// ErrTorn: the file is damaged or incomplete.
	ErrTorn = errors.New("the file is torn or spoilt")
	// ErrOwner: the file was made by a proxy of another name or fleet.
	ErrOwner = errors.New("the file is another proxy's")
	// ErrHeld: another process holds the lock on the file.
	ErrHeld = errors.New("another process has the file")
)
