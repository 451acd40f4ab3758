package httpproxy

import (
	"context"
	"errors"
	"io"
	"sync"

	"marlreel/internal/process/budget"
)

// upload is a request body that is too large to be always buffered completely. It buffers received
// bytes up to a share of the budget. If the whole body fits, the request can be retried like a small
// one; if not, pieces that have been sent are discarded to make room for new ones, and from
// then on the request can't be retried.
//
// One goroutine fills it from the client; attempts read it, one at a time until it is complete.
type upload struct {
	memory  *budget.Budget
	maxHeld int   // the most bytes to reserve in memory
	length  int64 // as announced by the client; -1: unknown

	mu         sync.Mutex
	pieces     [][]byte      // all but the last are full
	firstPiece int           // number of pieces[0]; the pieces before it were discarded
	written    int           // number of the first piece that has not been sent completely
	total      int64         // bytes received
	held       int           // bytes reserved in memory
	end        error         // io.EOF: the body is complete; any other error: it broke
	readers    int           // attempts that are reading it
	changed    chan struct{} // closed and replaced on every change
}

var (
	// errBufferFull means that the received bytes fill the available memory: the rest has to wait until
	// some of them have been sent.
	errBufferFull  = errors.New("the buffer for the body is full until part of it is sent")
	errRequestOver = errors.New("the request has ended")
)

func newUpload(memory *budget.Budget, length int64) *upload {
	// An eighth of the memory each: a few large bodies can be buffered completely, and many at a time still get some.
	return &upload{memory: memory, maxHeld: max(pieceSize, memory.Limit()/8), length: length, changed: make(chan struct{})}
}

// notify wakes all goroutines that wait for a change. The caller holds the lock.
func (u *upload) notify() {
	close(u.changed)
	u.changed = make(chan struct{})
}

// open reserves memory for the first piece.
func (u *upload) open(ctx context.Context) error {
	if err := u.memory.Acquire(ctx, pieceSize, budget.Large); err != nil {
		return err
	}
	u.pieces, u.held = append(u.pieces, make([]byte, 0, pieceSize)), pieceSize
	return nil
}

// space returns a buffer to read into. If there is no memory, it waits until a piece has been sent,
// or returns errBufferFull unless wait is set.
func (u *upload) space(ctx context.Context, wait bool) ([]byte, error) {
	for {
		u.mu.Lock()
		if u.end != nil {
			u.mu.Unlock()
			return nil, u.end
		}
		if n := len(u.pieces); n > 0 && len(u.pieces[n-1]) < pieceSize {
			p := u.pieces[n-1]
			u.mu.Unlock()
			return p[len(p):cap(p)], nil
		}
		if u.held+pieceSize <= u.maxHeld && u.memory.TryAcquire(pieceSize, budget.Large) {
			u.held += pieceSize
			u.pieces = append(u.pieces, make([]byte, 0, pieceSize))
			u.mu.Unlock()
			continue
		}
		if wait && u.written > u.firstPiece {
			// The first piece is discarded: from here on the request can't be retried.
			old := u.pieces[0]
			u.pieces, u.firstPiece = append(u.pieces[1:], old[:0]), u.firstPiece+1
			u.mu.Unlock()
			continue
		}
		changed := u.changed
		u.mu.Unlock()
		if !wait {
			return nil, errBufferFull
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// fill reads until the body is complete. If memory runs out, it returns errBufferFull unless wait is set.
func (u *upload) fill(ctx context.Context, in io.Reader, wait bool) error {
	for {
		space, err := u.space(ctx, wait)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		n, err := in.Read(space)
		u.mu.Lock()
		last := len(u.pieces) - 1
		u.pieces[last] = u.pieces[last][:len(u.pieces[last])+n]
		u.total += int64(n)
		switch {
		case u.length >= 0 && u.total == u.length, errors.Is(err, io.EOF) && u.length < 0:
			// Recorded together with the last bytes: an attempt that did not know them as the last would send them without
			// claiming the permit.
			u.end = io.EOF
		case err != nil:
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			u.end = err
		case u.total > maxBodyLength:
			u.end = errTooLong
		}
		ended := u.end
		u.notify()
		u.mu.Unlock()
		if errors.Is(ended, io.EOF) {
			return nil
		}
		if ended != nil {
			return ended
		}
	}
}

// complete reports whether the whole body has been received.
func (u *upload) complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.end, io.EOF)
}

// inOnePiece returns the body as one slice if it is complete and has at most maxBufferedBody
// bytes.
func (u *upload) inOnePiece() ([]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !errors.Is(u.end, io.EOF) || u.total > maxBufferedBody || u.firstPiece > 0 {
		return nil, false
	}
	body := make([]byte, 0, u.total)
	for _, p := range u.pieces {
		body = append(body, p...)
	}
	return body, true
}

// received returns the received pieces, and whether they are all that was received: none has been discarded.
func (u *upload) received() ([][]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pieces, u.firstPiece == 0
}

// announcedLength returns the length to announce to the backend; -1: it is not known yet.
func (u *upload) announcedLength() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.end, io.EOF) {
		return u.total
	}
	return u.length
}

// uploadCursor is the position of an attempt in an upload.
type uploadCursor struct{ piece, offset int }

// beginRead registers an attempt as a reader. It returns false if the beginning has been discarded, if the
// body broke off, or, while the body is incomplete, if another attempt is reading.
func (u *upload) beginRead() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.firstPiece > 0 || !errors.Is(u.end, io.EOF) && (u.end != nil || u.readers > 0) {
		return false
	}
	u.readers++
	u.written = 0
	return true
}

// endRead unregisters an attempt as a reader.
func (u *upload) endRead() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers--
}

// next returns the next bytes, and whether they are the last ones. It waits if none have been
// received.
func (u *upload) next(ctx context.Context, c uploadCursor) (p []byte, last bool, err error) {
	for {
		u.mu.Lock()
		if c.offset == pieceSize {
			c.piece, c.offset = c.piece+1, 0
		}
		if c.piece < u.firstPiece {
			u.mu.Unlock()
			return nil, false, errRequestOver
		}
		i := c.piece - u.firstPiece
		if i < len(u.pieces) {
			p = u.pieces[i][c.offset:]
		}
		last = errors.Is(u.end, io.EOF) && i >= len(u.pieces)-1
		ended, changed := u.end, u.changed
		u.mu.Unlock()
		switch {
		case len(p) > 0 || last:
			return p, last, nil
		case ended != nil:
			return nil, false, ended
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
}

// advance moves the cursor by n bytes that were returned by next and have been sent.
func (u *upload) advance(c *uploadCursor, n int) {
	if c.offset == pieceSize {
		c.piece, c.offset = c.piece+1, 0
	}
	c.offset += n
	u.mu.Lock()
	defer u.mu.Unlock()
	done := c.piece
	if c.offset == pieceSize {
		done++
	}
	if done > u.written {
		u.written = done
		u.notify()
	}
}

// release ends the upload and releases its memory. An attempt that still reads it gets errRequestOver.
func (u *upload) release() {
	u.mu.Lock()
	held := u.held
	u.held, u.pieces, u.firstPiece = 0, nil, u.firstPiece+len(u.pieces)
	if !errors.Is(u.end, io.EOF) {
		u.end = errRequestOver
	}
	u.notify()
	u.mu.Unlock()
	if held > 0 {
		u.memory.Release(held, budget.Large)
	}
}
