package sources

import (
	"marlreel/internal/balancer"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/platformwatch"
)

// platformSink passes the lists of the platform's watch to the model, or to the engine if there is no model.
type platformSink struct{ *Source }

var _ platformwatch.Sink = platformSink{}

// Post implements platformwatch.Sink.
func (p platformSink) Post(event func()) { p.host.Post(event) }

// OnList implements platformwatch.Sink.
func (p platformSink) OnList(l engine.Membership) {
	s := p.Source
	s.platformVersion, s.platformReported = l.Version, true
	if s.model == nil {
		s.listVersion = l.Version
		s.host.ApplyMembership(l)
		return
	}
	var puts []membership.Item
	var deletes []string
	for _, e := range l.Entries {
		if e.State == balancer.Gone {
			deletes = append(deletes, e.Name)
			continue
		}
		puts = append(puts, membership.Item{Name: e.Name, ModRevision: int64(l.Version), Entry: s.fromEngine(e)})
	}
	now := s.host.Now()
	if l.Kind == balancer.MembershipDelta {
		s.apply(s.model.OnUpdate(now, platformIndex, membership.Update{Revision: int64(l.Version), Puts: puts, Deletes: deletes}))
		return
	}
	s.apply(s.model.OnSnapshot(now, platformIndex, membership.Snapshot{Revision: int64(l.Version), Items: puts}))
}
