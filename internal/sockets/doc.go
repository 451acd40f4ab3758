// Package sockets inspects open connections without blocking or consuming data: whether unread bytes have arrived, and
// whether the peer has disconnected (recv(2) with MSG_PEEK, poll(2) with POLLRDHUP).
//
// The connections belong to the callers, who may read and write at the same time. The package never reads from, writes to
// or closes them. Connections without a socket may implement the methods Idle and PeerConnected instead.
package sockets
