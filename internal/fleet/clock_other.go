//go:build !linux

package fleet

import "time"

// Now returns a time that advances while the process is stopped and its machine suspended. It is the wall clock, which
// may be set: leases are safe on Linux alone.
func Now() time.Duration { return time.Duration(time.Now().UnixNano()) }
