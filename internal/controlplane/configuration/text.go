package configuration

import (
	"encoding/json"
	"strconv"
	"sync"

	"marlreel/internal/controlplane/result"
)

// item is an entry of a list as the operator sent it.
type item struct {
	name string
	raw  json.RawMessage
}

// parts are a document's JSON taken apart, so that a change touches only what it names.
type parts struct {
	routes, services []item
	rest             map[string]json.RawMessage // all fields but the lists and the version
}

// text is a document's JSON: whole, in parts, or both. Each is made of the other when it is
// needed first.
type text struct {
	mu    sync.Mutex
	data  []byte
	parts *parts
}

func newText(data []byte) *text { return &text{data: data} }

// whole is the JSON of the document.
func (t *text) whole(version uint64) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.data == nil {
		t.data = t.parts.join(version)
	}
	return t.data
}

// apart are the parts of the JSON.
func (t *text) apart() (*parts, *result.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.parts == nil {
		parts, err := split(t.data)
		if err != nil {
			return nil, err
		}
		t.parts = parts
	}
	return t.parts, nil
}

// split takes a document's JSON apart.
func split(data []byte) (*parts, *result.Error) {
	p := &parts{rest: map[string]json.RawMessage{}}
	if err := decode(data, &p.rest); err != nil {
		return nil, result.Errorf(result.Malformed, "configuration in place: %v", err)
	}
	for name, into := range map[string]*[]item{routeList: &p.routes, serviceList: &p.services} {
		var raw []json.RawMessage
		if list := p.rest[name]; len(list) > 0 {
			if err := json.Unmarshal(list, &raw); err != nil {
				return nil, result.Errorf(result.Malformed, "configuration in place: %v", err)
			}
		}
		items, err := itemsOf(raw)
		if err != nil {
			return nil, err
		}
		*into = items
		delete(p.rest, name)
	}
	delete(p.rest, versionKey)
	return p, nil
}

func itemsOf(list []json.RawMessage) ([]item, *result.Error) {
	items := make([]item, 0, len(list))
	for _, raw := range list {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(raw, &named); err != nil || named.Name == "" {
			return nil, result.Errorf(result.InvalidField, "an item has no name")
		}
		items = append(items, item{named.Name, raw})
	}
	return items, nil
}

// join makes the JSON of a document out of its parts.
func (p *parts) join(version uint64) []byte {
	whole := map[string]any{
		routeList: rawOf(p.routes), serviceList: rawOf(p.services),
		versionKey: json.RawMessage(strconv.FormatUint(version, 10)),
	}
	for name, value := range p.rest {
		whole[name] = value
	}
	data, _ := json.Marshal(whole) // parts of valid JSON always marshal
	return data
}

func rawOf(items []item) []json.RawMessage {
	list := make([]json.RawMessage, len(items))
	for i := range items {
		list[i] = items[i].raw
	}
	return list
}
