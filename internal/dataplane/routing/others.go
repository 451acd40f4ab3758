package routing

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/backlog"
)

// others is what other proxies have sent to the backends of a service and these have not begun to
// answer, as it was heard last.
type others struct {
	keys    map[balancer.BackendID]uint32
	work    backlog.Work
	heardAt time.Duration
}

func newOthers() others { return others{keys: map[balancer.BackendID]uint32{}} }

// heard takes in the newest word.
func (o *others) heard(now time.Duration, work backlog.Work) { o.work, o.heardAt = work, now }

// at is the work ahead of a request that is sent to a backend now, ms; 0 where no word is fresh.
func (o *others) at(now time.Duration, to balancer.BackendID) float64 {
	if now-o.heardAt > backlog.ReportTTL {
		return 0
	}
	return float64(o.work[o.keys[to]])
}
