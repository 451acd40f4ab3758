package testutil

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// partPause is the pause between two parts of a body, so that each arrives by itself.
const partPause = 15 * time.Millisecond

// BodyEnd is a way in which a backend ends the body of an answer.
type BodyEnd struct {
	Name string
	// Complete says that by its framing the body is complete. A body that ends inside an event is not, unless its framing
	// says that it is.
	Complete bool
	// TimesOut says that the backend is silent instead of ending the body.
	TimesOut bool

	sized, chunked bool // framing; else the body ends with the connection
	halfPart       bool // only a half of the last part is sent
	lastChunk      bool // the chunked body is terminated
	after          connEnd
}

// connEnd is what happens to the connection after the body.
type connEnd int

const (
	staysOpen connEnd = iota // until the peer closes it
	closed
	reset
)

// BodyEnds lists the ways in which a body can end.
func BodyEnds() []BodyEnd {
	return []BodyEnd{
		{Name: "length reached", Complete: true, sized: true},
		{Name: "length reached inside an event", Complete: true, sized: true, halfPart: true},
		{Name: "closed before the length", sized: true, halfPart: true, after: closed},
		{Name: "reset before the length", sized: true, halfPart: true, after: reset},
		{Name: "last chunk", Complete: true, chunked: true, lastChunk: true},
		{Name: "last chunk inside an event", Complete: true, chunked: true, lastChunk: true, halfPart: true},
		{Name: "closed without a last chunk", chunked: true, after: closed},
		{Name: "reset without a last chunk", chunked: true, after: reset},
		{Name: "closed outside an event", Complete: true, after: closed},
		ClosedInsideAnEvent(),
		{Name: "reset outside an event", after: reset},
		{Name: "reset inside an event", halfPart: true, after: reset},
		{Name: "silent before the length", TimesOut: true, sized: true, halfPart: true},
		{Name: "silent without a last chunk", TimesOut: true, chunked: true},
		{Name: "silent without a close", TimesOut: true},
	}
}

// ClosedInsideAnEvent is the end that only a reader of events can tell from a complete body.
func ClosedInsideAnEvent() BodyEnd {
	return BodyEnd{Name: "closed inside an event", halfPart: true, after: closed}
}

// CloseOnly reports whether only the close of the connection ends the body: without knowledge of its format it looks
// complete.
func (e BodyEnd) CloseOnly() bool { return !e.sized && !e.chunked && e.after == closed }

// Sent returns the body as far as it is sent.
func (e BodyEnd) Sent(parts []string) string { return strings.Join(e.cut(parts), "") }

// cut returns the parts that are sent.
func (e BodyEnd) cut(parts []string) []string {
	if !e.halfPart {
		return parts
	}
	last := parts[len(parts)-1]
	return append(append([]string(nil), parts[:len(parts)-1]...), last[:len(last)/2])
}

// Write writes an answer with a status line and headers, then the parts of its body, then ends it. If pauses is set, each
// part arrives by itself; else the whole answer is a single write. It returns when the connection is closed.
func (e BodyEnd) Write(c net.Conn, head string, parts []string, pauses bool) {
	var written strings.Builder
	for i, text := range e.encode(head, parts) {
		if pauses && i > 0 {
			_, _ = io.WriteString(c, written.String()) // a peer that has left shows in the read below
			written.Reset()
			time.Sleep(partPause)
		}
		written.WriteString(text)
	}
	_, _ = io.WriteString(c, written.String()) // as above
	if e.after == staysOpen {
		_, _ = io.Copy(io.Discard, c) // until the peer closes the connection
		return
	}
	if pauses {
		time.Sleep(partPause)
	}
	if e.after == reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close() // a failure shows at the peer
}

// encode returns the head and the encoded parts of an answer.
func (e BodyEnd) encode(head string, parts []string) []string {
	sent, length := e.cut(parts), 0
	for _, part := range sent {
		length += len(part)
	}
	if !e.Complete {
		length += len(parts[len(parts)-1]) // more than is sent
	}
	switch {
	case e.sized:
		head += fmt.Sprintf("Content-Length: %d\r\n", length)
	case e.chunked:
		head += "Transfer-Encoding: chunked\r\n"
	default:
		head += "Connection: close\r\n"
	}
	encoded := []string{head + "\r\n"}
	for _, part := range sent {
		if e.chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		encoded = append(encoded, part)
	}
	if e.lastChunk {
		encoded = append(encoded, "0\r\n\r\n")
	}
	return encoded
}
