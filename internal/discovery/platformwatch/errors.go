package platformwatch

import (
	"fmt"
)

// ListError is a list, or a change to it, that can't be used. The one before stands.
type ListError struct {
	Instance string // its id, or its number in the list; "": the list itself can't be read
	Key      string
	Err      error // what is wrong, or what would be right
}

func (e *ListError) Error() string {
	if e.Instance == "" {
		return fmt.Sprintf("bad line: the list can't be read: %v", e.Err)
	}
	return fmt.Sprintf("bad line: instance %s: %s: %v", e.Instance, e.Key, e.Err)
}

// Unwrap returns what is wrong with the entry or the list.
func (e *ListError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *ListError) Advice() string {
	return "mend that entry where the platform keeps its list; until then this proxy goes by the list before, and heeds drains alone"
}

// StatusError is an answer of the platform's discovery other than 200.
type StatusError struct{ Status string }

func (e *StatusError) Error() string { return e.Status }

// Advice says what an operator can do.
func (e *StatusError) Advice() string {
	return "look at the log of the platform's discovery; until it answers this proxy goes by the list before"
}
