package main

import (
	"errors"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"marlreel/internal/testutil"
)

// signalInterval is the pause between two signals of a series.
const signalInterval = time.Millisecond

// Guards against a process that a signal ends with another status, because it was sent while the process was already ending:
// signals come until the process is gone.
func TestSignalsUntilTheEnd(t *testing.T) {
	t.Parallel()
	s := startSystemOfSize(t, readVersions(t), 1)
	s.awaitChain("all five are in the chain", controlCount)
	var ending sync.WaitGroup
	for _, p := range append(s.edges, s.controls[0]) {
		if err := p.awaitRunning(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() { ended <- p.command.Wait() }()
		ending.Go(func() {
			if err := signalUntilTheEnd(p, ended); err != nil {
				t.Errorf("%s %s: %v", p.settings.NodeName, p.role, err)
			}
		})
	}
	ending.Wait()
}

// signalUntilTheEnd sends a process SIGTERM and SIGHUP until it has ended, and returns how it ended.
func signalUntilTheEnd(p *process, ended <-chan error) error {
	for {
		for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
			if err := p.command.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
				return err
			}
		}
		select {
		case err := <-ended:
			return err
		case <-time.After(signalInterval):
		}
	}
}

// Guards against a process that is ended by SIGTERM itself, without its shutdown, because it is told to end while it starts:
// the settings file is a pipe, so that the signal certainly comes while the process reads its settings.
func TestSignalWhileTheSettingsAreRead(t *testing.T) {
	t.Parallel()
	s := &testSystem{t: t, folder: t.TempDir(), versions: readVersions(t), number: int(systems.Add(1))}
	p := &process{t: t, role: "agent", settings: s.testSettings("edge-0", s.loopbackIP(2, 0), 0), folder: s.folder, output: &lockedBuffer{}, program: s.versions.next}
	path := p.writeSettings()
	settings, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := p.startWith(path); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the process has opened it
	if err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGTERM)
	if _, err := pipe.Write(settings); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.command.Wait() }()
	if err := testutil.Receive(t, ended, "the end of the process"); err != nil {
		t.Errorf("ended with %v; output:\n%s", err, p.output)
	}
}
