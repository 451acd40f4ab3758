package emulator

import (
	"cmp"
	"slices"
	"time"
)

// run is one attempt at a backend.
type run struct {
	request  *request
	priority int
	order    int
	toRead   int // tokens of the prompt
	toWrite  int
	has      int // tokens of the prompt that are read
	wrote    int
	eventAt  time.Duration // when the last event was written
	began    bool
	off      bool // called off
	first    func()
	paused   func() // two events lie too far apart
	last     func()
	rejected func() // it did not run
}

// backend is a model backend: it reads prompts in chunks between the tokens of those that run.
type backend struct {
	world     *world
	id        string
	zone      int
	held      map[string]map[string]bool // adapters by model
	had       map[string]bool
	kept      map[string]bool // shared parts that were read, by model
	runs      []*run
	arrivals  int
	stepping  bool
	orders    uint64
	busy      bool   // with an order
	unloading string // that waits for its runs
	unloaded  func()
}

// take begins an attempt, or rejects it.
func (b *backend) take(r *run) {
	q := r.request
	adapters, holds := b.held[q.model]
	switch {
	case !holds || q.adapter != "" && !adapters[q.adapter] || b.unloading == q.model:
		r.rejected()
		return
	case len(b.runs) >= b.world.cfg.Engine.Slots:
		r.rejected()
		return
	}
	b.arrivals++
	r.order, r.toRead, r.toWrite = b.arrivals, q.promptTokens, q.outputTokens
	part := q.model + "/" + q.kind.Name
	if !b.kept[part] {
		b.kept[part] = true
		r.toRead += q.kind.SharedTokens
	}
	b.runs = append(b.runs, r)
	if !b.stepping {
		b.step()
	}
}

// pending is the work of what has not begun, in ms.
func (b *backend) pending() float64 {
	tokens := 0
	for _, r := range b.runs {
		if !r.began && !r.off {
			tokens += r.toRead
		}
	}
	return float64(tokens) / b.world.cfg.Engine.TokensPerMS
}

// step plays one step of the batch.
func (b *backend) step() {
	b.runs = slices.DeleteFunc(b.runs, func(r *run) bool { return r.off })
	b.unloadIdle()
	if len(b.runs) == 0 {
		b.stepping = false
		return
	}
	b.stepping = true
	e := &b.world.cfg.Engine
	slices.SortStableFunc(b.runs, func(x, y *run) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.order, y.order))
	})
	budget, pairs := e.Chunk, 0.0
	var writing []*run
	for _, r := range b.runs {
		read := min(budget, r.toRead)
		r.toRead -= read
		r.has += read
		pairs += float64(read) * float64(r.has)
		budget -= read
		if r.toRead == 0 {
			writing = append(writing, r)
		}
	}
	span := e.Step + time.Duration(len(b.runs))*e.StepPerSlot + milliseconds(float64(e.Chunk-budget)/e.TokensPerMS+pairs/1e6*e.PairsMSPerM)
	b.world.clock.after(span, func() { b.write(writing) })
}

// write ends a step: each request that is read has one more token.
func (b *backend) write(writing []*run) {
	for _, r := range writing {
		if r.off {
			continue
		}
		b.writeOne(r)
		if r.toWrite--; r.toWrite <= 0 {
			r.off = true
			r.last()
		}
	}
	b.step()
}

// writeOne writes one token of an answer. Tokens go out in events of several.
func (b *backend) writeOne(r *run) {
	e, now := &b.world.cfg.Engine, b.world.clock.now
	if !r.began {
		r.began, r.eventAt = true, now
		r.first()
	}
	if r.wrote++; r.wrote%max(1, e.Stride) != 0 {
		return
	}
	if now-r.eventAt > e.LongestPause {
		r.paused()
	}
	r.eventAt = now
}

// load begins an order to load; done is called when it is done.
func (b *backend) load(model, adapter string, done func()) {
	b.busy = true
	b.orders++
	span := 5 * time.Millisecond
	if adapter == "" {
		span = b.world.loadTime(b.had[model])
	}
	b.world.clock.after(span, func() {
		if adapter == "" {
			b.held[model], b.had[model] = map[string]bool{}, true
		} else if b.held[model] != nil {
			b.held[model][adapter] = true
		}
		b.busy = false
		done()
	})
}

// unload begins an order to unload: it waits for what runs.
func (b *backend) unload(model, adapter string, done func()) {
	b.busy = true
	b.orders++
	if adapter != "" {
		delete(b.held[model], adapter)
		b.busy = false
		done()
		return
	}
	b.unloading, b.unloaded = model, done
	b.unloadIdle()
}

// unloadIdle ends an order to unload once nothing of the model runs.
func (b *backend) unloadIdle() {
	if b.unloading == "" || slices.ContainsFunc(b.runs, func(r *run) bool { return !r.off && r.request.model == b.unloading }) {
		return
	}
	for part := range b.kept {
		if len(part) > len(b.unloading) && part[:len(b.unloading)+1] == b.unloading+"/" {
			delete(b.kept, part)
		}
	}
	delete(b.held, b.unloading)
	done := b.unloaded
	b.unloading, b.unloaded, b.busy = "", nil, false
	done()
}

// holdings are what the backend holds, as it reports it.
func (b *backend) holdings() map[string][]string {
	holds := map[string][]string{}
	for model, adapters := range b.held {
		names := []string{}
		for name := range adapters {
			names = append(names, name)
		}
		slices.Sort(names)
		holds[model] = names
	}
	return holds
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
