package routing

import (
	"time"

	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/backlog"
)

// peerBacklog is the work that other proxies have sent to the backends of a service and that these have not begun to
// answer, by the last report.
type peerBacklog struct {
	keys       map[balancer.BackendID]uint32
	work       backlog.Work
	receivedAt time.Duration
}

func newPeerBacklog() peerBacklog { return peerBacklog{keys: map[balancer.BackendID]uint32{}} }

// record replaces the last report.
func (p *peerBacklog) record(now time.Duration, work backlog.Work) {
	p.work, p.receivedAt = work, now
}

// workMS is the work ahead of a request that is sent to a backend now, ms; 0 where no report is fresh.
func (p *peerBacklog) workMS(now time.Duration, to balancer.BackendID) float64 {
	if now-p.receivedAt > backlog.ReportTTL {
		return 0
	}
	return float64(p.work[p.keys[to]])
}
