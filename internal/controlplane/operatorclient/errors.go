package operatorclient

import "fmt"

// NoAnswerError reports that no control process gave a definite response. The change that was sent may have been
// committed.
type NoAnswerError struct {
	// Last is the error of the last attempt.
	Last error
}

var _ error = (*NoAnswerError)(nil)

// Error implements error.
func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("no definite response from control: %v", e.Last)
}

// Unwrap returns the error of the last attempt.
func (e *NoAnswerError) Unwrap() error { return e.Last }

// Advice returns what the operator can do about the error.
func (e *NoAnswerError) Advice() string {
	return "check that a majority of the control processes is running (marlreeld status), and repeat the call: it takes effect only once"
}

// UnexpectedAnswerError reports that a process's response can't be included in a support bundle.
type UnexpectedAnswerError struct {
	Address string
	// Status is the HTTP status.
	Status int
	// Bytes is the size of the response if it exceeds maxPartBytes, or else 0.
	Bytes int
}

var _ error = (*UnexpectedAnswerError)(nil)

// Error implements error.
func (e *UnexpectedAnswerError) Error() string {
	if e.Bytes > 0 {
		return fmt.Sprintf("%s answers with %d bytes, the limit is %d", e.Address, e.Bytes, maxPartBytes)
	}
	return fmt.Sprintf("%s answers with status %d", e.Address, e.Status)
}

// Advice returns what the operator can do about the error.
func (e *UnexpectedAnswerError) Advice() string {
	return "check that " + e.Address + " is the address of a control process or of a metrics server"
}
