package actionable

import (
	"errors"
	"fmt"
)

// Error is an error with advice for the operator.
type Error interface {
	error
	Advice() string // one sentence
}

// AdviceFor returns the advice of the first Error in an error's chain, or "" if there is none.
func AdviceFor(err error) string {
	var known Error
	if errors.As(err, &known) {
		return known.Advice()
	}
	return ""
}

// Message returns the text of an error, followed by its advice in brackets. The error must not be nil.
func Message(err error) string {
	advice := AdviceFor(err)
	if advice == "" {
		return err.Error()
	}
	return fmt.Sprintf("%v (%s)", err, advice)
}
