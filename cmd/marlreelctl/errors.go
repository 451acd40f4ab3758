package main

import (
	"fmt"

	"marlreel/internal/fleet"
)

// UnreachableProxyError reports a request to a proxy that got no usable answer.
type UnreachableProxyError struct {
	At  string // the address, or the socket's path
	Err error
}

func (e *UnreachableProxyError) Error() string {
	return "the request to the proxy at " + e.At + " failed: " + e.Err.Error()
}
func (e *UnreachableProxyError) Unwrap() error { return e.Err }

// Advice tells the operator what to do.
func (e *UnreachableProxyError) Advice() string {
	return "see whether the proxy runs, and whether the address or path is the one in its configuration (control, fleet.dir)"
}

// RejectedError reports that a proxy rejected a command.
type RejectedError struct{ Reply fleet.ErrorReply }

func (e *RejectedError) Error() string { return e.Reply.Error }

// Advice tells the operator what to do.
func (e *RejectedError) Advice() string { return e.Reply.Advice }

// UsageError reports arguments or a file that a command can't use.
type UsageError struct{ Reason string }

func (e *UsageError) Error() string { return e.Reason }

// Advice tells the operator what to do.
func (e *UsageError) Advice() string { return "marlreelctl -h says more" }

// NodeError reports an operation on a node that is not possible or that failed.
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

// Advice tells the operator what to do.
func (e *NodeError) Advice() string {
	return "look at the node with 'marlreelctl nodes list', and try again"
}
