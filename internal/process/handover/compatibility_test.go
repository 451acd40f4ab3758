package handover

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"

	"marlreel/internal/testutil"
)

// Processes of two versions of a proxy run side by side during every upgrade. These tests compare the files in their
// common folder, and the bytes on the sockets there, with what the code of commit 6fb9894 writes. The files under
// testdata/compatibility and the literals of this file must not be changed to make a test pass: a failing test means
// that a new process can't take over from an old one, or the other way round.
//
// A missing file is written by
//
//	WRITE_COMPATIBILITY_FILES=1 go test -run TestCompatibility ./internal/process/handover
//
// Files that exist are never overwritten.
const (
	compatibilityFolder = "testdata/compatibility"
	writeVariable       = "WRITE_COMPATIBILITY_FILES"
)

// storedStages are the files of processes in each stage.
var storedStages = []struct {
	id      int
	stage   Stage
	name    string
	content string
	words   string // the stage in log lines
}{
	{4000001, Starting, "marlreel-process-4000001", "0", "starting"},
	{4000002, Serving, "marlreel-process-4000002", "1", "serving"},
	{4000003, Leaving, "marlreel-process-4000003", "2", "leaving"},
}

// TestCompatibilityOfStoredStages finds the processes of an earlier version by their locked files.
func TestCompatibilityOfStoredStages(t *testing.T) {
	writeMissingFiles(t)
	folder := t.TempDir()
	if err := os.CopyFS(folder, os.DirFS(compatibilityFolder)); err != nil {
		t.Fatal(err)
	}
	for _, s := range storedStages {
		f, err := os.OpenFile(filepath.Join(folder, s.name), os.O_RDWR, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
			t.Fatal(err)
		}
	}
	r := &Rendezvous{dir: folder, id: 1}
	peers, err := r.Peers()
	if err != nil {
		t.Fatal(err)
	}
	if len(peers) != len(storedStages) {
		t.Errorf("found %d processes, want %d", len(peers), len(storedStages))
	}
	for _, want := range storedStages {
		i := slices.IndexFunc(peers, func(p Peer) bool { return p.ID == want.id })
		if i < 0 {
			t.Errorf("process %d is not found", want.id)
			continue
		}
		if peers[i].Stage != want.stage || peers[i].Stage.String() != want.words {
			t.Errorf("process %d is %v, want %s", want.id, peers[i].Stage, want.words)
		}
	}
}

// TestCompatibilityOfWrittenStages checks the file that this process writes.
func TestCompatibilityOfWrittenStages(t *testing.T) {
	writeMissingFiles(t)
	for _, want := range storedStages {
		t.Run(want.words, func(t *testing.T) {
			stored, err := os.ReadFile(filepath.Join(compatibilityFolder, want.name))
			if err != nil {
				t.Fatal(err)
			}
			if string(stored) != want.content {
				t.Errorf("the stored file holds %q, want %q", stored, want.content)
			}
			folder := t.TempDir()
			r := announce(t, folder, want.id, want.stage)
			defer r.Close()
			got, err := os.ReadFile(filepath.Join(folder, want.name))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, stored) {
				t.Errorf("the file holds %q, want %q as in the stored file", got, stored)
			}
			if path := r.socket(want.id); path != filepath.Join(folder, "marlreel-socket-"+want.name[len("marlreel-process-"):]) {
				t.Errorf("the socket is at %s", path)
			}
		})
	}
}

// TestCompatibilityOfPassedBytes checks the bytes that a process sends when it transfers connections.
func TestCompatibilityOfPassedBytes(t *testing.T) {
	for _, c := range []struct {
		name  string
		state string
		sent  string
	}{
		{"with a state", "a state", "\x00\x00\x00\x07a state"},
		{"without a state", "", "\x00\x00\x00\x00"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &Rendezvous{dir: shortFolder(t), id: 1}
			sent, descriptors := make(chan string, 1), make(chan int, 1)
			answers(t, r, 2, func(conn *net.UnixConn) {
				data, rights := make([]byte, len(c.sent)), make([]byte, syscall.CmsgSpace(4*4))
				_, n, _, _, err := conn.ReadMsgUnix(data[:4], rights)
				if err != nil {
					t.Error(err)
				}
				if _, err := io.ReadFull(conn, data[4:]); err != nil {
					t.Error(err)
				}
				conns, err := connsOf(rights[:n])
				if err != nil {
					t.Error(err)
				}
				for _, passed := range conns {
					passed.Close()
				}
				sent <- string(data)
				descriptors <- len(conns)
				_, _ = conn.Write([]byte{1})
			})
			_, first := connection(t)
			_, second := connection(t)
			if err := r.Transfer(2, []byte(c.state), first, second); err != nil {
				t.Fatal(err)
			}
			if got := testutil.Receive(t, sent, "the transferred bytes"); got != c.sent {
				t.Errorf("sent %q, want %q", got, c.sent)
			}
			if n := testutil.Receive(t, descriptors, "the descriptors"); n != 2 {
				t.Errorf("sent %d connections, want 2", n)
			}
		})
	}
}

// TestCompatibilityOfTakenBytes sends what an earlier version sends, and checks the answer.
func TestCompatibilityOfTakenBytes(t *testing.T) {
	folder := shortFolder(t)
	take := func(state []byte, conns []net.Conn) error {
		for _, c := range conns {
			c.Close()
		}
		if len(conns) != 1 || string(state) != "a state" {
			return io.ErrUnexpectedEOF
		}
		return nil
	}
	receiver(t, folder, 2, take, func(context.Context) ([]byte, error) { return []byte("learned"), nil })
	for _, c := range []struct {
		name   string
		sent   string
		passes bool // a connection
		answer string
	}{
		{"an accepted connection", "\x00\x00\x00\x07a state", true, "\x01"},
		{"a rejected connection", "\x00\x00\x00\x07another", true, "\x00"},
		{"a request for the learned state", "\xff\xff\xff\xff", false, "\x00\x00\x00\x07learned"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("unix", filepath.Join(folder, "marlreel-socket-2"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			var rights []byte
			if c.passes {
				_, near := connection(t)
				f, err := near.(*net.TCPConn).File()
				if err != nil {
					t.Fatal(err)
				}
				defer f.Close()
				rights = syscall.UnixRights(int(f.Fd()))
			}
			if _, _, err := conn.(*net.UnixConn).WriteMsgUnix([]byte(c.sent[:4]), rights, nil); err != nil {
				t.Fatal(err)
			}
			if len(c.sent) > 4 {
				if _, err := io.WriteString(conn, c.sent[4:]); err != nil {
					t.Fatal(err)
				}
			}
			if got, err := io.ReadAll(conn); err != nil || string(got) != c.answer {
				t.Errorf("the answer is %q, %v, want %q", got, err, c.answer)
			}
		})
	}
}

// TestCompatibilityOfQuestions checks how a process requests the learned state of another one.
func TestCompatibilityOfQuestions(t *testing.T) {
	r := &Rendezvous{dir: shortFolder(t), id: 1}
	question := make(chan string, 1)
	answers(t, r, 2, func(conn *net.UnixConn) {
		data := make([]byte, 4)
		if _, err := io.ReadFull(conn, data); err != nil {
			t.Error(err)
		}
		question <- string(data)
		_, _ = io.WriteString(conn, "\x00\x00\x00\x07learned")
	})
	learned, err := r.FetchLearnedState(2)
	if err != nil || string(learned) != "learned" {
		t.Errorf("fetched %q, error %v", learned, err)
	}
	if got := testutil.Receive(t, question, "the question"); got != "\xff\xff\xff\xff" {
		t.Errorf("the question is %q", got)
	}
}

// shortFolder returns a temporary folder with a path that is short enough for a socket.
func shortFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "compat")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	return folder
}

// announce writes the file of a process with an id, as Join does for this process.
func announce(t *testing.T, folder string, id int, stage Stage) *Rendezvous {
	t.Helper()
	r := &Rendezvous{dir: folder, id: id}
	f, err := os.OpenFile(r.path(id), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	r.file = f
	if err := r.SetStage(stage); err != nil {
		t.Fatal(err)
	}
	return r
}

// writeMissingFiles writes missing files if writeVariable is set.
func writeMissingFiles(t *testing.T) {
	t.Helper()
	if os.Getenv(writeVariable) == "" {
		return
	}
	if err := os.MkdirAll(compatibilityFolder, 0o755); err != nil {
		t.Fatal(err)
	}
	for _, s := range storedStages {
		if _, err := os.Stat(filepath.Join(compatibilityFolder, s.name)); err == nil {
			continue
		}
		// Rendezvous.Close would remove the file.
		if err := announce(t, compatibilityFolder, s.id, s.stage).file.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
