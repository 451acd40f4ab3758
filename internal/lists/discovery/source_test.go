package discovery

import (
	"testing"

	"marlreel/internal/engine"
	"marlreel/internal/standin"
	"marlreel/internal/testutil"
)

// sink runs what is posted at once.
type sink struct{ lists []engine.List }

func (s *sink) Post(event func())  { event() }
func (s *sink) List(l engine.List) { s.lists = append(s.lists, l) }
func (s *sink) ListFailed()        {}

// A word that was on its way when its watch was overtaken is void.
func TestAnOvertakenWatchIsNotHeard(t *testing.T) {
	t.Parallel()
	s := New(Config{Addr: testutil.ClosedAddr(t), Logf: func(string, ...any) {}}, 1, &sink{})
	t.Cleanup(s.Close)
	s.Watch(true)
	old := s.current
	s.Reload(testutil.ClosedAddr(t))
	next := s.next
	if next == nil || !s.speaks(old) {
		t.Fatal("the old watch is not heard before the new one has told anything")
	}
	if !s.speaks(next) || s.speaks(old) || s.next != nil {
		t.Error("after the new one's first word the old one still counts")
	}
	s.Watch(false)
	if s.speaks(next) {
		t.Error("a watch that was given up still counts")
	}
}

// Where the list is asked for, the module asks again after each failure. A change of the
// address must not cost a watch that still brings changes, nor a call that is on its way.
func TestAskingAgainSparesWhatStillRuns(t *testing.T) {
	t.Parallel()
	s := New(Config{Addr: testutil.ClosedAddr(t), OnRequest: true, Logf: func(string, ...any) {}}, 41, &sink{})
	t.Cleanup(s.Close)
	s.Watch(true)
	old := s.current
	s.Reload(testutil.ClosedAddr(t))
	if !s.ended(s.next) {
		t.Fatal("the new address failed, and nobody asks again")
	}
	s.Watch(true)
	if s.current != old || s.next == nil || s.next.addr != s.cfg.Addr {
		t.Fatal("asking the new address again gave up the old one's watch")
	}
	next := s.next
	if s.ended(old) || s.current != nil || s.next != next {
		t.Error("the old watch ended while the new address is being asked, and that starts anew")
	}
	if !s.speaks(next) || !s.ended(next) {
		t.Error("the new watch took over and ended, and nobody asks again")
	}
}

// The numbers of one address say nothing at another.
func TestAnotherAddressIsAskedForTheWholeList(t *testing.T) {
	t.Parallel()
	d, err := standin.NewScript()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	s := New(Config{Addr: testutil.ClosedAddr(t), OnRequest: true, Logf: func(string, ...any) {}}, 41, &sink{})
	t.Cleanup(s.Close)
	s.Reload(d.Addr) // nothing is watched yet
	s.Watch(true)
	if from := testutil.Receive(t, d.Watches, "the watch").From; from != "0" {
		t.Errorf("asked for what came after %s", from)
	}
}
