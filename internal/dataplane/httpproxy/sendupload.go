package httpproxy

import (
	"context"
	"net"
	"strconv"
	"time"

	"marlreel/internal/sockets"

	"marlreel/internal/balancer"
)

// sendUpload writes a request whose body comes in pieces, as they come, and reads its
// answer. The backend begins when the last byte has come: until then nothing has run, so
// the permit is taken for the last piece alone, and whatever ends it before is a request
// that was never sent.
func (c *backendConn) sendUpload(ctx context.Context, x *exchange, head []byte, report []string) Reply {
	unsent := Reply{result: balancer.NotSent, brokeEarly: true}
	u := x.message.upload
	var at uploadCursor
	chunked := u.announcedLength() < 0
	_ = c.SetDeadline(time.Time{}) // what is to be waited for is each piece, and then the answer
	for {
		p, last, err := u.next(ctx, at)
		if err != nil {
			return Reply{result: balancer.NotSent} // it was the client's side: the connection speaks of nothing
		}
		if last && x.clientGone() {
			return Reply{result: balancer.NotSent, clientGone: true}
		}
		if last && !x.permit.TryClaim() || !last && !x.permit.Available() {
			return Reply{result: balancer.NotSent}
		}
		parts := net.Buffers{head, p}
		if chunked {
			parts = net.Buffers{head, chunkSize(len(p)), p, chunkEnd(len(p), last)}
		}
		head = nil
		_ = c.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := parts.WriteTo(c.Conn); err != nil {
			if last {
				return failedAfterWrite(err)
			}
			return c.readEarlyAnswer(x, unsent)
		}
		if last {
			break
		}
		u.advance(&at, len(p))
		// A backend may say early that it won't have it. What it says before the last byte
		// has come is about the request, and the connection ends with it.
		if !sockets.Idle(c.Conn) {
			return c.readEarlyAnswer(x, unsent)
		}
	}
	c.markWritten(x)
	if !x.receiving {
		_ = c.SetReadDeadline(x.deadline) // else the engine ends it
	}
	return c.readAnswer(x, report)
}

// readEarlyAnswer reads what a backend says before it has had all of a request.
func (c *backendConn) readEarlyAnswer(x *exchange, unsent Reply) Reply {
	_ = c.SetReadDeadline(time.Now().Add(stallTimeout / 10))
	resp, err := c.readHead(x.message.Method) //nolint:bodyclose // the connection is closed instead
	if err != nil {
		return unsent
	}
	if x.dialect.Matches != nil && !x.dialect.Matches(x.message, resp) {
		c.surplus = true
		return unsent // another request's answer says nothing of this one, of which no backend has had the last byte
	}
	if code := resp.StatusCode; code >= 400 && code < 500 {
		return Reply{result: balancer.Unprocessable}
	}
	return Reply{result: balancer.Rejected}
}

func chunkSize(n int) []byte {
	if n == 0 {
		return nil
	}
	return append(strconv.AppendInt(nil, int64(n), 16), "\r\n"...)
}

func chunkEnd(n int, last bool) []byte {
	end := ""
	if n > 0 {
		end = "\r\n"
	}
	if last {
		end += "0\r\n\r\n"
	}
	return []byte(end)
}
