package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

const (
	socketPrefix = "marlreel-socket-"
	// transferTimeout bounds a whole transfer. Raising it lets a process that is stuck hold up the end of the one that
	// leaves; lowering it cuts off answers whose new process is merely busy.
	transferTimeout = 500 * time.Millisecond
	// maxStateBytes bounds the state that goes with transferred connections.
	maxStateBytes = 4 << 20

	rejected, accepted = 0, 1 // what the receiving process answers

	// learnedStateQuestion is sent in place of a state's length: it asks for the learned state. A process that doesn't
	// know of it answers that this is more than it accepts.
	learnedStateQuestion = 1<<32 - 1
	maxLearnedStateBytes = 4 << 20
	// questionTimeout bounds a question for the learned state. Raising it holds up a start beside a process that is stuck;
	// lowering it starts without what a busy process has learned.
	questionTimeout = 400 * time.Millisecond

	lengthBytes = 4 // of a state's length
)

var errRejected = errors.New("it was not taken")

func (r *Rendezvous) socket(id int) string {
	return filepath.Join(r.dir, socketPrefix+strconv.Itoa(id))
}

// Transfer gives connections, and what is known of them, to another process. Where it returns no error that process has
// accepted them: nothing may be read from them or written to them here, and closing them here ends nothing. It fails with a
// TransferError.
func (r *Rendezvous) Transfer(to int, state []byte, conns ...net.Conn) error {
	c, err := net.DialTimeout("unix", r.socket(to), transferTimeout)
	if err != nil {
		return &TransferError{"pass", err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(transferTimeout)) // where it fails the connection is closed, which a write meets
	if err := sendDescriptors(c.(*net.UnixConn), len(state), conns, nil); err != nil {
		return &TransferError{"pass", err}
	}
	if err := sendState(c, state); err != nil {
		return &TransferError{"pass", err}
	}
	// Danger: where no answer comes, as the other process has just died, it may have gone on, and two processes that go on
	// with one answer spoil it. So only a rejection counts.
	var answer [1]byte
	if n, _ := c.Read(answer[:]); n == 1 && answer[0] != accepted {
		return &TransferError{"pass", errRejected}
	}
	return nil
}

// sendDescriptors sends a state's length together with the descriptors of connections. The descriptors are used while
// their connections are held open: a number alone may be another's by then.
func sendDescriptors(c *net.UnixConn, stateBytes int, conns []net.Conn, descriptors []int) error {
	if len(descriptors) == len(conns) {
		length := binary.BigEndian.AppendUint32(nil, uint32(stateBytes))
		_, _, err := c.WriteMsgUnix(length, syscall.UnixRights(descriptors...), nil)
		return err
	}
	raw, err := rawConnOf(conns[len(descriptors)])
	if err != nil {
		return err
	}
	var inner error
	err = raw.Control(func(fd uintptr) {
		inner = sendDescriptors(c, stateBytes, conns, append(descriptors, int(fd)))
	})
	return errors.Join(err, inner)
}

// sendState writes a state behind its length. Danger: behind an empty one the other process may have accepted everything
// and ended the call by now, and a write of nothing would fail: both would go on with the connection.
func sendState(w io.Writer, state []byte) error {
	if len(state) == 0 {
		return nil
	}
	_, err := w.Write(state)
	return err
}

// rawConnOf returns the socket under what wraps it.
func rawConnOf(c net.Conn) (syscall.RawConn, error) {
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		return rawConnOf(inner.NetConn())
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T is no socket", c)
	}
	return socket.SyscallConn()
}

// FetchLearnedState returns what another process has learned, as it encodes it. A process that is stuck, or of a version
// that knows of no such question, is a TransferError in time.
func (r *Rendezvous) FetchLearnedState(from int) ([]byte, error) {
	c, err := net.DialTimeout("unix", r.socket(from), questionTimeout)
	if err != nil {
		return nil, &TransferError{"ask", err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(questionTimeout)) // where it fails the connection is closed, which a write meets
	state, err := fetchLearnedState(c)
	if err != nil {
		return nil, &TransferError{"ask", err}
	}
	return state, nil
}

func fetchLearnedState(c net.Conn) ([]byte, error) {
	if _, err := c.Write(binary.BigEndian.AppendUint32(nil, learnedStateQuestion)); err != nil {
		return nil, err
	}
	var length [lengthBytes]byte
	if _, err := io.ReadFull(c, length[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > maxLearnedStateBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", n, maxLearnedStateBytes)
	}
	state := make([]byte, n)
	_, err := io.ReadFull(c, state)
	return state, err
}
