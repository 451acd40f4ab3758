package handover

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

// receiverFuncs implements Receiver with two functions.
type receiverFuncs struct {
	accept func(state []byte, conns []net.Conn) error
	state  func(context.Context) ([]byte, error)
}

var _ Receiver = receiverFuncs{}

// AcceptTransfer implements Receiver.
func (f receiverFuncs) AcceptTransfer(state []byte, conns []net.Conn) error {
	return f.accept(state, conns)
}

// LearnedState implements Receiver.
func (f receiverFuncs) LearnedState(ctx context.Context) ([]byte, error) { return f.state(ctx) }

// receiver serves the rendezvous of a process with an id until the test ends.
func receiver(t *testing.T, dir string, id int, take func([]byte, []net.Conn) error, tell func(context.Context) ([]byte, error)) {
	t.Helper()
	r := &Rendezvous{dir: dir, id: id}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Serve(ctx, receiverFuncs{take, tell}, t.Logf)
	}()
	t.Cleanup(func() { cancel(); <-done })
	// The file exists shortly before the socket listens, so only a successful connection shows that it is ready.
	testutil.Eventually(t, "the socket", func() bool {
		probe, err := net.Dial("unix", r.socket(id))
		if err != nil {
			return false
		}
		probe.Close()
		return true
	})
}

func TestTransfer(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "pass") // the path of a socket must be short
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
	if err := r.Transfer(7, []byte("x"), near); err == nil {
		t.Error("transferred to a process that doesn't exist")
	}
	receiver(t, dir, 2, func([]byte, []net.Conn) error { return errors.New("not today") }, nil)
	if err := r.Transfer(2, []byte("x"), near); err == nil {
		t.Error("transferred to a process that rejects it")
	}
	type got struct {
		state string
		conns []net.Conn
	}
	took := make(chan got, 1)
	receiver(t, dir, 3, func(s []byte, c []net.Conn) error { took <- got{string(s), c}; return nil }, nil)
	state := make([]byte, 300<<10)
	copy(state, "state")
	if err := r.Transfer(3, state, near); err != nil {
		t.Fatal(err)
	}
	near.Close() // doesn't end the connection, which the other process now has
	g := testutil.Receive(t, took, "the transfer")
	if g.state != string(state) || len(g.conns) != 1 {
		t.Fatalf("received %d bytes of state and %d connections", len(g.state), len(g.conns))
	}
	go func() {
		_, _ = io.WriteString(g.conns[0], "from the other")
		g.conns[0].Close()
	}()
	if text, err := io.ReadAll(far); err != nil || string(text) != "from the other" {
		t.Errorf("the client read %q, error %v", text, err)
	}
}

// FetchLearnedState returns the state, or an error soon if the other process has none, is stuck, is of a version that
// doesn't know the request, or doesn't exist.
func TestFetchLearnedState(t *testing.T) {
	t.Parallel()
	dir, err := os.MkdirTemp("", "ask")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	r := &Rendezvous{dir: dir, id: 1}
	state := make([]byte, 300<<10)
	copy(state, "state")
	receiver(t, dir, 2, nil, func(context.Context) ([]byte, error) { return state, nil })
	for range 3 {
		if learned, err := r.FetchLearnedState(2); err != nil || !bytes.Equal(learned, state) {
			t.Fatalf("fetched %d bytes, error %v; want the served state", len(learned), err)
		}
	}
	receiver(t, dir, 3, nil, func(context.Context) ([]byte, error) { return nil, errors.New("nothing") })
	receiver(t, dir, 4, nil, func(ctx context.Context) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() })
	answers(t, r, 5, func(c *net.UnixConn) { // mistakes the request for the length of a state above the limit
		_, _ = c.Read(make([]byte, 4))
		_, _ = c.Write([]byte{rejected})
	})
	answers(t, r, 6, func(c *net.UnixConn) {
		_, _ = c.Write([]byte{0x7f, 0xff, 0xff, 0xff})
		_, _ = c.Read(make([]byte, 8))
	})
	for id, who := range map[int]string{3: "a process without a state", 4: "a stuck process", 5: "an old version", 6: "a process with an oversized state", 7: "a missing process"} {
		if learned, err := r.FetchLearnedState(id); err == nil {
			t.Errorf("%s returned %d bytes", who, len(learned))
		}
	}
}

// ended is a connection that the peer has closed.
type ended struct{}

func (ended) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// With an empty state, the receiver may close the socket before the sender would write the state. That must not count
// as a failure, or both processes would use the connection.
func TestTransferWithEmptyState(t *testing.T) {
	t.Parallel()
	if err := sendState(ended{}, nil); err != nil {
		t.Errorf("empty state: %v", err)
	}
	if err := sendState(ended{}, []byte("x")); err == nil {
		t.Error("a failed write of a state was not reported")
	}
}

// answers listens at the socket of a process with an id and handles each connection with a function.
func answers(t *testing.T, r *Rendezvous, id int, how func(c *net.UnixConn)) {
	t.Helper()
	ln, err := net.Listen("unix", r.socket(id))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.ServeRaw(ln, func(c net.Conn, _ *bufio.Reader) { how(c.(*net.UnixConn)) }).Close)
}

// connection returns both ends of a client connection: the client's and the process's.
func connection(t *testing.T) (far, near net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	far = testutil.Dial(t, ln.Addr().String())
	if near, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close() })
	return far, near
}

// readHead reads the length of a state and the descriptors sent with it, and closes these, as happens when a process
// crashes.
func readHead(t *testing.T, c *net.UnixConn) {
	rights := make([]byte, syscall.CmsgSpace(lengthBytes*maxConnsPerTransfer))
	_, n, _, _, err := c.ReadMsgUnix(make([]byte, lengthBytes), rights)
	if err != nil {
		t.Error(err)
	}
	conns, err := connsOf(rights[:n])
	if err != nil || len(conns) != 1 {
		t.Errorf("%d connections, %v", len(conns), err)
	}
	for _, conn := range conns {
		conn.Close()
	}
}

// awaitUnread waits until n unread bytes have arrived: if the process crashed earlier, the sender's write would fail and
// the connection would stay with the sender.
func awaitUnread(t *testing.T, c *net.UnixConn, n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for come, end := 0, time.Now().Add(testutil.WaitTimeout); come < n && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if err := raw.Control(func(fd uintptr) { come, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
			t.Error(err)
			return
		}
	}
}

// sendPartly sends the beginning of a transfer, with the descriptor of a connection attached to its first bytes.
func sendPartly(t *testing.T, c *net.UnixConn, conn net.Conn, text string) {
	t.Helper()
	if text == "" {
		return
	}
	raw, err := rawConnOf(conn)
	if err != nil {
		t.Fatal(err)
	}
	first := min(lengthBytes, len(text))
	controlErr := raw.Control(func(fd uintptr) { _, _, err = c.WriteMsgUnix([]byte(text[:first]), syscall.UnixRights(int(fd)), nil) })
	if err := errors.Join(controlErr, err); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, text[first:]); err != nil {
		t.Fatal(err)
	}
}

// The receiver of a connection crashes after each of its steps. If it may have accepted the connection, no process
// continues it, and the client sees it close at once. If it has rejected it, the connection stays with the sender.
func TestReceiverCrashesDuringTransfer(t *testing.T) {
	t.Parallel()
	state := func(c *net.UnixConn) { readHead(t, c); _, _ = io.ReadFull(c, make([]byte, 5)) }
	for name, step := range map[string]struct {
		until func(c *net.UnixConn)
		stays bool
	}{
		"before it reads":      {func(c *net.UnixConn) { awaitUnread(t, c, 9) }, false},
		"after the descriptor": {func(c *net.UnixConn) { readHead(t, c); awaitUnread(t, c, 5) }, false},
		"after the state":      {state, false},
		"after it accepts":     {func(c *net.UnixConn) { state(c); _, _ = c.Write([]byte{accepted}) }, false},
		"after it rejects":     {func(c *net.UnixConn) { state(c); _, _ = c.Write([]byte{rejected}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			dir, err := os.MkdirTemp("", "crash")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { os.RemoveAll(dir) })
			r := &Rendezvous{dir: dir, id: 1}
			answers(t, r, 2, step.until)
			far, near := connection(t)
			if err := r.Transfer(2, []byte("state"), near); (err != nil) != step.stays {
				t.Fatalf("%v", err)
			}
			if step.stays {
				_, _ = io.WriteString(near, "it goes on here")
			}
			near.Close()
			if text, err := io.ReadAll(far); err != nil || (string(text) == "it goes on here") != step.stays {
				t.Errorf("the client read %q, %v", text, err)
			}
		})
	}
}

// The sender of a connection crashes after each of its steps. An incomplete transfer is rejected and its connection
// closes; a complete one is accepted.
func TestSenderCrashesDuringTransfer(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]struct {
		write string
		whole bool
	}{
		"before it writes":          {"", false},
		"in the length":             {"\x00\x00", false},
		"after the descriptor":      {"\x00\x00\x00\x05", false},
		"in the state":              {"\x00\x00\x00\x05sta", false},
		"before it reads an answer": {"\x00\x00\x00\x05state", true},
	} {
		t.Run(name, func(t *testing.T) {
			dir, err := os.MkdirTemp("", "crash")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { os.RemoveAll(dir) })
			took := make(chan net.Conn, 1)
			receiver(t, dir, 2, func(state []byte, conns []net.Conn) error {
				if string(state) != "state" {
					t.Errorf("state %q was accepted", state)
				}
				took <- conns[0]
				return nil
			}, nil)
			far, near := connection(t)
			c, err := net.Dial("unix", (&Rendezvous{dir: dir}).socket(2))
			if err != nil {
				t.Fatal(err)
			}
			sendPartly(t, c.(*net.UnixConn), near, step.write)
			c.Close()
			near.Close()
			if step.whole {
				conn := testutil.Receive(t, took, "the connection")
				_, _ = io.WriteString(conn, "taken")
				conn.Close()
			}
			if text, err := io.ReadAll(far); err != nil || (string(text) == "taken") != step.whole {
				t.Errorf("the client read %q, %v", text, err)
			}
			if len(took) > 0 {
				t.Error("an incomplete transfer was accepted")
			}
		})
	}
}
