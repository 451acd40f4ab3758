package httpproxy

import (
	"context"
	"net"
	"strconv"
	"time"

	"marlreel/internal/sockets"

	"marlreel/internal/balancer"
)

// sendUpload writes a request whose body arrives in pieces, each as it arrives, and reads its answer.
func (c *backendConn) sendUpload(ctx context.Context, x *exchange, head []byte, report []string) Reply {
	if x.dialect.ExecutionStart == StartsAfterHead {
		return c.sendUploadAfterHead(ctx, x, head, report)
	}
	defer x.message.upload.endRead()
	return c.sendUploadWhole(ctx, x, head, report)
}

// sendUploadWhole is sendUpload where a backend starts a request only when it has received the last byte. So the permit is
// claimed only for the last piece, and a failure before that counts as a request that was never sent.
func (c *backendConn) sendUploadWhole(ctx context.Context, x *exchange, head []byte, report []string) Reply {
	unsent := Reply{result: balancer.NotSent, brokeEarly: true}
	u := x.message.upload
	var at uploadCursor
	chunked := u.announcedLength() < 0
	_ = c.SetDeadline(time.Time{}) // instead, each write and the answer get their own
	for {
		p, last, err := u.next(ctx, at)
		if err != nil {
			return Reply{result: balancer.NotSent} // the client's side failed, which says nothing about the connection
		}
		if last && x.clientGone() {
			return Reply{result: balancer.NotSent, clientGone: true}
		}
		if last && !x.permit.TryClaim() || !last && !x.permit.Available() {
			return Reply{result: balancer.NotSent}
		}
		parts := append(net.Buffers{head}, pieceParts(p, last, chunked)...)
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
		// A backend may reject a request early. An answer before the last byte was sent is taken
		// as the answer to this request, and the connection is closed after it.
		if !sockets.Idle(c.Conn) {
			return c.readEarlyAnswer(x, unsent)
		}
	}
	c.markWritten(x)
	if !x.receiving {
		_ = c.SetReadDeadline(x.deadline) // while receiving, the engine enforces the deadline
	}
	return c.readAnswer(x, report)
}

// readEarlyAnswer reads the answer of a backend that answers before it has received the whole request.
func (c *backendConn) readEarlyAnswer(x *exchange, unsent Reply) Reply {
	_ = c.SetReadDeadline(time.Now().Add(stallTimeout / 10))
	resp, err := c.readHead(x.message.Method) //nolint:bodyclose // the connection is closed instead
	if err != nil {
		return unsent
	}
	if x.dialect.Matches != nil && !x.dialect.Matches(x.message, resp) {
		c.surplus = true
		return unsent // an answer to another request says nothing about this one, whose last byte was never sent
	}
	if code := resp.StatusCode; code >= 400 && code < 500 {
		return Reply{result: balancer.Unprocessable}
	}
	return Reply{result: balancer.Rejected}
}

// pieceParts returns a piece of a body as it is written.
func pieceParts(p []byte, last, chunked bool) net.Buffers {
	if !chunked {
		return net.Buffers{p}
	}
	return net.Buffers{chunkSize(len(p)), p, chunkEnd(len(p), last)}
}

// sendUploadAfterHead is sendUpload where a backend may start a request after its head. So the permit is claimed before the
// head's last byte, and whatever ends the exchange after that, the request may have run.
func (c *backendConn) sendUploadAfterHead(ctx context.Context, x *exchange, head []byte, report []string) Reply {
	_ = c.SetDeadline(time.Now().Add(stallTimeout))
	if end, written := c.writeRunnable(x, head, len(head)-1, report); !written {
		x.message.upload.endRead()
		return end
	}
	_ = c.SetReadDeadline(x.deadline)
	if x.receiving { // the engine enforces the deadline
		_ = c.SetReadDeadline(time.Time{})
	}
	return c.readAnswerDuring(x, c.startUploadWrite(ctx, x), report)
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
