package proxy

import (
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"

	"marlreel/internal/process/handover"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
	"marlreel/internal/process/logs"
)

// otherProcess imitates another serving process of the proxy by its file and its socket.
func otherProcess(t *testing.T, folder string, id int) net.Listener {
	t.Helper()
	file, err := os.Create(filepath.Join(folder, "marlreel-process-"+strconv.Itoa(id)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	if _, err := file.WriteString("1"); err != nil { // it serves
		t.Fatal(err)
	}
	ln, err := net.Listen("unix", filepath.Join(folder, "marlreel-socket-"+strconv.Itoa(id)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// If the first process that is asked for its learned state is stuck, the next one is asked.
func TestRecallAsksTheNextProcess(t *testing.T) {
	t.Parallel()
	folder, err := os.MkdirTemp("", "recall") // the path of a Unix socket must be short
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(folder)
	otherProcess(t, folder, 1000001) // connects by the accept queue, but never answers
	telling := otherProcess(t, folder, 1000002)
	learned, err := codec.Encode(&learnedstate.State{ProxyName: "n0"})
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := telling.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := c.Read(make([]byte, 4)); err == nil {
			_, _ = c.Write(append([]byte{byte(len(learned) >> 24), byte(len(learned) >> 16), byte(len(learned) >> 8), byte(len(learned))}, learned...))
		}
	}()
	rendezvous, err := handover.Join(folder)
	if err != nil {
		t.Fatal(err)
	}
	defer rendezvous.Close()
	others, err := rendezvous.Peers()
	if err != nil || len(others) != 2 {
		t.Fatalf("%v, %v: two processes serve", others, err)
	}
	state, from := fetchFromPeers(rendezvous, []handover.Peer{{ID: 1000001}, {ID: 1000002}}, "n0", logs.Discard())
	if state == nil || from != 1000002 {
		t.Errorf("got from process %d: %v", from, state)
	}
	// If none answers, there is no state.
	telling.Close()
	if state, _ := fetchFromPeers(rendezvous, others, "n0", logs.Discard()); state != nil {
		t.Errorf("got %v from no process", state)
	}
}
