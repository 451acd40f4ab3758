package placement

// zoneModel is a model in a zone.
type zoneModel struct{ zone, model string }

// snapshot counts the replicas of models and adapters in the cluster. It is taken once for each plan and updated with
// each order of the plan. Only usable backends count.
type snapshot struct {
	replicas        map[string]int             // backends that have a model loaded and keep it, or are about to load it
	zoneReplicas    map[zoneModel]int          // the same by zone
	loaded          map[string]int             // backends that have a model loaded now
	idle            map[string]int             // of these, those without an order or a reservation
	loadedAt        map[string][]*backendState // backends that have a model loaded, by id
	adapterReplicas map[Key]int                // backends that have an adapter loaded or are loading it
}

// takeSnapshot counts the replicas at all usable backends.
func (p *Planner) takeSnapshot() {
	s := &snapshot{
		replicas: map[string]int{}, zoneReplicas: map[zoneModel]int{}, loaded: map[string]int{}, idle: map[string]int{},
		loadedAt: map[string][]*backendState{}, adapterReplicas: map[Key]int{},
	}
	p.snapshot = s
	for _, b := range p.sortedBackends() {
		if b.usable {
			s.addBackend(b)
		}
	}
}

func (s *snapshot) addBackend(b *backendState) {
	s.addLoadingAdapter(b)
	for model, adapters := range b.loaded {
		s.loadedAt[model] = append(s.loadedAt[model], b)
		for name := range adapters {
			s.adapterReplicas[Key{model, name}]++
		}
		s.loaded[model]++
		if b.idle() {
			s.idle[model]++
		}
		if !b.isUnloading(model) {
			s.addReplicas(b, model, 1)
		}
	}
	if incoming := b.incomingModel(); incoming != "" {
		s.addReplicas(b, incoming, 1)
	}
}

func (s *snapshot) addReplicas(b *backendState, model string, n int) {
	s.replicas[model] += n
	s.zoneReplicas[zoneModel{b.zone, model}] += n
}

// addLoadingAdapter counts the adapter that a backend is loading, if any.
func (s *snapshot) addLoadingAdapter(b *backendState) {
	if o := b.pending; o != nil && o.Operation == Load && o.Adapter != "" {
		s.adapterReplicas[o.Key]++
	}
}

// updateSnapshot applies a change to a backend's order or reservation and updates the counts.
func (p *Planner) updateSnapshot(b *backendState, change func()) {
	wasIdle, oldIncoming := b.idle(), b.incomingModel()
	var keptBefore []string
	for model := range b.loaded {
		if !b.isUnloading(model) {
			keptBefore = append(keptBefore, model)
		}
	}
	change()
	s := p.snapshot
	if s == nil || !b.usable {
		return
	}
	s.moveIncoming(b, oldIncoming)
	for _, model := range keptBefore {
		if b.isUnloading(model) {
			s.addReplicas(b, model, -1)
		}
	}
	s.addLoadingAdapter(b)
	if wasIdle && !b.idle() {
		for model := range b.loaded {
			s.idle[model]--
		}
	}
}

// moveIncoming replaces the count of a backend's incoming model from before a change by that of the present one.
func (s *snapshot) moveIncoming(b *backendState, before string) {
	incoming := b.incomingModel()
	if incoming == before {
		return
	}
	if before != "" {
		s.addReplicas(b, before, -1)
	}
	if incoming != "" {
		s.addReplicas(b, incoming, 1)
	}
}
