package platformwatch

import (
	"fmt"
)

// ListError is returned for a malformed list, or a malformed change to it. The previous list stays in force.
type ListError struct {
	Instance string // its id, or its number in the list; "" if the list itself is malformed
	Key      string
	Err      error // what is wrong with it
}

func (e *ListError) Error() string {
	if e.Instance == "" {
		return fmt.Sprintf("malformed list: %v", e.Err)
	}
	return fmt.Sprintf("malformed list: instance %s: %s: %v", e.Instance, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *ListError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListError) Advice() string {
	return "correct the entry in the platform's list; until then this proxy keeps the previous list and applies only drains"
}

// StatusError is returned if the platform's discovery answers with a status other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return e.Status }

// Advice says what an operator can do.
func (e *StatusError) Advice() string {
	return "check the log of the platform's discovery; until it answers this proxy keeps the previous list"
}
