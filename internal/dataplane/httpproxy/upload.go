package httpproxy

import (
	"context"
	"errors"
	"io"
	"sync"

	"marlreel/internal/process/budget"
)

// upload is a request's body of more than is held as a matter of course. It holds what has
// come, up to a part of the budget. Where that is all of it, the request can be sent again
// like a small one; where it is not, what has gone out makes room for what comes, and from
// then on the request can't be sent again.
//
// One goroutine fills it from the client; attempts read it, one at a time until it is complete.
type upload struct {
	memory  *budget.Budget
	maxHeld int   // bytes held at most
	length  int64 // as the client says; -1 is not said

	mu         sync.Mutex
	pieces     [][]byte // each but the last is full
	firstPiece int      // number of the first one held: those before it are gone
	written    int      // number of the first piece that is not yet written completely
	total      int64    // what has come
	held       int      // bytes reserved in memory
	end        error    // io.EOF: it is complete; else what broke it
	readers    int      // attempts that read
	changed    chan struct{}
}

var (
	// errBufferFull says that what has come fills the memory: the rest has to wait until some of
	// it has gone on.
	errBufferFull  = errors.New("no more room before some of it is sent")
	errRequestOver = errors.New("the request is over")
)

func newUpload(memory *budget.Budget, length int64) *upload {
	// An eighth each: a few large bodies are complete, and many leave something to all.
	return &upload{memory: memory, maxHeld: max(pieceSize, memory.Limit()/8), length: length, changed: make(chan struct{})}
}

// notify wakes all who wait for one. Called with the lock.
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

// space gives where to read to. Where there is no memory: errBufferFull if it must not wait, else
// it waits until a piece has gone out.
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
			// Gone for good: from here on there is no sending it again.
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

// fill reads until the body is complete. It gives errBufferFull where it must not wait for memory.
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
			// A last byte that is not known as the last goes out without the permit.
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

// complete tells whether all has come.
func (u *upload) complete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return errors.Is(u.end, io.EOF)
}

// inOnePiece gives the body in one piece where it is complete and no larger than what is held as
// a matter of course.
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

// received gives what has come, if none of it has made room for more.
func (u *upload) received() ([][]byte, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pieces, u.firstPiece == 0
}

// announcedLength gives the length to announce; -1 is one that is not known yet.
func (u *upload) announcedLength() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.end, io.EOF) {
		return u.total
	}
	return u.length
}

// uploadCursor is how far an attempt has come.
type uploadCursor struct{ piece, offset int }

// beginRead starts an attempt's reading. It can't where the beginning is gone, or, until all
// has come, where another attempt reads.
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

// endRead ends an attempt's reading.
func (u *upload) endRead() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.readers--
}

// next gives what comes next, and whether that is the last of it; it waits where nothing
// has come.
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

// advance moves the cursor on by what has been written of what next gave.
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

// release ends it and gives its memory back. An attempt that still reads finds its end.
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
