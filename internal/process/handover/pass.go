package handover

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	socketPrefix = "marlreel-socket-"
	passWithin   = 500 * time.Millisecond // a whole pass; a process that is stuck takes none
	mostState    = 4 << 20
	mostPassed   = 2  // connections with one state
	mostPasses   = 16 // under way at a time

	notTaken, taken = 0, 1 // what is answered

	// Sent in place of a state's length: the other process is asked for what it has learnt. One
	// that doesn't know of it says that it is too much to take.
	asked     = 1<<32 - 1
	mostTold  = 4 << 20
	askWithin = 400 * time.Millisecond
)

func (r *Rendezvous) socket(id int) string {
	return filepath.Join(r.dir, socketPrefix+strconv.Itoa(id))
}

// Pass gives connections and what is known of them to another process. Where it gives no
// error, that process has taken them: nothing may be read from them or written to them
// here, and closing them here ends nothing.
func (r *Rendezvous) Pass(to int, state []byte, conns ...net.Conn) error {
	c, err := net.DialTimeout("unix", r.socket(to), passWithin)
	if err != nil {
		return &PassError{"pass", err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(passWithin))
	var fds []int
	// The descriptors are used while they are held: a number alone may be another's.
	var with func(i int) error
	with = func(i int) error {
		if i < len(conns) {
			raw, err := rawOf(conns[i])
			if err != nil {
				return err
			}
			var inner error
			err = raw.Control(func(fd uintptr) {
				fds = append(fds, int(fd))
				inner = with(i + 1)
			})
			return errors.Join(err, inner)
		}
		head := binary.BigEndian.AppendUint32(nil, uint32(len(state)))
		_, _, err := c.(*net.UnixConn).WriteMsgUnix(head, syscall.UnixRights(fds...), nil)
		return err
	}
	if err := with(0); err != nil {
		return &PassError{"pass", err}
	}
	if err := sendState(c, state); err != nil {
		return &PassError{"pass", err}
	}
	// Danger: where the word does not come, as the other has just died, it may have gone on, and two
	// that go on with one answer spoil it. So only a word against it counts.
	var word [1]byte
	if n, _ := c.Read(word[:]); n == 1 && word[0] != taken {
		return &PassError{"pass", errors.New("it was not taken")}
	}
	return nil
}

// sendState writes a state behind its length. Danger: behind an empty one the other may have taken it
// all and ended the call by now, and a write of nothing would fail: both would go on with the
// connection.
func sendState(w io.Writer, state []byte) error {
	if len(state) == 0 {
		return nil
	}
	_, err := w.Write(state)
	return err
}

// rawOf finds the socket under what wraps it.
func rawOf(c net.Conn) (syscall.RawConn, error) {
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		return rawOf(inner.NetConn())
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T is no socket", c)
	}
	return sc.SyscallConn()
}

// Ask gets from another process what it has to tell of what it has learnt. A process that is
// stuck, or of a version that knows of no such question, gives an error in time.
func (r *Rendezvous) Ask(to int) ([]byte, error) {
	fail := func(err error) ([]byte, error) { return nil, &PassError{"ask", err} }
	c, err := net.DialTimeout("unix", r.socket(to), askWithin)
	if err != nil {
		return fail(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(askWithin))
	if _, err := c.Write(binary.BigEndian.AppendUint32(nil, asked)); err != nil {
		return fail(err)
	}
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return fail(err)
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > mostTold {
		return fail(fmt.Errorf("%d bytes, %d at most", n, mostTold))
	}
	told := make([]byte, n)
	if _, err := io.ReadFull(c, told); err != nil {
		return fail(err)
	}
	return told, nil
}

// Receive takes what other processes pass, and tells those that ask, until ctx ends. take owns
// the connections unless it gives an error; tell may be slow, and has until its context ends.
// Where no socket can be had, it says so, and nothing is taken or told.
func (r *Rendezvous) Receive(ctx context.Context, take func(state []byte, conns []net.Conn) error,
	tell func(context.Context) ([]byte, error), logf func(string, ...any),
) {
	path := r.socket(r.id)
	os.Remove(path)
	ln, err := net.Listen("unix", path)
	if err != nil {
		logf("rendezvous: nothing can be passed to this process: %v", err)
		return
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	var under sync.WaitGroup
	defer under.Wait()
	room := make(chan struct{}, mostPasses)
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		room <- struct{}{}
		under.Go(func() {
			defer func() { <-room }()
			defer c.Close()
			if err := receive(ctx, c.(*net.UnixConn), take, tell); err != nil {
				logf("rendezvous: %v", err)
			}
		})
	}
}

func receive(ctx context.Context, c *net.UnixConn, take func(state []byte, conns []net.Conn) error,
	tell func(context.Context) ([]byte, error),
) error {
	c.SetDeadline(time.Now().Add(passWithin))
	head, rights := make([]byte, 4), make([]byte, syscall.CmsgSpace(4*mostPassed))
	n, rn, _, _, err := c.ReadMsgUnix(head, rights)
	conns, rightsErr := opened(rights[:rn])
	give := func(err error) error {
		c.Write([]byte{notTaken})
		for _, c := range conns {
			c.Close()
		}
		return err
	}
	if err = errors.Join(err, rightsErr); err != nil || n != len(head) {
		return give(&PassError{"passed", errors.Join(err, io.ErrUnexpectedEOF)})
	}
	size := binary.BigEndian.Uint32(head)
	if size == asked && len(conns) == 0 {
		ctx, cancel := context.WithTimeout(ctx, askWithin)
		defer cancel()
		told, err := tell(ctx)
		if err != nil {
			return &PassError{"asked", err}
		}
		_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(told))), told...))
		return err
	}
	if size > mostState {
		return give(&PassError{"passed", fmt.Errorf("%d bytes, %d at most", size, mostState)})
	}
	state := make([]byte, size)
	if _, err := io.ReadFull(c, state); err != nil {
		return give(&PassError{"passed", err})
	}
	if err := take(state, conns); err != nil {
		return give(err)
	}
	c.Write([]byte{taken})
	return nil
}

// opened makes connections of the descriptors that came.
func opened(rights []byte) ([]net.Conn, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	var conns []net.Conn
	for i := range messages {
		fds, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return conns, err
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			f := os.NewFile(uintptr(fd), "passed")
			c, connErr := net.FileConn(f)
			f.Close()
			if connErr != nil {
				err = errors.Join(err, connErr)
				continue
			}
			conns = append(conns, c)
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}
