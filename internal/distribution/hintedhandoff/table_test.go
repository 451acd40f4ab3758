package hintedhandoff

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func messages(hints []Hint[int]) []int {
	list := []int{}
	for _, hint := range hints {
		list = append(list, hint.Message)
	}
	return list
}

func TestNewestMessageOfAKeyIsKept(t *testing.T) {
	is := is.New(t)
	table := New[int](8, time.Second)
	table.Store(0, "a", 1)
	table.Store(0, "b", 2)
	table.Store(0, "a", 3)
	is.Equal(messages(table.Pending(0)), []int{2, 3})
}

func TestMessageReplacedDuringDeliveryStaysPending(t *testing.T) {
	is := is.New(t)
	table := New[int](8, time.Second)
	table.Store(0, "a", 1)
	sent := table.Pending(0)
	table.Store(0, "a", 2)
	table.Remove(sent)
	is.Equal(messages(table.Pending(0)), []int{2})
}

func TestFullTableDropsTheOldest(t *testing.T) {
	is := is.New(t)
	table := New[int](2, time.Second)
	table.Store(0, "a", 1)
	table.Store(0, "b", 2)
	table.Store(0, "a", 3)
	table.Store(0, "c", 4)
	is.Equal(messages(table.Pending(0)), []int{3, 4})
}

const (
	modelMaxKeys = 4
	modelTTL     = 10
)

type modelHint struct {
	key      string
	message  int
	deadline time.Duration
}

// model is a reference implementation of the table, a list in the order of arrival, with the table under test.
type model struct {
	table  *Table[int]
	hints  []modelHint
	now    time.Duration
	stored int
}

func (m *model) expire() {
	m.hints = slices.DeleteFunc(m.hints, func(h modelHint) bool { return m.now >= h.deadline })
}

func (m *model) remove(key string) {
	m.hints = slices.DeleteFunc(m.hints, func(h modelHint) bool { return h.key == key })
}

func (m *model) store(t *rapid.T) {
	m.stored++
	key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "key")
	m.expire()
	m.remove(key)
	if len(m.hints) == modelMaxKeys {
		m.hints = m.hints[1:]
	}
	m.hints = append(m.hints, modelHint{key, m.stored, m.now + modelTTL})
	m.table.Store(m.now, key, m.stored)
}

func (m *model) deliver(t *rapid.T) {
	m.expire()
	pending := m.table.Pending(m.now)
	count := rapid.IntRange(0, len(pending)).Draw(t, "count")
	for _, hint := range pending[:count] {
		m.remove(hint.Key)
	}
	m.table.Remove(pending[:count])
}

func (m *model) wait(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 6).Draw(t, "span")) }

func (m *model) check(t *rapid.T) {
	m.expire()
	want := []int{}
	for _, h := range m.hints {
		want = append(want, h.message)
	}
	if got := messages(m.table.Pending(m.now)); !slices.Equal(got, want) {
		t.Fatalf("pending messages are %v, want %v", got, want)
	}
}

// After any sequence of operations the newest undelivered message of each key is pending, in order of arrival, and
// nothing is kept beyond its TTL or the bound on keys.
func TestTableAgainstAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: New[int](modelMaxKeys, modelTTL)}
		t.Repeat(map[string]func(*rapid.T){"store": m.store, "deliver": m.deliver, "wait": m.wait, "": m.check})
	})
}
