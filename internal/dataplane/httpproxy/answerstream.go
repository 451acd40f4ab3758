package httpproxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"marlreel/internal/process/budget"
)

const (
	// bufferTimeout is how long an answer of unknown length is buffered to see whether it is
	// small. A longer wait would delay the first bytes of a large one too much.
	bufferTimeout = 100 * time.Millisecond
	// stallTimeout is how long a peer may make no progress on a stream, reading or writing.
	stallTimeout = 10 * time.Second
	// pieceSize is the most that a stream forwards at a time, in bytes.
	pieceSize = 32 << 10
	// pieceBudgetTimeout is how long a stream waits for memory for a piece. Without it, the stream
	// uses a buffer of smallBody bytes, which needs no reservation.
	pieceBudgetTimeout = 20 * time.Millisecond
)

// answerStream is an answer whose body is forwarded while it is being received. The first bytes of
// the body may have been read already.
type answerStream struct {
	conn     *backendConn
	first    []byte
	body     io.Reader
	length   int64      // of the whole body; -1: unknown
	reusable bool       // the connection can be reused after the last byte
	request  *bodyWrite // of the request's body, if the answer began before its end; else nil

	// returnConn returns the connection to the pool; nil means that it is closed. Any goroutine may call it.
	returnConn func(*backendConn)
}

// release returns the memory that a reply has reserved, and ends its stream.
func (r *Reply) release(memory *budget.Budget) {
	if r.reserved > 0 {
		memory.Release(r.reserved, budget.Small)
		r.reserved = 0
	}
	if r.stream != nil {
		r.stream.finish(false)
		r.stream = nil
	}
}

// finish returns or closes the connection; complete says that the whole body has been read.
func (d *answerStream) finish(complete bool) {
	c := d.conn
	written := d.request == nil || complete && d.request.stop()
	if complete && written && d.reusable && c.reader.Buffered() == 0 {
		_ = c.SetDeadline(time.Time{})
	} else {
		c.Close()
		c = nil
	}
	if d.returnConn != nil {
		d.returnConn(c)
	}
}

var (
	errClient  = errors.New("writing to the client failed")
	errBackend = errors.New("reading the backend's answer failed")
)

// forward forwards the rest of the body as it arrives. Each piece is flushed at once, and the
// slower side limits the faster one.
func (d *answerStream) forward(ctx context.Context, w io.Writer, out *http.ResponseController, memory *budget.Budget) error {
	// A write may notice only late that the client has disconnected, so the end of ctx closes the backend's connection.
	defer context.AfterFunc(ctx, func() { d.conn.Close() })()
	size := smallBody
	if memory != nil {
		wait, cancel := context.WithTimeout(ctx, pieceBudgetTimeout)
		if memory.Acquire(wait, pieceSize, budget.Small) == nil {
			size = pieceSize
			defer memory.Release(pieceSize, budget.Small)
		}
		cancel()
	}
	piece := d.first
	buf := make([]byte, size)
	total := int64(0)
	for {
		if total += int64(len(piece)); total > maxBodyLength {
			return errBackend
		}
		if len(piece) > 0 {
			_ = out.SetWriteDeadline(time.Now().Add(stallTimeout))
			if _, err := w.Write(piece); err != nil {
				return errClient
			}
			if err := out.Flush(); err != nil {
				return errClient
			}
		}
		_ = d.conn.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := d.body.Read(buf)
		piece = buf[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return errBackend
		}
	}
}
