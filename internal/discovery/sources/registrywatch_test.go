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

// idleHost is an engine that does nothing.
type idleHost struct{}

var _ Host = idleHost{}

func (idleHost) Post(func())                                  {}
func (idleHost) ApplyMembership(engine.Membership)            {}
func (idleHost) Now() time.Duration                           { return 0 }
func (idleHost) Schedule(time.Duration, func()) *engine.Timer { return nil }
func (idleHost) EachBackend(func(*engine.Backend))            {}
func (idleHost) WallTime(time.Duration) time.Time             { return time.Time{} }

// fileThatChanges makes a file that has one content when it is first read, and another one from then on.
func fileThatChanges(t *testing.T, first, later string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "ca.pem")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Skipf("no named pipes here: %v", err)
	}
	put := func(text string) error {
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the file is opened for reading
		if err != nil {
			return err
		}
		if _, err := pipe.WriteString(text); err != nil {
			return err
		}
		// Replace the pipe by a regular file before the reader gets the end of the first content.
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

// If the files of a new registry change between their check and their use, the registry in force is still followed.
func TestFailedSetRegistryKeepsRegistryInForce(t *testing.T) {
	server := httptest.NewTLSServer(nil)
	defer server.Close()
	ca := string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}))
	s := New(platformwatch.Config{Logf: t.Logf}, 0, idleHost{})
	defer s.Close()
	current := registry.DefaultConfig()
	current.Kind, current.Endpoints, current.Prefix = "etcd", []string{server.URL}, "nodes/"
	if err := s.SetRegistry(current); err != nil {
		t.Fatal(err)
	}
	followed := s.registryWatch
	next := current
	next.Prefix, next.CA = "others/", fileThatChanges(t, ca, "invalid")
	if err := s.SetRegistry(next); err == nil {
		t.Fatal("a registry with an invalid file was put in force")
	}
	if s.registryWatch != followed || s.registryWatch == nil || s.config.Prefix != current.Prefix {
		t.Error("the registry that was in force is no longer followed")
	}
}
