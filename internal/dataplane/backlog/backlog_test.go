package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestTheNewestWordOfEachSpeakerCounts(t *testing.T) {
	is := is.New(t)
	table := New()
	a, b := Speaker{"a", "east"}, Speaker{"b", "east"}
	table.Note(0, "llm", a, Work{1: 100, 2: 50})
	table.Note(0, "llm", b, Work{1: 10})
	table.Note(0, "other", b, Work{1: 1000})
	table.Note(time.Second, "llm", a, Work{2: 70})
	all := func(Speaker) bool { return true }
	is.Equal(table.Sum(time.Second, "llm", all), Work{1: 10, 2: 70})
	is.Equal(table.Sum(time.Second, "llm", func(s Speaker) bool { return s != b }), Work{2: 70})
	// What was said long ago counts no more.
	is.Equal(table.Sum(Life+time.Millisecond, "llm", all), Work{2: 70})
	is.Equal(table.Sum(time.Second+Life+time.Millisecond, "llm", all), Work{})
	is.Equal(len(table.words), 0)
}

func TestTheTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := New()
	for i := range 2 * mostWords {
		table.Note(0, "llm", Speaker{Node: fmt.Sprint(i)}, Work{1: 1})
	}
	is.Equal(len(table.words), mostWords)
	table.Note(Life+time.Second, "llm", Speaker{Node: "new"}, Work{1: 1}) // the old ones make room
	is.Equal(len(table.words), 1)
	large := Work{}
	for i := range uint32(mostBackends + 1) {
		large[i] = 1
	}
	table.Note(Life+time.Second, "llm", Speaker{Node: "large"}, large)
	is.Equal(len(table.words), 1)
}

func TestMessagesComeBackAsTheyWere(t *testing.T) {
	is := is.New(t)
	work := Work{Key("backend-1"): 120, Key("backend-2"): 1}
	message := Message("llm", work)
	is.Equal(Read(message), work)
	message.WorkMs = message.WorkMs[:1] // cut short: what has no figure is left out
	is.Equal(len(Read(message)), 1)
	is.Equal(Read(Message("llm", nil)), Work{})
}
