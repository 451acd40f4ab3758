package simnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

const (
	clientIP      = "10.0.0.1"
	serverIP      = "10.0.0.2"
	serverAddress = "10.0.0.2:80"
	delay         = 5 * time.Millisecond
)

// connected creates a network with a connection between two machines. It is closed when the test ends.
func connected(t *testing.T, cfg Config) (n *Network, client, server net.Conn) {
	t.Helper()
	cfg.Delay = delay
	n = New(cfg)
	l, err := n.Machine(serverIP).Listen(serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	client, err = n.Machine(clientIP).Dial(t.Context(), serverAddress)
	if err != nil {
		t.Fatal(err)
	}
	server, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, c := range []io.Closer{l, client, server} {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
		}
	})
	return n, client, server
}

func mustWrite(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// mustRead reads len(text) bytes, compares them with text and returns how long the read took.
func mustRead(t *testing.T, conn net.Conn, text string) time.Duration {
	t.Helper()
	began := time.Now()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatal(err)
	}
	if string(got) != text {
		t.Fatalf("read %q, want %q", got, text)
	}
	return time.Since(began)
}

// connectionCases are the test cases on an open connection.
var connectionCases = []struct {
	name string
	run  func(t *testing.T, n *Network, client, server net.Conn)
}{
	{"bytes arrive after the delay", func(t *testing.T, _ *Network, client, server net.Conn) {
		mustWrite(t, client, "hello")
		is.New(t).Equal(mustRead(t, server, "hello"), delay)
	}},
	{"bytes wait for the end of a partition", func(t *testing.T, n *Network, client, server net.Conn) {
		n.Isolate(clientIP, []string{clientIP, serverIP}, true)
		mustWrite(t, client, "hello")
		time.AfterFunc(time.Minute, func() { n.Isolate(clientIP, []string{serverIP}, false) })
		is.New(t).Equal(mustRead(t, server, "hello"), time.Minute)
	}},
	{"a limited rate spreads bytes", func(t *testing.T, n *Network, client, server net.Conn) {
		n.SetMachineRate(clientIP, 1000)
		mustWrite(t, client, string(make([]byte, 500)))
		is.New(t).Equal(mustRead(t, server, string(make([]byte, 500))), 500*time.Millisecond+delay)
	}},
	{"written bytes are read before the end of the stream", func(t *testing.T, _ *Network, client, server net.Conn) {
		mustWrite(t, client, "hello")
		is := is.New(t)
		is.NoErr(client.Close())
		mustRead(t, server, "hello")
		_, err := server.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}},
	{"a killed machine resets its peers", func(t *testing.T, n *Network, _, server net.Conn) {
		n.Machine(clientIP).Kill()
		_, err := server.Read(make([]byte, 1))
		is.New(t).True(errors.Is(err, syscall.ECONNRESET))
	}},
	{"a read fails at its deadline", func(t *testing.T, _ *Network, _, server net.Conn) {
		is := is.New(t)
		is.NoErr(server.SetReadDeadline(time.Now().Add(time.Second)))
		_, err := server.Read(make([]byte, 1))
		is.Equal(err, os.ErrDeadlineExceeded)
	}},
	{"a write waits for room in the window", func(t *testing.T, _ *Network, client, _ net.Conn) {
		is := is.New(t)
		is.NoErr(client.SetWriteDeadline(time.Now().Add(time.Second)))
		written, err := client.Write(make([]byte, windowBytes+1))
		is.Equal(written, windowBytes)
		is.Equal(err, os.ErrDeadlineExceeded)
	}},
}

func TestConnections(t *testing.T) {
	for _, test := range connectionCases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, client, server := connected(t, Config{Seed: 1})
				test.run(t, n, client, server)
			})
		})
	}
}

func TestDialFails(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(n *Network)
		want    error
		took    time.Duration
	}{
		{"nobody listens", func(*Network) {}, syscall.ECONNREFUSED, 2 * delay},
		{"the machine is down", func(n *Network) { n.Machine(clientIP).Kill() }, syscall.ENETDOWN, 0},
		{
			"a partition separates the machines", func(n *Network) { n.SetPartitioned(serverIP, clientIP, true) },
			context.DeadlineExceeded, time.Minute,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := New(Config{Delay: delay, Seed: 1})
				test.prepare(n)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				began := time.Now()
				_, err := n.Machine(clientIP).Dial(ctx, serverAddress)
				is.True(errors.Is(err, test.want))
				is.Equal(time.Since(began), test.took)
			})
		})
	}
}

func TestDatagrams(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(n *Network)
		arrive  int
	}{
		{"all arrive", func(*Network) {}, 100},
		{"all are lost", func(n *Network) { n.SetLoss(1) }, 0},
		{"a partition loses all", func(n *Network) { n.SetPartitioned(clientIP, serverIP, true) }, 0},
		{"a partition of the other direction loses none", func(n *Network) { n.SetPartitioned(serverIP, clientIP, true) }, 100},
		// A datagram of 10 bytes takes 2 ms at this rate, and one is accepted while at most 100 ms are queued.
		{"datagrams that would wait too long are lost", func(n *Network) { n.SetRate(5000) }, 51},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := New(Config{Delay: delay, Seed: 1})
				test.prepare(n)
				receiver, err := n.Machine(serverIP).ListenPacket(serverAddress)
				is.NoErr(err)
				sender, err := n.Machine(clientIP).ListenPacket(clientIP + ":9")
				is.NoErr(err)
				for range 100 {
					_, err := sender.WriteTo(make([]byte, 10), receiver.LocalAddr())
					is.NoErr(err)
				}
				time.Sleep(time.Second)
				is.Equal(len(receiver.(*packetSocket).queue), test.arrive)
				is.NoErr(sender.Close())
				is.NoErr(receiver.Close())
			})
		})
	}
}
