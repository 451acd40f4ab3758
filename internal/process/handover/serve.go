package handover

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	maxConnsPerTransfer = 2
	maxTransfers        = 16 // concurrent
)

// Receiver handles what other processes send.
type Receiver interface {
	// AcceptTransfer takes over connections from another process. The receiver owns them unless it returns an error.
	AcceptTransfer(state []byte, conns []net.Conn) error
	// LearnedState returns the encoded learned state of this process. It may take until ctx ends.
	LearnedState(ctx context.Context) ([]byte, error)
}

// Serve accepts transfers from other processes, and answers their requests for the learned state, until ctx ends. If it
// can't listen on its socket, it logs that and returns.
func (r *Rendezvous) Serve(ctx context.Context, receiver Receiver, logf func(string, ...any)) {
	path := r.socket(r.id)
	_ = os.Remove(path) // an earlier process with the same id may have left it
	listener, err := net.Listen("unix", path)
	if err != nil {
		logf("rendezvous: this process can't receive transfers: %v", err)
		return
	}
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })()
	var transfers sync.WaitGroup
	defer transfers.Wait()
	slots := make(chan struct{}, maxTransfers)
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		slots <- struct{}{}
		transfers.Go(func() {
			defer func() { <-slots }()
			defer c.Close()
			if err := serveConn(ctx, c.(*net.UnixConn), receiver); err != nil {
				logf("rendezvous: %v", err)
			}
		})
	}
}

// serveConn handles one transfer, or one request for the learned state.
func serveConn(ctx context.Context, c *net.UnixConn, receiver Receiver) error {
	_ = c.SetDeadline(time.Now().Add(transferTimeout)) // fails only on a closed connection, where reads fail too
	length, rights := make([]byte, lengthBytes), make([]byte, syscall.CmsgSpace(lengthBytes*maxConnsPerTransfer))
	n, rightsLength, _, _, err := c.ReadMsgUnix(length, rights)
	conns, rightsErr := connsOf(rights[:rightsLength])
	if err = errors.Join(err, rightsErr); err != nil || n != len(length) {
		return reject(c, conns, &TransferError{"receiving a transfer", errors.Join(err, io.ErrUnexpectedEOF)})
	}
	size := binary.BigEndian.Uint32(length)
	if size == learnedStateQuestion && len(conns) == 0 {
		return answerQuestion(ctx, c, receiver)
	}
	if size > maxStateBytes {
		return reject(c, conns, &TransferError{"receiving a transfer", fmt.Errorf("state of %d bytes exceeds the limit of %d", size, maxStateBytes)})
	}
	state := make([]byte, size)
	if _, err := io.ReadFull(c, state); err != nil {
		return reject(c, conns, &TransferError{"receiving a transfer", err})
	}
	if err := receiver.AcceptTransfer(state, conns); err != nil {
		return reject(c, conns, err)
	}
	_, _ = c.Write([]byte{accepted}) // the sender treats a missing answer as accepted
	return nil
}

// reject answers that the transfer was rejected, closes the connections, and returns the cause.
func reject(c net.Conn, conns []net.Conn, cause error) error {
	_, _ = c.Write([]byte{rejected}) // the sender may have ended
	for _, conn := range conns {
		_ = conn.Close() // the sender still has it
	}
	return cause
}

func answerQuestion(ctx context.Context, c net.Conn, receiver Receiver) error {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	state, err := receiver.LearnedState(ctx)
	if err != nil {
		return &TransferError{"answering a request for the learned state", err}
	}
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(state))), state...))
	return err
}

// connsOf makes connections from the descriptors received with a message.
func connsOf(rights []byte) ([]net.Conn, error) {
	messages, err := syscall.ParseSocketControlMessage(rights)
	if err != nil {
		return nil, err
	}
	var conns []net.Conn
	for i := range messages {
		descriptors, err := syscall.ParseUnixRights(&messages[i])
		if err != nil {
			return conns, err
		}
		for _, descriptor := range descriptors {
			conn, connErr := connOf(descriptor)
			if connErr != nil {
				err = errors.Join(err, connErr)
				continue
			}
			conns = append(conns, conn)
		}
		if err != nil {
			return conns, err
		}
	}
	return conns, nil
}

// connOf makes a connection from a descriptor, and closes the descriptor.
func connOf(descriptor int) (net.Conn, error) {
	syscall.CloseOnExec(descriptor)
	file := os.NewFile(uintptr(descriptor), "transferred")
	defer file.Close()
	return net.FileConn(file)
}
