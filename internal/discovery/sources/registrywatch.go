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

// registryWatch is one following of one registry. What it reports after it was replaced or cancelled does not count.
type registryWatch struct {
	cancel context.CancelFunc
	resync chan struct{} // a request for a snapshot; one is kept
}

// requestSnapshot asks for a snapshot, unless one is asked for already.
func (w *registryWatch) requestSnapshot() {
	select {
	case w.resync <- struct{}{}:
	default:
	}
}

// CheckRegistry returns an error where a registry can't be put in force: its settings or files are wrong.
func CheckRegistry(config registry.Config) error {
	if err := config.Validate(); err != nil {
		return err
	}
	return config.CheckFiles()
}

// SetRegistry puts a registry in force, another one, or none. After an error what was in force stays.
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
		s.registryWatch.cancel() // it ends by itself
		s.registryWatch = nil
	}
}

// follow begins a registry watch.
func (s *Source) follow(client registry.Client) {
	ctx, cancel := context.WithCancel(context.Background()) // until SetRegistry or Close cancels it
	watch := &registryWatch{cancel: cancel, resync: make(chan struct{}, 1)}
	s.registryWatch = watch
	s.logf("registry: following %s at %v", s.config.Kind, s.config.Endpoints)
	s.running.Go(func() {
		registry.Follow(ctx, client, registryObserver{s, watch}, watch.resync)
		client.NextEndpoint() // closes the connections that are kept alive
	})
}

// startModel begins to judge between two lists; the one in force is the platform's.
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
	// The list in force may be from before this process. The platform's changes continue from it, so the model has to
	// know it; whose list it is shows with the first report of either source.
	s.applyWithoutLists(s.model.OnCachedList(s.host.Now(), list))
	if s.platformReported {
		s.applyWithoutLists(s.model.OnSnapshot(s.host.Now(), platformIndex, snapshot))
	}
}

// applyWithoutLists carries out all actions but lists: the engine has this list.
func (s *Source) applyWithoutLists(actions []membership.Action) {
	s.apply(slices.DeleteFunc(actions, func(action membership.Action) bool {
		_, isList := action.(membership.FullList)
		return isList
	}))
}

// stopModel ends the judging: the platform's list is in force from now on, as far as it is known.
func (s *Source) stopModel() {
	list, known := s.model.SourceList(platformIndex)
	s.model, s.nextTickAt = nil, 0
	s.logf("registry: off")
	if known {
		s.emitList(list, false)
	}
}

// registryObserver hands what a registry's client reports, on its own goroutine, to the model, on the engine's.
type registryObserver struct {
	source *Source
	watch  *registryWatch
}

var _ registry.Observer = registryObserver{}

// post runs an event on the engine's goroutine, unless the watch has been replaced by then.
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

// markUnknownZones marks entries in zones that the settings don't have as malformed. Any goroutine may call it.
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
