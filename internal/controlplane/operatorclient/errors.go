package operatorclient

import "fmt"

// NoAnswerError says that no control process gave a definite answer. What was sent may have
// been committed.
type NoAnswerError struct {
	// Last is why the last attempt failed.
	Last error
}

var _ error = (*NoAnswerError)(nil)

// Error implements error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no clear answer from control: %v", e.Last)
}

// Unwrap returns the last cause.
func (e *NoAnswerError) Unwrap() error { return e.Last }

// Advice is what can be done about it.
func (e *NoAnswerError) Advice() string {
	return "see whether most control processes run (marlreeld status), and send the same again: it has its effect only once"
}

// UnexpectedAnswerError says that a process's answer can't be part of a bundle.
type UnexpectedAnswerError struct {
	Address string
	// Status is the HTTP status.
	Status int
	// Bytes is the size of the answer where it is over maxPartBytes, or else 0.
	Bytes int
}

var _ error = (*UnexpectedAnswerError)(nil)

// Error implements error.
func (e *UnexpectedAnswerError) Error() string {
	if e.Bytes > 0 {
		return fmt.Sprintf("%s answers with %d bytes, %d are the most", e.Address, e.Bytes, maxPartBytes)
	}
	return fmt.Sprintf("%s answers with status %d", e.Address, e.Status)
}

// Advice is what can be done about it.
func (e *UnexpectedAnswerError) Advice() string {
	return "see whether " + e.Address + " is a control process's address, or a door for metrics"
}
