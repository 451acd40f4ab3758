package sources

import (
	"context"
	"fmt"
	"reflect"
	"slices"
	"time"

	"marlreel/internal/dataplane/engine"
	"marlreel/internal/discovery/membership"
	"marlreel/internal/discovery/registry"
)

// registryWatch is a running registry.Follow. Its reports are ignored once it has been replaced or cancelled.
type registryWatch struct {
	cancel context.CancelFunc
	resync chan struct{} // requests for a snapshot; at most one is pending
}

// requestSnapshot requests a snapshot, unless a request is pending.
func (w *registryWatch) requestSnapshot() {
	select {
	case w.resync <- struct{}{}:
	default:
	}
}

// CheckRegistry returns an error if the settings of a registry are invalid or the files that they name are unusable.
func CheckRegistry(config registry.Config) error {
	if err := config.Validate(); err != nil {
		return err
	}
	return config.CheckFiles()
}

// SetRegistry sets, replaces or removes the registry. On an error, the previous one stays in force.
func (s *Source) SetRegistry(config registry.Config) error {
	if reflect.DeepEqual(config, s.config) || !config.Enabled() && !s.config.Enabled() {
		return nil
	}
	if err := CheckRegistry(config); err != nil {
		return err
	}
	if !config.Enabled() {
		s.cancelRegistryWatch()
		s.config = config
		s.stopModel()
		return nil
	}
	client, err := registry.New(config) // its files may have changed since the check
	if err != nil {
		return err
	}
	s.cancelRegistryWatch()
	s.config = config
	if s.model == nil {
		s.startModel()
	}
	s.follow(client)
	return nil
}

func (s *Source) cancelRegistryWatch() {
	if s.registryWatch != nil {
		s.registryWatch.cancel() // its goroutine then ends by itself
		s.registryWatch = nil
	}
}

// follow starts a registry watch.
func (s *Source) follow(client registry.Client) {
	ctx, cancel := context.WithCancel(context.Background()) // cancelled by SetRegistry or Close
	watch := &registryWatch{cancel: cancel, resync: make(chan struct{}, 1)}
	s.registryWatch = watch
	s.logf("registry: following %s at %v", s.config.Kind, s.config.Endpoints)
	s.running.Go(func() {
		registry.Follow(ctx, client, registryObserver{s, watch}, watch.resync)
		client.NextEndpoint() // closes idle connections
	})
}

// startModel creates the model that chooses between the two lists. The list in force is the platform's.
func (s *Source) startModel() {
	s.model = membership.New(membership.Config{
		Sources: []string{"registry", "platform"}, LossTimeout: s.config.LossTimeout.D(), FailbackDelay: s.config.FailbackDelay.D(),
		MaxLossFraction: s.config.MaxLossFraction, LossWindow: s.config.LossWindow.D(), MaxFlaps: s.config.MaxFlaps,
		FlapDecay: s.config.FlapDecay.D(), MaxEntries: maxEntries, EmitDeltas: true,
	})
	snapshot := membership.Snapshot{Revision: int64(s.platformVersion)}
	list := map[string]membership.Entry{}
	s.host.EachBackend(func(b *engine.Backend) {
		item := membership.Item{Name: b.Name, ModRevision: int64(s.platformVersion), Entry: s.fromBackend(b)}
		snapshot.Items = append(snapshot.Items, item)
		list[item.Name] = item.Entry
	})
	if len(snapshot.Items) == 0 {
		return
	}
	// The list in force may be from an earlier process. The platform's changes continue from it, so the model has to
	// know it; it belongs to no source until one of them has reported.
	s.applyWithoutLists(s.model.OnCachedList(s.host.Now(), list))
	if s.platformReported {
		s.applyWithoutLists(s.model.OnSnapshot(s.host.Now(), platformIndex, snapshot))
	}
}

// applyWithoutLists carries out all actions but full lists, as the engine already has this list.
func (s *Source) applyWithoutLists(actions []membership.Action) {
	s.apply(slices.DeleteFunc(actions, func(action membership.Action) bool {
		_, isList := action.(membership.FullList)
		return isList
	}))
}

// stopModel removes the model, and puts the platform's list in force if it is known.
func (s *Source) stopModel() {
	list, known := s.model.SourceList(platformIndex)
	s.model, s.nextTickAt = nil, 0
	s.logf("registry: disabled")
	if known {
		s.emitList(list, false)
	}
}

// registryObserver passes the reports of a registry's client, which come on another goroutine, to the model on the
// engine's goroutine.
type registryObserver struct {
	source *Source
	watch  *registryWatch
}

var _ registry.Observer = registryObserver{}

// post runs an event on the engine's goroutine, unless the watch has been replaced in the meantime.
func (o registryObserver) post(event func(m *membership.Model, now time.Duration) []membership.Action) {
	o.source.host.Post(func() {
		if o.source.registryWatch == o.watch && o.source.model != nil {
			o.source.apply(event(o.source.model, o.source.host.Now()))
		}
	})
}

// OnSnapshot implements registry.Observer.
func (o registryObserver) OnSnapshot(snapshot membership.Snapshot) {
	o.source.markUnknownZones(snapshot.Items)
	o.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnSnapshot(now, registryIndex, snapshot)
	})
}

// OnUpdate implements registry.Observer.
func (o registryObserver) OnUpdate(update membership.Update) {
	o.source.markUnknownZones(update.Puts)
	o.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnUpdate(now, registryIndex, update)
	})
}

// OnProgress implements registry.Observer.
func (o registryObserver) OnProgress(revision int64) {
	o.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnProgress(now, registryIndex, revision)
	})
}

// OnCompacted implements registry.Observer.
func (o registryObserver) OnCompacted() {
	o.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnCompacted(now, registryIndex)
	})
}

// OnLost implements registry.Observer.
func (o registryObserver) OnLost(reason string) {
	o.post(func(m *membership.Model, now time.Duration) []membership.Action {
		return m.OnSourceLost(now, registryIndex, reason)
	})
}

// markUnknownZones marks entries whose zone is not in the settings as malformed. Any goroutine may call it.
func (s *Source) markUnknownZones(items []membership.Item) {
	zones := s.names.Load().Zones
	for i := range items {
		item := &items[i]
		if item.Malformed != "" || item.Name == membership.ConfirmKey {
			continue
		}
		if _, known := zones[item.Entry.Zone]; !known {
			item.Malformed = fmt.Sprintf("unknown zone %.80q", item.Entry.Zone)
		}
	}
}
