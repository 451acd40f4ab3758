package hintedhandoff

import (
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

func TestOnlyTheNewestOfASubjectIsKept(t *testing.T) {
	is := is.New(t)
	table := New[int](8, time.Second)
	table.Store(0, "a", 1)
	table.Store(0, "b", 2)
	table.Store(0, "a", 3)
	is.Equal(messages(table.Pending(0)), []int{2, 3})
}

func TestWhatIsReplacedDuringItsDeliveryIsDelivered(t *testing.T) {
	is := is.New(t)
	table := New[int](8, time.Second)
	table.Store(0, "a", 1)
	sent := table.Pending(0)
	table.Store(0, "a", 2)
	table.Remove(sent)
	is.Equal(messages(table.Pending(0)), []int{2})
}

func TestTheOldestMakesRoom(t *testing.T) {
	is := is.New(t)
	table := New[int](2, time.Second)
	table.Store(0, "a", 1)
	table.Store(0, "b", 2)
	table.Store(0, "a", 3)
	table.Store(0, "c", 4)
	is.Equal(messages(table.Pending(0)), []int{3, 4})
}

// Whatever happens: what is due is the newest undelivered message of each subject, in the
// order in which they came, and nothing is kept beyond its time or the bound.
func TestTableAgainstAList(t *testing.T) {
	type put struct {
		subject string
		message int
		until   time.Duration
	}
	rapid.Check(t, func(t *rapid.T) {
		const most, life = 4, 10
		table := New[int](most, life)
		var model []put
		now, next := time.Duration(0), 0
		alive := func() {
			kept := model[:0]
			for _, p := range model {
				if now < p.until {
					kept = append(kept, p)
				}
			}
			model = kept
		}
		drop := func(subject string) {
			kept := model[:0]
			for _, p := range model {
				if p.subject != subject {
					kept = append(kept, p)
				}
			}
			model = kept
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				next++
				subject := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "subject")
				alive()
				drop(subject)
				if len(model) == most {
					model = model[1:]
				}
				model = append(model, put{subject, next, now + life})
				table.Store(now, subject, next)
			},
			"deliver": func(t *rapid.T) {
				alive()
				due := table.Pending(now)
				count := rapid.IntRange(0, len(due)).Draw(t, "count")
				for _, hint := range due[:count] {
					drop(hint.Key)
				}
				table.Remove(due[:count])
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 6).Draw(t, "span")) },
			"": func(t *rapid.T) {
				alive()
				want := []int{}
				for _, p := range model {
					want = append(want, p.message)
				}
				got := messages(table.Pending(now))
				if len(got) != len(want) {
					t.Fatalf("due %v, wanted %v", got, want)
				}
				for i := range want {
					if got[i] != want[i] {
						t.Fatalf("due %v, wanted %v", got, want)
					}
				}
			},
		})
	})
}
