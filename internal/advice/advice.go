// Package advice is what errors that an operator can meet have in common: a type of their own, which errors.As
// finds, the cause that they wrap, and one sentence on what can be done. The types stand in the packages that give
// them. Which there are is written down in docs/ERRORS.md, which is generated from them.
package advice

import (
	"errors"
	"fmt"
)

// Error is an error with a word for who has to do something about it.
type Error interface {
	error
	Advice() string // one sentence: what an operator can do
}

// Of is what can be done about an error, or "" where nothing is known.
func Of(err error) string {
	var a Error
	if errors.As(err, &a) {
		return a.Advice()
	}
	return ""
}

// Line is an error and what can be done about it, in one line.
func Line(err error) string {
	if what := Of(err); what != "" {
		return fmt.Sprintf("%v (%s)", err, what)
	}
	return err.Error()
}
