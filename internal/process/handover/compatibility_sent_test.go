package handover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/testing/recorded"
)

// Checks the files through which two processes of a proxy, possibly of different versions, find each other, and the
// stages stored in them.
func TestCompatibilityFiles(t *testing.T) {
	dir := t.TempDir()
	r, err := Join(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var got strings.Builder
	for _, s := range []Stage{Starting, Serving, Leaving} {
		if err := r.SetStage(s); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("marlreel-process-%d", os.Getpid())))
		if err != nil {
			t.Fatal(err)
		}
		stage, alive := inspect(r.path(r.id))
		fmt.Fprintf(&got, "%s: %q, read as %s, alive %v\n", s, text, stage, alive)
	}
	fmt.Fprintln(&got, "socket:", filepath.Base(r.socket(7)))
	recorded.Check(t, "files.txt", got.String())
}

// answerOnce reads size bytes from the next connection, sends text as the answer, and returns the bytes read.
func answerOnce(ln net.Listener, size int, text []byte) []byte {
	c, err := ln.Accept()
	if err != nil {
		return nil
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // makes a read that never ends fail
	data := make([]byte, size)
	n, _ := io.ReadFull(c, data) // a short read shows in the recorded file
	_, _ = c.Write(text)         // likewise
	return data[:n]
}

// Checks the bytes on the socket: a transferred state, the request for the learned state, and their answers.
func TestCompatibilityCalls(t *testing.T) {
	dir, err := os.MkdirTemp("", "call") // the path of a socket must be short
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	ln, err := net.Listen("unix", filepath.Join(dir, "marlreel-socket-2"))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sent := make(chan []byte, 1)
	answer := func(size int, text []byte) { sent <- answerOnce(ln, size, text) }
	r := &Rendezvous{dir: dir, id: 1}
	var got strings.Builder
	go answer(9, []byte{1})
	err = r.Transfer(2, []byte("state"))
	fmt.Fprintf(&got, "pass: %x, answered 01: taken %v\n", <-sent, err == nil)
	go answer(9, []byte{0})
	err = r.Transfer(2, []byte("state"))
	fmt.Fprintf(&got, "pass: %x, answered 00: taken %v\n", <-sent, err == nil)
	go answer(4, []byte{0, 0, 0, 6, 'l', 'e', 'a', 'r', 'n', 't'})
	learned, err := r.FetchLearnedState(2)
	fmt.Fprintf(&got, "ask: %x, answered 000000066c6561726e74: told %q, good %v\n", <-sent, learned, err == nil)

	// The receiving side.
	receiver(t, dir, 3, func(state []byte, conns []net.Conn) error {
		if string(state) == "bad" {
			return errors.New("not today")
		}
		return nil
	}, func(context.Context) ([]byte, error) { return []byte("learnt"), nil })
	for _, text := range []string{"\x00\x00\x00\x05state", "\x00\x00\x00\x03bad", "\xff\xff\xff\xff", "\x00\x50\x00\x00"} {
		c, err := net.Dial("unix", filepath.Join(dir, "marlreel-socket-3"))
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(c, text)
		said, err := io.ReadAll(c)
		c.Close()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "received %x: answers %x\n", text, said)
	}
	recorded.Check(t, "calls.txt", got.String())
}
