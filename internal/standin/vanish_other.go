//go:build !unix

package standin

import "net"

// Block does nothing on this system: new connections are established and stay silent.
func Block(net.Listener) []net.Conn { return nil }

// Unblock does nothing, as Block does nothing.
func Unblock(net.Listener) error { return nil }
