package proxy

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"io"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"marlreel/internal/actionable"
	"marlreel/internal/balancer"
	"marlreel/internal/config"
	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/sources"
	"marlreel/internal/fleet"
	"marlreel/internal/fleet/agree"
)

// member connects the proxy to its fleet. It passes the fleet's settings and their lease to the engine, and exchanges
// drains and removals of backends between this proxy's list and the other members.
type member struct {
	parts    *parts
	cfg      *config.Platform // as read at the start, for what applies to this proxy alone
	lease    *engine.Lease
	fleet    *fleet.Fleet
	lists    *overlay
	trace    *trace
	settings atomic.Pointer[fleet.Settings]
}

// joinFleet makes a proxy a member of its fleet. The engine does not run yet. It uses the settings that
// fleet.InitialSettings derives from the file until the fleet sends others.
func (p *parts) joinFleet(cfg *config.Platform, own *config.Operator, log *slog.Logger) (*member, error) {
	m := &member{parts: p, cfg: cfg, lease: &engine.Lease{Clock: fleet.Now}}
	m.lists = &overlay{Engine: p.engine, own: map[string]engine.Entry{}, drained: map[string]bool{}, report: func(l agree.Lists, ends []agree.End) { m.fleet.ReportMembership(l, ends) }}
	p.engine.SetLease(m.lease)
	if own.Fleet.Trace != "" {
		var err error
		if m.trace, err = openTrace(own.Fleet.Trace, m); err != nil {
			return nil, err
		}
	}
	file, err := cfg.SharedSettings()
	if err != nil {
		return nil, err
	}
	m.fleet, err = fleet.Start(fleet.Options{Config: own.Fleet, Proxy: cfg.Name, File: file, Check: cfg.CheckSharedSettings, Host: m, Log: log})
	if err != nil {
		return nil, err
	}
	first := m.fleet.InitialSettings(cfg.Settings)
	if err := p.engine.ReconfigureLeased(first.InForce, first.WithoutLease); err != nil {
		return nil, err
	}
	return m, nil
}

// ApplySettings implements fleet.Host.
func (m *member) ApplySettings(r fleet.Settings, done func(error)) {
	m.parts.engine.Post(func() {
		err := m.parts.engine.ReconfigureLeased(r.InForce, r.WithoutLease)
		if err == nil {
			m.settings.Store(&r)
			if m.parts.counts != nil {
				m.parts.counts.SetClasses(m.parts.engine.Settings().Classes)
			}
			if m.trace != nil {
				m.trace.writeSettings(r)
			}
		}
		done(err)
	})
}

// ExtendLease implements fleet.Host.
func (m *member) ExtendLease(until time.Duration) { m.lease.Extend(until) }

// ParseSettings implements fleet.Host.
func (m *member) ParseSettings(text string) (balancer.Config, error) {
	return m.cfg.ParseSharedSettings(text)
}

// StateChanged implements fleet.Host.
func (m *member) StateChanged(s *agree.State) {
	m.parts.engine.Post(func() {
		m.lists.applyState(s)
		if m.trace != nil && len(s.Ends) > 0 {
			m.trace.write(traceEnds{time.Now().UnixNano(), s.Ends})
		}
	})
}

// ReadyBackends implements fleet.Host.
func (m *member) ReadyBackends(done func(agree.Lists, []string)) {
	m.parts.engine.Post(func() {
		var ready []string
		for name, e := range m.lists.own {
			if e.State == balancer.Ready {
				ready = append(ready, name)
			}
		}
		slices.Sort(ready)
		done(m.lists.summary(), ready)
	})
}

// propose proposes the file's settings to the fleet, logs the result, and calls done with it.
func (m *member) propose(next *config.Platform, log *slog.Logger, done func(bool)) {
	text, err := next.SharedSettings()
	if err == nil {
		var r agree.Result
		if r, err = m.fleet.ProposeFile(context.Background(), text); err == nil {
			log.Info("the fleet accepted the settings of the file", "event", "fleet-file", "version", r.Version, "same", r.Same, "by", r.By)
		}
	}
	if err != nil {
		log.Warn("not reloaded: "+err.Error(), "event", "fleet-file-refused", "do", actionable.AdviceFor(err))
	}
	done(err == nil)
}

// status answers /control/fleet with the fleet's status as JSON.
func (m *member) status() (int, []byte) {
	body, err := json.MarshalIndent(m.fleet.Status(), "", " ")
	if err != nil {
		return http.StatusInternalServerError, []byte("it can't be written down\n")
	}
	return http.StatusOK, append(body, '\n')
}

// withSettingsInForce returns cfg with the settings that the fleet has in force, or cfg itself if there are none. The
// drain takes its timeouts from it.
func (m *member) withSettingsInForce(cfg *config.Platform) *config.Platform {
	r := m.settings.Load()
	if r == nil {
		return cfg
	}
	next := *cfg
	next.Settings = r.InForce
	return &next
}

// overlay sits between the sources of the backend list and the engine. It reports this proxy's list to the fleet, and
// drains backends whose drain or removal other members have seen at a later revision than that of this proxy's list.
// The engine's goroutine owns it.
type overlay struct {
	*engine.Engine
	origin   func() (source string, revision int64, ok bool) // of the list in force; nil without a registry
	report   func(agree.Lists, []agree.End)
	own      map[string]engine.Entry // the list of this proxy's own source
	drained  map[string]bool         // ready in own, but drained because other members saw its end
	source   string
	revision int64
	version  uint32
	state    *agree.State
}

// setInitial stores the initial list, which the engine already has.
func (o *overlay) setInitial(l engine.Membership) {
	o.source, o.revision = "platform", int64(l.Version)
	for _, e := range l.Entries {
		o.own[e.Name] = e
	}
}

// ApplyMembership takes a list from its source, passes it to the engine and reports it to the fleet.
func (o *overlay) ApplyMembership(l engine.Membership) {
	source, revision := "platform", int64(l.Version)
	if o.origin != nil {
		if s, r, ok := o.origin(); ok {
			source, revision = s, r
		}
	}
	same := source == o.source
	o.source, o.revision, o.version = source, revision, l.Version
	var ends []agree.End
	end := func(name string, gone bool) {
		ends = append(ends, agree.End{Source: source, Name: name, Revision: revision, Gone: gone})
	}
	was := o.own
	if l.Kind != balancer.MembershipDelta {
		o.own = make(map[string]engine.Entry, len(l.Entries))
	}
	for _, e := range l.Entries {
		before, ok := was[e.Name]
		if e.State != balancer.Ready && (!ok || before.State != e.State) {
			end(e.Name, e.State == balancer.Gone)
		}
		if e.State == balancer.Gone {
			delete(o.own, e.Name)
			delete(o.drained, e.Name)
			continue
		}
		o.own[e.Name] = e
	}
	if l.Kind == balancer.MembershipFull && same {
		for name := range was {
			if _, ok := o.own[name]; !ok {
				end(name, true)
				delete(o.drained, name)
			}
		}
	}
	l.Entries = slices.Clone(l.Entries)
	for i := range l.Entries {
		if e := &l.Entries[i]; e.State == balancer.Ready && o.endedElsewhere(e.Name) {
			e.State = balancer.Draining
			o.drained[e.Name] = true
		}
	}
	o.Engine.ApplyMembership(l)
	o.reconcile()
	if l.Kind != balancer.MembershipCached {
		o.report(o.summary(), ends)
	}
}

// endedElsewhere reports whether other members saw a backend's drain or removal at a later revision than that of this
// proxy's list.
func (o *overlay) endedElsewhere(name string) bool {
	if o.state == nil {
		return false
	}
	e, ok := o.state.End(o.source, name)
	return ok && e.Revision > o.revision
}

// applyState takes the fleet's state, with the drains and removals that other members saw.
func (o *overlay) applyState(s *agree.State) {
	o.state = s
	o.reconcile()
}

// reconcile drains backends that ended elsewhere, and makes ready again those whose end this proxy's list has overtaken.
func (o *overlay) reconcile() {
	var changed []engine.Entry
	if o.state != nil {
		for _, x := range o.state.Ends {
			if e, ok := o.own[x.Name]; ok && x.Source == o.source && e.State == balancer.Ready && !o.drained[x.Name] && x.Revision > o.revision {
				o.drained[x.Name] = true
				e.State = balancer.Draining
				changed = append(changed, e)
			}
		}
	}
	for name := range o.drained {
		if e, ok := o.own[name]; !ok {
			delete(o.drained, name)
		} else if !o.endedElsewhere(name) { // this proxy's own list is at least as new as that end
			delete(o.drained, name)
			changed = append(changed, e)
		}
	}
	if len(changed) > 0 {
		slices.SortFunc(changed, func(a, b engine.Entry) int { return strings.Compare(a.Name, b.Name) })
		o.Engine.ApplyMembership(engine.Membership{Kind: balancer.MembershipDelta, Version: o.version, Entries: changed})
	}
}

// summary returns a digest of the list: proxies with the same list have the same summary.
func (o *overlay) summary() agree.Lists {
	l := agree.Lists{Source: o.source, Revision: o.revision, Count: len(o.own)}
	for name, e := range o.own {
		if e.State == balancer.Ready {
			f := fnv.New64a()
			_, _ = io.WriteString(f, name)
			l.Hash ^= f.Sum64() >> 11 // JSON numbers are exact up to 53 bits
		}
	}
	return l
}

var _ sources.Host = (*overlay)(nil)

// trace writes each attempt to a file with the settings it was made under, so that an external auditor can check them.
type trace struct {
	file   *os.File
	member *member
}

func openTrace(path string, m *member) (*trace, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, &fleet.ConfigError{Key: "fleet.trace", Want: "can't be written: " + err.Error()}
	}
	return &trace{file: f, member: m}, nil
}

type traceSettings struct {
	At       int64    `json:"at"` // Unix nanoseconds
	Seq      uint64   `json:"seq"`
	Versions []uint64 `json:"versions"`
}

type traceEnds struct {
	At   int64       `json:"at"`
	Ends []agree.End `json:"ends"`
}

type traceAttempt struct {
	At      int64  `json:"at"`
	ID      string `json:"id"`
	Class   string `json:"class"`
	Attempt int    `json:"attempt"` // from 0
	Node    string `json:"node"`
	Seq     uint64 `json:"seq"`
	Strict  bool   `json:"strict"`
}

// write writes a line without buffering, so that nothing is lost if the process is killed.
func (t *trace) write(v any) {
	if text, err := json.Marshal(v); err == nil {
		_, _ = t.file.Write(append(text, '\n'))
	}
}

func (t *trace) writeSettings(r fleet.Settings) {
	t.write(traceSettings{time.Now().UnixNano(), r.Sequence, r.Versions})
}

// OnAttemptStarted implements engine.Observer.
func (t *trace) OnAttemptStarted(_ time.Duration, a *engine.Attempt) {
	act := traceAttempt{At: time.Now().UnixNano(), ID: a.Call.ClientRequestID, Attempt: a.Index, Node: a.Backend.Name, Strict: t.member.lease.Expired()}
	if s := t.member.parts.engine.Settings(); a.Call.Class < len(s.Classes) {
		act.Class = s.Classes[a.Call.Class].Name
	}
	if r := t.member.settings.Load(); r != nil {
		act.Seq = r.Sequence
	}
	t.write(act)
}

func (t *trace) OnCallAccepted(time.Duration, *engine.Call)                                   {}
func (t *trace) OnAttemptEnded(time.Duration, *engine.Attempt, engine.AttemptEnd)             {}
func (t *trace) OnAnswered(time.Duration, *engine.Call, engine.Answer)                        {}
func (t *trace) OnStreamEnded(time.Duration, *engine.Call, bool)                              {}
func (t *trace) OnClientGone(time.Duration, *engine.Call)                                     {}
func (t *trace) OnMembership(time.Duration, *engine.Membership)                               {}
func (t *trace) OnHealthCheck(time.Duration, *engine.Backend, balancer.Result, time.Duration) {}
