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
	// transferTimeout bounds a whole transfer. Raising it lets a stuck process delay the exit of the leaving one; lowering
	// it aborts transfers to a process that is merely busy.
	transferTimeout = 500 * time.Millisecond
	// maxStateBytes bounds the state that accompanies transferred connections.
	maxStateBytes = 4 << 20

	rejected, accepted = 0, 1 // answers of the receiving process

	// learnedStateQuestion is sent in place of the length of a state, to request the learned state. A version that doesn't
	// know it rejects it as a length above its limit.
	learnedStateQuestion = 1<<32 - 1
	maxLearnedStateBytes = 4 << 20
	// questionTimeout bounds a request for the learned state. Raising it delays the start beside a stuck process; lowering
	// it makes a process start without the learned state of a busy one.
	questionTimeout = 400 * time.Millisecond

	lengthBytes = 4 // size of the length that precedes a state
)

var errRejected = errors.New("the other process rejected the transfer")

func (r *Rendezvous) socket(id int) string {
	return filepath.Join(r.dir, socketPrefix+strconv.Itoa(id))
}

// Transfer hands connections and their state over to another process. If it returns no error, the other process has
// accepted them: this process must not read or write them any more, and closing them here doesn't end them. Its error is
// a TransferError.
func (r *Rendezvous) Transfer(to int, state []byte, conns ...net.Conn) error {
	c, err := net.DialTimeout("unix", r.socket(to), transferTimeout)
	if err != nil {
		return &TransferError{"transferring connections", err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(transferTimeout)) // fails only on a closed connection, where writes fail too
	if err := sendDescriptors(c.(*net.UnixConn), len(state), conns, nil); err != nil {
		return &TransferError{"transferring connections", err}
	}
	if err := sendState(c, state); err != nil {
		return &TransferError{"transferring connections", err}
	}
	// Danger: without an answer, for example because the other process has just crashed, that process may already have
	// continued the response. If this one continued it too, the response would be corrupted. So only an explicit rejection
	// counts as one.
	var answer [1]byte
	if n, _ := c.Read(answer[:]); n == 1 && answer[0] != accepted {
		return &TransferError{"transferring connections", errRejected}
	}
	return nil
}

// sendDescriptors sends the length of a state together with the descriptors of connections. It recurses so that all
// connections stay open while their descriptors are used: otherwise a descriptor number could already belong to another
// file.
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

// sendState writes a state after its length. Danger: if the state is empty, the other process may already have accepted
// the transfer and closed the socket. Even an empty write would then fail, and both processes would use the connection.
func sendState(w io.Writer, state []byte) error {
	if len(state) == 0 {
		return nil
	}
	_, err := w.Write(state)
	return err
}

// rawConnOf returns the socket under a connection's wrappers.
func rawConnOf(c net.Conn) (syscall.RawConn, error) {
	if inner, ok := c.(interface{ NetConn() net.Conn }); ok {
		return rawConnOf(inner.NetConn())
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("%T is not a socket", c)
	}
	return socket.SyscallConn()
}

// FetchLearnedState returns the encoded learned state of another process. If that process is stuck, or its version
// doesn't know this request, it returns a TransferError within questionTimeout.
func (r *Rendezvous) FetchLearnedState(from int) ([]byte, error) {
	c, err := net.DialTimeout("unix", r.socket(from), questionTimeout)
	if err != nil {
		return nil, &TransferError{"fetching the learned state", err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(questionTimeout)) // fails only on a closed connection, where writes fail too
	state, err := fetchLearnedState(c)
	if err != nil {
		return nil, &TransferError{"fetching the learned state", err}
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
		return nil, fmt.Errorf("state of %d bytes exceeds the limit of %d", n, maxLearnedStateBytes)
	}
	state := make([]byte, n)
	_, err := io.ReadFull(c, state)
	return state, err
}
