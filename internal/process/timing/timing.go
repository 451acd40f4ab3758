// Package timing lets the system's processes sleep until a time has passed or a context has ended. It uses only the clock
// of package time, so that testing/synctest can simulate it.
package timing

import (
	"context"
	"time"
)

// Sleep returns after the pause, or earlier if ctx ends. The caller can distinguish the two by ctx.Err.
func Sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
