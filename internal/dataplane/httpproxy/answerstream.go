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
	// bufferTimeout is how long an answer of unknown length may take to show that it is a
	// small one. Held longer, the first bytes of a large one would come too late.
	bufferTimeout = 100 * time.Millisecond
	// stallTimeout is how long a peer may make no progress on a stream, reading or writing.
	stallTimeout = 10 * time.Second
	// pieceSize is what a stream passes on at a time, at most.
	pieceSize = 32 << 10
	// pieceBudgetTimeout is how long a stream waits for memory for that; after it, it makes do with
	// what every connection has.
	pieceBudgetTimeout = 20 * time.Millisecond
)

// answerStream is an answer of which more is to come than is held here. Its first bytes are
// here already.
type answerStream struct {
	conn     *backendConn
	first    []byte
	body     io.Reader
	length   int64 // of all of it; -1 is not known
	reusable bool  // the connection can be used again after the last byte

	// returnConn takes the connection back, on any goroutine; nil says that it is closed.
	returnConn func(*backendConn)
}

// release gives back the memory that a reply has taken, and ends its stream.
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

// finish gives the connection back; complete says that all of the body has been read.
func (d *answerStream) finish(complete bool) {
	c := d.conn
	if complete && d.reusable && c.reader.Buffered() == 0 {
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
	errClient  = errors.New("the client takes no more")
	errBackend = errors.New("the backend's answer broke off")
)

// forward sends what is left of the body on, as it comes: the slower side holds back the
// faster one, and no piece waits for the next.
func (d *answerStream) forward(ctx context.Context, w io.Writer, out *http.ResponseController, memory *budget.Budget) error {
	// A client that has left is not written to any more, and may take nothing for long.
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
