package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep(t *testing.T) {
	for name, test := range map[string]struct {
		pause, timeout, want time.Duration
	}{
		"the pause passes":       {pause: 2 * time.Second, timeout: 5 * time.Second, want: 2 * time.Second},
		"the context ends first": {pause: 5 * time.Second, timeout: time.Second, want: time.Second},
		"no pause":               {pause: 0, timeout: time.Second, want: 0},
		"a negative pause":       {pause: -time.Second, timeout: time.Second, want: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				began := time.Now()
				Sleep(ctx, test.pause)
				if slept := time.Since(began); slept != test.want {
					t.Errorf("slept %v, want %v", slept, test.want)
				}
			})
		})
	}
}
