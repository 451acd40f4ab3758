package actionable

import (
	"errors"
	"fmt"
)

// Error is an error that says what an operator can do about it.
type Error interface {
	error
	Advice() string // one sentence
}

// AdviceFor is what can be done about an error, by the first in its chain that knows, or "" where none does.
func AdviceFor(err error) string {
	var known Error
	if errors.As(err, &known) {
		return known.Advice()
	}
	return ""
}

// Message is an error's text with the advice behind it in brackets. The error must not be nil.
func Message(err error) string {
	advice := AdviceFor(err)
	if advice == "" {
		return err.Error()
	}
	return fmt.Sprintf("%v (%s)", err, advice)
}
