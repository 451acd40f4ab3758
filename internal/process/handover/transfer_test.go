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

// receiverFuncs are a Receiver of two functions.
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

// receiver is a rendezvous that takes what is passed, under a number of its own.
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
	// The file is there a moment before anybody listens at it: only a connection tells.
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
	if err := r.Transfer(7, []byte("x"), near); err == nil {
		t.Error("passed to nobody")
	}
	receiver(t, dir, 2, func([]byte, []net.Conn) error { return errors.New("not today") }, nil)
	if err := r.Transfer(2, []byte("x"), near); err == nil {
		t.Error("passed to one that does not take it")
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
	near.Close() // which ends nothing: the other has it
	g := testutil.Receive(t, took, "what was passed")
	if g.state != string(state) || len(g.conns) != 1 {
		t.Fatalf("%d bytes and %d connections", len(g.state), len(g.conns))
	}
	go func() {
		_, _ = io.WriteString(g.conns[0], "from the other")
		g.conns[0].Close()
	}()
	if text, err := io.ReadAll(far); err != nil || string(text) != "from the other" {
		t.Errorf("%q %v", text, err)
	}
}

// Who asks is told, or told soon that there is nothing: by who has nothing to tell, by who is
// stuck, by a version that knows of no such question, and by nobody.
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
		if told, err := r.FetchLearnedState(2); err != nil || !bytes.Equal(told, state) {
			t.Fatalf("%d bytes, %v", len(told), err)
		}
	}
	receiver(t, dir, 3, nil, func(context.Context) ([]byte, error) { return nil, errors.New("nothing") })
	receiver(t, dir, 4, nil, func(ctx context.Context) ([]byte, error) { <-ctx.Done(); return nil, ctx.Err() })
	answers(t, r, 5, func(c *net.UnixConn) { // takes it for the length of a state that is too long
		_, _ = c.Read(make([]byte, 4))
		_, _ = c.Write([]byte{rejected})
	})
	answers(t, r, 6, func(c *net.UnixConn) {
		_, _ = c.Write([]byte{0x7f, 0xff, 0xff, 0xff})
		_, _ = c.Read(make([]byte, 8))
	})
	for id, who := range map[int]string{3: "one with nothing to tell", 4: "one that is stuck", 5: "an old one", 6: "one that tells too much", 7: "nobody"} {
		if told, err := r.FetchLearnedState(id); err == nil {
			t.Errorf("%s has told %d bytes", who, len(told))
		}
	}
}

// ended is a call that the other side has ended.
type ended struct{}

func (ended) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// Where there is nothing to say of a connection, the one that takes it may have ended the call before
// nothing is written: that is no failure, or both would go on with it.
func TestTransferWithNothingToSay(t *testing.T) {
	t.Parallel()
	if err := sendState(ended{}, nil); err != nil {
		t.Errorf("nothing to say: %v", err)
	}
	if err := sendState(ended{}, []byte("x")); err == nil {
		t.Error("a state that never went out has gone")
	}
}

// answers lets a process of a number treat each that comes to it in a test's way.
func answers(t *testing.T, r *Rendezvous, id int, how func(c *net.UnixConn)) {
	t.Helper()
	ln, err := net.Listen("unix", r.socket(id))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standin.ServeRaw(ln, func(c net.Conn, _ *bufio.Reader) { how(c.(*net.UnixConn)) }).Close)
}

// connection gives both ends of a client's connection: the client's and the process's.
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

// readHead reads a state's length and the descriptors behind it, and closes these, as a process that dies does.
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

// awaitUnread waits until so many bytes have come: a process that dies sooner refuses the write, and the connection stays.
func awaitUnread(t *testing.T, c *net.UnixConn, n int) {
	raw, err := c.SyscallConn()
	if err != nil {
		t.Error(err)
		return
	}
	for come, end := 0, time.Now().Add(testutil.Patience); come < n && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if err := raw.Control(func(fd uintptr) { come, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
			t.Error(err)
			return
		}
	}
}

// sendPartly sends the beginning of a transfer, with a connection's descriptor behind its first bytes.
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

// Whoever takes a connection dies at each of its steps: where it may have taken it, nobody goes on with it, and the
// client sees its end at once; where it has said that it does not, the connection stays where it was.
func TestTransferToOneThatDies(t *testing.T) {
	t.Parallel()
	state := func(c *net.UnixConn) { readHead(t, c); _, _ = io.ReadFull(c, make([]byte, 5)) }
	for name, step := range map[string]struct {
		until func(c *net.UnixConn)
		stays bool
	}{
		"before it reads":       {func(c *net.UnixConn) { awaitUnread(t, c, 9) }, false},
		"behind the descriptor": {func(c *net.UnixConn) { readHead(t, c); awaitUnread(t, c, 5) }, false},
		"behind the state":      {state, false},
		"behind its yes":        {func(c *net.UnixConn) { state(c); _, _ = c.Write([]byte{accepted}) }, false},
		"behind its no":         {func(c *net.UnixConn) { state(c); _, _ = c.Write([]byte{rejected}) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			dir, err := os.MkdirTemp("", "dies")
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

// Whoever passes a connection dies at each of its steps: what came in part is not taken, and its connection ends; what
// came whole is.
func TestTransferByOneThatDies(t *testing.T) {
	t.Parallel()
	for name, step := range map[string]struct {
		write string
		whole bool
	}{
		"before it writes":       {"", false},
		"in the length":          {"\x00\x00", false},
		"behind the descriptor":  {"\x00\x00\x00\x05", false},
		"in the state":           {"\x00\x00\x00\x05sta", false},
		"before the yes is read": {"\x00\x00\x00\x05state", true},
	} {
		t.Run(name, func(t *testing.T) {
			dir, err := os.MkdirTemp("", "dies")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { os.RemoveAll(dir) })
			took := make(chan net.Conn, 1)
			receiver(t, dir, 2, func(state []byte, conns []net.Conn) error {
				if string(state) != "state" {
					t.Errorf("%q was taken", state)
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
				t.Error("what came in part was taken")
			}
		})
	}
}
