package statefile

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"marlreel/internal/balancer/staleness"
	"marlreel/internal/process/learnedstate"
	"marlreel/internal/process/learnedstate/codec"
)

// numbered returns a record whose content depends on n, see number.
func numbered(n int) *Record {
	s := &learnedstate.State{ProxyName: "n0", TakenAt: time.Unix(int64(n), 0)}
	for i := range 3 + n%5 {
		s.Backends = append(s.Backends, learnedstate.Backend{Name: fmt.Sprint("s-", i), Address: "127.0.0.1:1", FailedChecks: n, LastOK: learnedstate.Never, SinceStart: learnedstate.Never})
	}
	return &Record{WrittenAt: staleness.Timestamp{Wall: time.Unix(int64(n), 0), BootID: "b", Uptime: time.Duration(n)}, ShutDown: n%2 == 0, State: s}
}

// encoded encodes a record together with its state.
func encoded(r *Record) ([]byte, error) {
	state, err := codec.Encode(r.State)
	if err != nil {
		return nil, err
	}
	return Encode(r.WrittenAt, r.ShutDown, state)
}

func save(f *File, r *Record) error {
	state, err := codec.Encode(r.State)
	if err != nil {
		return err
	}
	return f.Save(r.WrittenAt, r.ShutDown, state)
}

// number returns the n for which numbered made a record, or -1 if the record mixes the content of several.
func number(r *Record) int {
	n := int(r.WrittenAt.Uptime)
	if r.State.TakenAt.Unix() != int64(n) || len(r.State.Backends) != 3+n%5 || r.ShutDown != (n%2 == 0) {
		return -1
	}
	for _, b := range r.State.Backends {
		if b.FailedChecks != n {
			return -1
		}
	}
	return n
}

func TestSaveAndLoad(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s := Open(dir, "n0")
	if r, err := s.Load(); r != nil || err != nil {
		t.Errorf("before any save: record %v, error %v", r, err)
	}
	for n := range 5 {
		if err := save(s, numbered(n)); err != nil {
			t.Fatal(err)
		}
		if r, err := s.Load(); err != nil || number(r) != n {
			t.Errorf("record %v, error %v", r, err)
		}
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 1 {
		t.Errorf("files left %v, error %v", left, err)
	}
	if p := Open(dir, "../../etc/n0").Path(); filepath.Dir(p) != dir {
		t.Errorf("a proxy's name leads out of the directory, to %s", p)
	}
	if now := CurrentTimestamp(); now.Wall.IsZero() {
		t.Error("no time")
	}
}

// An invalid file gives an error of one line that names the file.
func TestInvalidFilesAreReported(t *testing.T) {
	t.Parallel()
	good, err := encoded(numbered(7))
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.Clone(good)
	newer[5] = 9
	damaged := bytes.Clone(good)
	damaged[len(damaged)-3] ^= 1
	for name, data := range map[string][]byte{
		"empty":   {},
		"text":    []byte("hello"),
		"cut":     good[:len(good)-1],
		"longer":  append(bytes.Clone(good), 0),
		"newer":   newer,
		"damaged": damaged,
	} {
		s := Open(t.TempDir(), "n0")
		if err := os.WriteFile(s.Path(), data, 0o600); err != nil {
			t.Fatal(err)
		}
		r, err := s.Load()
		if r != nil || err == nil || !strings.Contains(err.Error(), s.Path()) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: record %v, error %v", name, r, err)
		}
	}
	s := Open(t.TempDir(), "n0")
	if err := os.Mkdir(s.Path(), 0o700); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Load(); err == nil {
		t.Error("a folder was read as a file")
	}
	if err := save(s, numbered(1)); err == nil {
		t.Error("a folder was replaced by a file")
	}
	if err := save(Open("/nowhere/at/all", "n0"), numbered(1)); err == nil {
		t.Error("a file was saved in a folder that doesn't exist")
	}
}

var _ fileSystem = (*disk)(nil)

// disk is a simulated file system that may fail or lose power at any step. After a loss of power, unsynced data is there
// in part, in whole or not at all; unsynced renames may be lost too.
type disk struct {
	rng     *rand.Rand
	steps   int // until the loss of power; negative means never
	broken  bool
	fails   float64 // probability of an error at a step
	files   map[string]*content
	durable map[string]*content // synced names, which survive a loss of power
}

type content struct {
	data   []byte
	synced int // bytes that survive a loss of power
}

var errPower = errors.New("power lost")

func (d *disk) step() error {
	if d.broken {
		return errPower
	}
	if d.steps--; d.steps == 0 {
		d.broken = true
		return errPower
	}
	if d.rng.Float64() < d.fails {
		return errors.New("no space left on device")
	}
	return nil
}

// after returns the disk after a loss of power.
func (d *disk) after() *disk {
	n := &disk{rng: d.rng, steps: -1, files: map[string]*content{}, durable: map[string]*content{}}
	names := map[string]*content{}
	for k, v := range d.durable {
		names[k] = v
	}
	if d.rng.IntN(2) == 0 { // the unsynced renames reached the disk anyway
		names = d.files
	}
	for k, c := range names {
		kept := c.synced
		if len(c.data) > kept {
			kept += d.rng.IntN(len(c.data) - kept + 1)
		}
		data := bytes.Clone(c.data[:kept])
		if kept > c.synced && d.rng.IntN(3) == 0 { // a page that was not written
			clear(data[c.synced+d.rng.IntN(kept-c.synced):])
		}
		n.files[k] = &content{data, len(data)}
		n.durable[k] = n.files[k]
	}
	return n
}

func (d *disk) ReadFile(name string) ([]byte, error) {
	if c := d.files[name]; c != nil {
		return bytes.Clone(c.data), nil
	}
	return nil, fs.ErrNotExist
}

func (d *disk) Create(name string) (writableFile, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.files[name] = &content{}
	return &handle{d, d.files[name]}, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *disk) SyncDir(string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.durable = map[string]*content{}
	for k, v := range d.files {
		d.durable[k] = v
	}
	return nil
}

type handle struct {
	d *disk
	c *content
}

func (h *handle) Write(p []byte) (int, error) {
	for i := 0; i < len(p); i += 64 {
		if err := h.d.step(); err != nil {
			return i, err
		}
		h.c.data = append(h.c.data, p[i:min(i+64, len(p))]...)
	}
	return len(p), nil
}

func (h *handle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	h.c.synced = len(h.c.data)
	return nil
}

func (h *handle) Close() error { return nil }

// After a loss of power or a disk error at any step, Load returns the last record that was saved without an error, or a
// later one whose save was interrupted: never a mixture, and never nothing if a record was saved before.
func TestPowerLossKeepsTheLastSave(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5000) {
		rng := rand.New(rand.NewPCG(seed, 9))
		d := &disk{rng: rng, steps: -1, files: map[string]*content{}, durable: map[string]*content{}}
		lastSaved := -1
		for n := range 6 {
			d.steps, d.fails, d.broken = 1+rng.IntN(60), 0, false
			if rng.IntN(3) == 0 {
				d.fails = 0.02
			}
			s := &File{"dir/n0", d}
			if err := save(s, numbered(n)); err == nil {
				lastSaved = n
			}
			lost := rng.IntN(2) == 0 || d.broken
			if lost {
				d = d.after()
			}
			d.steps, d.fails, d.broken = -1, 0, false
			r, err := (&File{"dir/n0", d}).Load()
			switch {
			case err != nil:
				t.Fatalf("seed %d, save %d: %v", seed, n, err)
			case r == nil && lastSaved >= 0:
				t.Fatalf("seed %d, save %d: no record was loaded, but %d was saved", seed, n, lastSaved)
			case r != nil && (number(r) < lastSaved || number(r) > n):
				t.Fatalf("seed %d, save %d: record %d was loaded; %d was saved last", seed, n, number(r), lastSaved)
			}
			if r != nil && lost { // a record that survived a loss of power is durable
				lastSaved = max(lastSaved, number(r))
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	for n := range 3 {
		data, err := encoded(numbered(n))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := Decode(data); err == nil && (r == nil || r.State == nil || r.State.Check() != nil) {
			t.Errorf("an invalid record was decoded: %+v", r)
		}
	})
}
