//go:build !linux

package fleet

import "time"

// Now goes on while the process is stopped. Over a machine's sleep it goes by the time of day, which may be set:
// where it matters, run on Linux.
func Now() time.Duration { return time.Duration(time.Now().UnixNano()) }
