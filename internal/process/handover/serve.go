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
	maxTransfers        = 16 // under way at a time
)

// Receiver handles what other processes send.
type Receiver interface {
	// AcceptTransfer goes on with connections that another process gives up. They are the receiver's unless it returns an
	// error.
	AcceptTransfer(state []byte, conns []net.Conn) error
	// LearnedState returns the learned state of this process, encoded. It may be slow, and has until ctx ends.
	LearnedState(ctx context.Context) ([]byte, error)
}

// Serve accepts what other processes transfer, and answers their questions, until ctx ends. Where no socket can be had,
// it logs that, and nothing is accepted or answered.
func (r *Rendezvous) Serve(ctx context.Context, receiver Receiver, logf func(string, ...any)) {
	path := r.socket(r.id)
	_ = os.Remove(path) // of an earlier process with this number
	listener, err := net.Listen("unix", path)
	if err != nil {
		logf("rendezvous: nothing can be passed to this process: %v", err)
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

// serveConn handles one transfer or question.
func serveConn(ctx context.Context, c *net.UnixConn, receiver Receiver) error {
	_ = c.SetDeadline(time.Now().Add(transferTimeout)) // where it fails the connection is closed, which a read meets
	length, rights := make([]byte, lengthBytes), make([]byte, syscall.CmsgSpace(lengthBytes*maxConnsPerTransfer))
	n, rightsLength, _, _, err := c.ReadMsgUnix(length, rights)
	conns, rightsErr := connsOf(rights[:rightsLength])
	if err = errors.Join(err, rightsErr); err != nil || n != len(length) {
		return reject(c, conns, &TransferError{"passed", errors.Join(err, io.ErrUnexpectedEOF)})
	}
	size := binary.BigEndian.Uint32(length)
	if size == learnedStateQuestion && len(conns) == 0 {
		return answerQuestion(ctx, c, receiver)
	}
	if size > maxStateBytes {
		return reject(c, conns, &TransferError{"passed", fmt.Errorf("%d bytes, %d at most", size, maxStateBytes)})
	}
	state := make([]byte, size)
	if _, err := io.ReadFull(c, state); err != nil {
		return reject(c, conns, &TransferError{"passed", err})
	}
	if err := receiver.AcceptTransfer(state, conns); err != nil {
		return reject(c, conns, err)
	}
	_, _ = c.Write([]byte{accepted}) // without an answer it counts as accepted
	return nil
}

// reject answers that nothing was accepted, and returns the cause.
func reject(c net.Conn, conns []net.Conn, cause error) error {
	_, _ = c.Write([]byte{rejected}) // whoever asked may have gone
	for _, conn := range conns {
		_ = conn.Close() // it goes on in the other process
	}
	return cause
}

func answerQuestion(ctx context.Context, c net.Conn, receiver Receiver) error {
	ctx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	state, err := receiver.LearnedState(ctx)
	if err != nil {
		return &TransferError{"asked", err}
	}
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(state))), state...))
	return err
}

// connsOf makes connections of the descriptors that came with a message.
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

// connOf makes a connection of a descriptor, which it closes.
func connOf(descriptor int) (net.Conn, error) {
	syscall.CloseOnExec(descriptor)
	file := os.NewFile(uintptr(descriptor), "transferred")
	defer file.Close()
	return net.FileConn(file)
}
