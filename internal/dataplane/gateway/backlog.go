package gateway

import (
	"time"

	"marlreel/internal/api"
	"marlreel/internal/dataplane/backlog"
	"marlreel/internal/engine"
)

// backlog is the work that this proxy has sent to the service's backends and that they have not begun
// to answer.
func (s *service) backlog() backlog.Work {
	counted := make(chan backlog.Work, 1)
	s.engine.Post(func() {
		work := backlog.Work{}
		s.engine.Unanswered(func(a *engine.Attempt) {
			work[backlog.Key(a.Backend.Name)] += uint32(max(1, a.Call.Cost.Milliseconds()))
		})
		counted <- work
	})
	select {
	case work := <-counted:
		return work
	case <-s.engine.Done():
		return nil
	}
}

// heard tells a service what others have sent to its backends.
func (s *service) heard(work backlog.Work) {
	s.engine.Post(func() { s.advisor.RecordPeerBacklog(s.engine.Now(), work) })
}

// backlogs words the backlogs of all services with model backends.
func (g *Gateway) backlogs() []*api.Backlog {
	var all []*api.Backlog
	for name, s := range g.plan.Load().services {
		if s.engines {
			all = append(all, backlog.ToProto(name, s.backlog()))
		}
	}
	return all
}

// heardOthers takes in the answer to a report of demand.
func (g *Gateway) heardOthers(reply *api.DemandReply) {
	services := g.plan.Load().services
	for _, b := range reply.OtherBacklogs {
		if s := services[b.Service]; s != nil {
			s.heard(backlog.FromProto(b))
		}
	}
}

const (
	// reportLeast and reportMost bound the time between two reports of demand and of backlogs. The work
	// that is sent within that time is what others can't know of.
	reportLeast = 125 * time.Millisecond
	reportMost  = 600 * time.Millisecond
	// reportShare is the time between two reports for each proxy of the zone: one home takes the reports
	// of all of them.
	reportShare = 7 * time.Millisecond
)

// reportInterval is the time between two reports.
func (g *Gateway) reportInterval() time.Duration {
	near := 0
	for _, node := range g.feed.Nodes() {
		if node.Zone == g.self.zone {
			near++
		}
	}
	return min(max(reportLeast, time.Duration(near)*reportShare), reportMost)
}
