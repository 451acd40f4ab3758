package budget

import (
	"context"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"marlreel/internal/testutil"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Whatever is acquired and released, the sum stays within the limit and Large within its part, and released bytes
// can be acquired again.
func TestNeverOverTheLimit(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 2000).Draw(t, "limit")
		b := New(limit)
		type acquired struct {
			n int
			k Kind
		}
		var live []acquired
		sum, large := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(live) > 0 && rapid.Bool().Draw(t, "release") {
				i := rapid.IntRange(0, len(live)-1).Draw(t, "which")
				b.Release(live[i].n, live[i].k)
				sum -= live[i].n
				if live[i].k == Large {
					large -= live[i].n
				}
				live = append(live[:i], live[i+1:]...)
				continue
			}
			n, k := rapid.IntRange(0, 500).Draw(t, "n"), Kind(rapid.IntRange(0, 1).Draw(t, "kind"))
			fits := sum+n <= limit && (k == Small || large+n <= limit/100*maxLargePercent)
			if got := b.TryAcquire(n, k); got != fits {
				t.Fatalf("%d of %d bytes used, %d of them large: TryAcquire of %d of kind %d returned %v", sum, limit, large, n, k, got)
			}
			if fits {
				live, sum = append(live, acquired{n, k}), sum+n
				if k == Large {
					large += n
				}
			}
			if b.Used() != sum {
				t.Fatalf("%d used, %d acquired", b.Used(), sum)
			}
		}
		for _, h := range live {
			b.Release(h.n, h.k)
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes used after all were released", b.Used())
		}
	})
}

// Waiters are served in order and don't block the other kind. A waiter that gives up has acquired nothing and blocks
// nobody.
func TestWaitersAreGrantedInTurn(t *testing.T) {
	t.Parallel()
	b := New(1000)
	if !b.TryAcquire(700, Large) || b.TryAcquire(1, Large) || !b.TryAcquire(300, Small) {
		t.Fatal("the parts of Large and Small differ from what is expected")
	}
	got := make(chan int, 3)
	wait := func(ctx context.Context, name, n int, k Kind) {
		if b.Acquire(ctx, n, k) == nil {
			got <- name
		} else {
			got <- -name
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	queued := func(n int) {
		testutil.Eventually(t, "one more to wait", func() bool {
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.waiting.Len() == n
		})
	}
	go wait(ctx, 1, 500, Large)
	queued(1)
	go wait(t.Context(), 2, 100, Large)
	queued(2)
	go wait(t.Context(), 3, 200, Small)
	queued(3)
	b.Release(300, Small) // room for the small waiter; the first large one needs more
	if name := testutil.Receive(t, got, "the small waiter"); name != 3 {
		t.Fatalf("waiter %d was served", name)
	}
	b.Release(100, Large)
	if b.TryAcquire(1, Large) {
		t.Error("a later caller was served before the waiters")
	}
	cancel()
	first, second := testutil.Receive(t, got, "a large waiter"), testutil.Receive(t, got, "the other large waiter")
	if first+second != 1 { // -1 and 2
		t.Errorf("waiters %d and %d ended (negative: with an error), want -1 and 2", first, second)
	}
	b.Release(600+100, Large)
	b.Release(200, Small)
	if b.Used() != 0 {
		t.Errorf("%d bytes used at the end", b.Used())
	}
}

// Lowering the limit revokes nothing, and nothing is granted until enough is released.
func TestLowerLimit(t *testing.T) {
	t.Parallel()
	b := New(1000)
	b.TryAcquire(600, Small)
	b.SetLimit(500)
	if b.TryAcquire(1, Small) {
		t.Error("acquired over the limit")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	if b.Acquire(ctx, 1, Small) == nil {
		t.Error("acquired over the limit after a wait")
	}
	b.Release(200, Small)
	if !b.TryAcquire(100, Small) || b.TryAcquire(1, Small) {
		t.Error("the new limit is not enforced")
	}
}
