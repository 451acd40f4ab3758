package placement

// zoneModel is a model in a zone.
type zoneModel struct{ zone, model string }

// census is who holds what, counted once for each plan.
type census struct {
	holders  map[string]int        // usable backends that hold a model, or will
	inZone   map[zoneModel]int     // the same by zone
	now      map[string]int        // usable backends that hold a model at this moment
	free     map[string]int        // of them, those that could take an order
	at       map[string][]*backend // usable backends that hold a model, by id
	adapters map[Key]int           // usable backends that hold an adapter, or load it
}

// count takes the census.
func (p *Planner) count() {
	c := &census{
		holders: map[string]int{}, inZone: map[zoneModel]int{}, now: map[string]int{}, free: map[string]int{},
		at: map[string][]*backend{}, adapters: map[Key]int{},
	}
	p.census = c
	for _, b := range p.sorted() {
		if !b.usable {
			continue
		}
		if b.order != nil && b.order.Operation == Load && b.order.Adapter != "" {
			c.adapters[b.order.Key]++
		}
		for model, adapters := range b.holds {
			c.at[model] = append(c.at[model], b)
			for name := range adapters {
				c.adapters[Key{model, name}]++
			}
			c.now[model]++
			if b.order == nil && b.reserved == "" {
				c.free[model]++
			}
			if !b.unloads(model) {
				c.add(b, model, 1)
			}
		}
		if coming := b.coming(); coming != "" {
			c.add(b, coming, 1)
		}
	}
}

func (c *census) add(b *backend, model string, n int) {
	c.holders[model] += n
	c.inZone[zoneModel{b.zone, model}] += n
}

// unloads tells whether a backend is giving a model up.
func (b *backend) unloads(model string) bool {
	return b.order != nil && b.order.Operation == Unload && b.order.Adapter == "" && b.order.Model == model
}

// coming is the model that a backend loads, or makes room for; "" is none.
func (b *backend) coming() string {
	model := b.reserved
	if b.order != nil && b.order.Operation == Load && b.order.Adapter == "" {
		model = b.order.Model
	}
	if _, holds := b.holds[model]; holds {
		return ""
	}
	return model
}

// recount takes the census anew where an order has changed it.
func (p *Planner) recount(b *backend, change func()) {
	wasFree := b.order == nil && b.reserved == ""
	was := b.coming()
	var held []string
	for model := range b.holds {
		if !b.unloads(model) {
			held = append(held, model)
		}
	}
	change()
	c := p.census
	if c == nil || !b.usable {
		return
	}
	if now := b.coming(); now != was {
		if was != "" {
			c.add(b, was, -1)
		}
		if now != "" {
			c.add(b, now, 1)
		}
	}
	for _, model := range held {
		if b.unloads(model) {
			c.add(b, model, -1)
		}
	}
	if o := b.order; o != nil && o.Operation == Load && o.Adapter != "" {
		c.adapters[o.Key]++
	}
	if isFree := b.order == nil && b.reserved == ""; wasFree && !isFree {
		for model := range b.holds {
			c.free[model]--
		}
	}
}
