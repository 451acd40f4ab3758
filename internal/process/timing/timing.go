// Package timing has the one way in which the system's processes pause: until a time has passed, or their context
// has ended. It reads the clock through the time package alone, so that testing/synctest can simulate it.
package timing

import (
	"context"
	"time"
)

// Sleep returns after the pause, or earlier if ctx ends. The caller tells the two apart by ctx.Err.
func Sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
