package sources

import (
	"encoding/pem"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/platformwatch"
	"marlreel/internal/discovery/registry"
)

// idleHost is an engine on which nothing happens.
type idleHost struct{}

var _ Host = idleHost{}

func (idleHost) Post(func())                                  {}
func (idleHost) ApplyMembership(engine.Membership)            {}
func (idleHost) Now() time.Duration                           { return 0 }
func (idleHost) Schedule(time.Duration, func()) *engine.Timer { return nil }
func (idleHost) EachBackend(func(*engine.Backend))            {}
func (idleHost) WallTime(time.Duration) time.Time             { return time.Time{} }

// readOnce makes a file that has one content at its first reading, and another one from then on.
func readOnce(t *testing.T, first, later string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ca.pem")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skipf("no named pipes here: %v", err)
	}
	put := func(text string) error {
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the reader
		if err != nil {
			return err
		}
		if _, err := pipe.WriteString(text); err != nil {
			return err
		}
		// The name is a plain file's by the time that the reader meets the end.
		if err := os.WriteFile(path+".later", []byte(later), 0o600); err != nil {
			return err
		}
		if err := os.Rename(path+".later", path); err != nil {
			return err
		}
		return pipe.Close()
	}
	go func() {
		if err := put(first); err != nil {
			t.Error(err)
		}
	}()
	return path
}

// The files of another registry change between their check and their use: the registry in force is followed on.
func TestARegistryThatCantBeMadeReplacesNothing(t *testing.T) {
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	authority := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	s := New(platformwatch.Config{Logf: t.Logf}, 0, idleHost{})
	defer s.Close()
	inForce := registry.DefaultConfig()
	inForce.Kind, inForce.Endpoints, inForce.Prefix = "etcd", []string{server.URL}, "nodes/"
	if err := s.SetRegistry(inForce); err != nil {
		t.Fatal(err)
	}
	followed := s.registryWatch
	next := inForce
	next.Prefix, next.CA = "others/", readOnce(t, authority, "spoilt")
	if err := s.SetRegistry(next); err == nil {
		t.Fatal("a registry with a spoilt file is put in force")
	}
	if s.registryWatch != followed || s.registryWatch == nil || s.config.Prefix != inForce.Prefix {
		t.Error("the registry that was in force is followed no more")
	}
}
