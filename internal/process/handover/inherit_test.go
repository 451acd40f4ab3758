package handover

import (
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
)

// passed returns a copy of a socket's descriptor, as inherited from a parent process.
func passed(t *testing.T, s interface{ File() (*os.File, error) }) int {
	t.Helper()
	f, err := s.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

func TestListenerFromADescriptor(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	got, err := Listener(passed(t, ln.(*net.TCPListener)), ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer got.Close()
	go func() {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err == nil {
			defer c.Close()
			_, _ = c.Write([]byte("x"))
		}
	}()
	c, err := got.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}

// A wrong descriptor gives an error of one line that says what is wrong.
func TestDescriptorsThatAreNoListener(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	udp, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	file, err := os.CreateTemp(t.TempDir(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for name, c := range map[string]struct {
		fd   int
		addr string
		says string
	}{
		"closed":          {1 << 20, "127.0.0.1:1", "not open"},
		"a file":          {int(file.Fd()), "127.0.0.1:1", "not a TCP socket"},
		"UDP":             {passed(t, udp.(*net.UDPConn)), "127.0.0.1:1", "not a TCP socket"},
		"a connection":    {passed(t, client.(*net.TCPConn)), "127.0.0.1:1", "is not listening"},
		"another address": {passed(t, ln.(*net.TCPListener)), "127.0.0.2:1", "the configuration says 127.0.0.2:1"},
	} {
		_, err := Listener(c.fd, c.addr)
		if err == nil || !strings.Contains(err.Error(), c.says) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
