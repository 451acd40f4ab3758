package handover

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"

	"marlreel/internal/testutil"
)

// receiver is a rendezvous that takes what is passed, under a number of its own.
func receiver(t *testing.T, dir string, id int, take func([]byte, []net.Conn) error) {
	t.Helper()
	r := &Rendezvous{dir: dir, id: id}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Receive(ctx, take, t.Logf)
	}()
	t.Cleanup(func() { cancel(); <-done })
	testutil.Eventually(t, "the socket", func() bool {
		_, err := os.Stat(r.socket(id))
		return err == nil
	})
}

func TestPass(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pass") // a socket's path is short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	near, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	r := &Rendezvous{dir: dir, id: 1}
	if err := r.Pass(7, []byte("x"), near); err == nil {
		t.Error("passed to nobody")
	}
	receiver(t, dir, 2, func([]byte, []net.Conn) error { return errors.New("not today") })
	if err := r.Pass(2, []byte("x"), near); err == nil {
		t.Error("passed to one that does not take it")
	}
	type got struct {
		state string
		conns []net.Conn
	}
	took := make(chan got, 1)
	receiver(t, dir, 3, func(s []byte, c []net.Conn) error { took <- got{string(s), c}; return nil })
	state := make([]byte, 300<<10)
	copy(state, "state")
	if err := r.Pass(3, state, near); err != nil {
		t.Fatal(err)
	}
	near.Close() // which ends nothing: the other has it
	g := testutil.Receive(t, took, "what was passed")
	if g.state != string(state) || len(g.conns) != 1 {
		t.Fatalf("%d bytes and %d connections", len(g.state), len(g.conns))
	}
	go func() {
		io.WriteString(g.conns[0], "from the other")
		g.conns[0].Close()
	}()
	if text, err := io.ReadAll(far); err != nil || string(text) != "from the other" {
		t.Errorf("%q %v", text, err)
	}
}
