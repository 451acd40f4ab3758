//go:build linux

package fleettest

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// Random histories of real processes: under any faults, no two proxies act on contradictory settings for longer than
// agree-within, no rule is violated, no response is lost, and in the end all proxies agree. MARLREEL_HISTORIES sets the
// number of histories, MARLREEL_SEED the first seed and MARLREEL_SIDE how many run in parallel.
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
			t.Logf("%d proxies: %d attempts, %d without a lease, %d of %d served; contradictory settings for at most %.2f s of %v (%d attempts), draining nodes got requests for %.2f s, %d versions in use",
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
			t.Errorf("shortened history that fails:\n%v", short)
		})
	}
}
