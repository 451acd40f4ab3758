// Package sockets inspects open connections without waiting and without consuming anything from them: whether unread
// bytes have arrived, and whether the peer has disconnected (recv(2) with MSG_PEEK, poll(2) with POLLRDHUP).
//
// It owns nothing: the connections are their callers', who may be reading and writing at the same time. It never reads,
// writes or closes. Connections that are no sockets may implement the same questions as methods Idle and PeerConnected.
package sockets
