package main

import (
	"fmt"

	"marlreel/internal/fleet"
)

// UnreachableProxyError is a proxy that can't be asked.
type UnreachableProxyError struct {
	At  string // the address, or the socket's path
	Err error
}

func (e *UnreachableProxyError) Error() string {
	return "the proxy at " + e.At + " can't be asked: " + e.Err.Error()
}
func (e *UnreachableProxyError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *UnreachableProxyError) Advice() string {
	return "see whether the proxy runs, and whether the address or path is the one in its configuration (control, fleet.dir)"
}

// RejectedError is what a proxy answered in place of carrying a command out.
type RejectedError struct{ Reply fleet.ErrorReply }

func (e *RejectedError) Error() string { return e.Reply.Error }

// Advice says what an operator can do.
func (e *RejectedError) Advice() string { return e.Reply.Advice }

// UsageError is a call that can't be carried out as it is.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *UsageError) Advice() string { return "marlreelctl -h says more" }

// NodeError is a node of the list with which something can't be done.
type NodeError struct {
	Name, Reason string
	Err          error
}

func (e *NodeError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %v", e.Name, e.Err)
	}
	return e.Name + " " + e.Reason
}
func (e *NodeError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *NodeError) Advice() string {
	return "look at the node with 'marlreelctl nodes list', and try again"
}
