package discovery

import (
	"testing"

	"marlreel/internal/engine"
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
