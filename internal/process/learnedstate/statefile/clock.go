package statefile

import (
	"os"
	"strings"
	"time"

	"marlreel/internal/balancer/staleness"
)

// CurrentTimestamp returns the current time by this machine's clocks. If the system doesn't provide its uptime, as on
// systems other than Linux, the timestamp has only the wall clock.
func CurrentTimestamp() staleness.Timestamp {
	now := staleness.Timestamp{Wall: time.Now()}
	bootID, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return now
	}
	uptimeAndIdle, err := os.ReadFile("/proc/uptime")
	if err != nil {
		return now
	}
	seconds, _, _ := strings.Cut(string(uptimeAndIdle), " ")
	uptime, err := time.ParseDuration(seconds + "s")
	if err != nil {
		return now
	}
	now.BootID = strings.TrimSpace(string(bootID))
	now.Uptime = uptime
	return now
}
