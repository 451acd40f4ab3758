package peers

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/testing/recorded"
	"marlreel/internal/testutil"
)

// The metadata that a proxy announces to the others, by which a proxy of another fleet is recognized.
func TestCompatibilityMeta(t *testing.T) {
	started := time.Date(2026, 11, 30, 8, 15, 0, 250_000_000, time.UTC)
	p := &Peers{cfg: Config{Fleet: "pier", Name: "n0", Boot: 77, Started: started, Refused: func(error) {}}, known: map[string]Member{}, reported: map[string]bool{}}
	recorded.Check(t, "meta.json", string(append(delegate{p}.NodeMeta(512), '\n')))
}

// A frame between peers is the length of the sender's name in one byte, the name, and the message.
func TestCompatibilityFrame(t *testing.T) {
	stored, err := os.ReadFile(filepath.Join("testdata", "compatibility", "frames.txt"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	p := &Peers{cfg: Config{Receive: func(from string, data []byte) { fmt.Fprintf(&got, "from %q: %q\n", from, data) }}}
	for line := range strings.Lines(string(stored)) {
		var frame []byte
		if _, err := fmt.Sscanf(line, "%x", &frame); err != nil {
			t.Fatal(err)
		}
		delegate{p}.NotifyMsg(frame)
	}
	recorded.Check(t, "frames-read.txt", got.String())
}

// A datagram to a peer, here without a key, ends with such a frame.
func TestCompatibilitySentFrame(t *testing.T) {
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	listen := testutil.ClosedAddr(t)
	p, err := Join(Config{
		Fleet: "pier", Name: "n0", Listen: listen, Peers: []Peer{{Name: "n0", Address: listen}, {Name: "n1", Address: udp.LocalAddr().String()}},
		Started: time.Now(), Receive: func(string, []byte) {}, Refused: func(error) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	p.Send("n1", []byte(`{"f":1,"nudge":42}`))
	packet := make([]byte, 65536)
	udp.SetReadDeadline(time.Now().Add(20 * time.Second))
	n, _, err := udp.ReadFrom(packet)
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "datagram.txt", fmt.Sprintf("%x\n", packet[:n]))
	if frame := append([]byte("\x02n0"), `{"f":1,"nudge":42}`...); !bytes.HasSuffix(packet[:n], frame) {
		t.Errorf("%q does not end with %q", packet[:n], frame)
	}
}

// A key file holds raw bytes or hexadecimal digits. Bytes that can be read as digits are.
func TestCompatibilityKeyFile(t *testing.T) {
	raw := []byte("0123456789-key-0123456789-key-01")
	for _, c := range []struct {
		name, text string
		want       []byte
	}{
		{"raw", string(raw), raw},
		{"hexadecimal", fmt.Sprintf("%x\n", raw), raw},
		{"raw that could be digits", "0123456789abcdef0123456789abcdef", []byte("\x01\x23\x45\x67\x89\xab\xcd\xef\x01\x23\x45\x67\x89\xab\xcd\xef")},
	} {
		path := filepath.Join(t.TempDir(), "key")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if key, err := ReadKey(path); err != nil || !bytes.Equal(key, c.want) {
			t.Errorf("%s: %q, %v", c.name, key, err)
		}
	}
	path := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(path, []byte("too short"), 0o600); err != nil {
		t.Fatal(err)
	}
	if key, err := ReadKey(path); err == nil {
		t.Errorf("a key of 9 bytes was accepted: %q", key)
	}
}

// The states of a member, as in the JSON of the status.
func TestCompatibilityStates(t *testing.T) {
	recorded.Check(t, "states.txt", strings.Join([]string{alive, suspect, gone}, "\n")+"\n")
}
