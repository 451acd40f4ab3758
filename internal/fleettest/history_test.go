//go:build linux

package fleettest

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Drawn histories of real processes: whatever fails, no two proxies act on rules that contradict each other for
// longer than they agreed on, no rule breaks, no answer is lost, and in the end all agree. MARLREEL_HISTORIES says
// how many, MARLREEL_SEED from which seed on.
func TestHistories(t *testing.T) {
	many, from, side := 6, uint64(1), 3
	fmt.Sscan(os.Getenv("MARLREEL_HISTORIES"), &many)
	fmt.Sscan(os.Getenv("MARLREEL_SEED"), &from)
	fmt.Sscan(os.Getenv("MARLREEL_SIDE"), &side)
	room := make(chan struct{}, side)
	for i := range uint64(many) {
		h := Draw(from + i)
		t.Run(fmt.Sprint(h.Seed), func(t *testing.T) {
			t.Parallel()
			room <- struct{}{}
			defer func() { <-room }()
			v, notes, err := h.Play(program, t.TempDir())
			t.Logf("%d proxies: %d acts, %d by no lease, %d of %d served; contradicted for %.2f s of %v at most (%d acts), ended nodes got work for %.2f s, %d versions in use",
				h.Proxies, v.Acts, v.Strict, v.Served, v.Answered, v.Longest.Seconds(), h.Within, v.Contradict, v.Drain.Seconds(), v.InUse)
			if err == nil && len(v.Breaks) == 0 {
				return
			}
			for _, b := range v.Breaks {
				t.Error(b)
			}
			t.Errorf("%v\n%v\n%s", err, h, notes)
			deadline, _ := t.Deadline()
			short := h.Shorten(6, func(less History) bool {
				if time.Until(deadline) < 2*time.Minute {
					return false
				}
				v, _, err := less.Play(program, t.TempDir())
				return err != nil || len(v.Breaks) > 0
			})
			t.Errorf("the shortest that fails:\n%v", short)
		})
	}
}
