package configuration

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"
	"sync"

	"marlreel/internal/controlplane/result"
)

// The keys of a document that a change can name.
const (
	routesKey      = "route_list"
	servicesKey    = "service_list"
	subscribersKey = "subscribers"
	versionKey     = "config_version"
)

// rawItem is a list item as the operator sent it.
type rawItem struct {
	name string
	json json.RawMessage
}

// rawFields is a document's JSON by top-level field, so that a change affects only the items that it names.
type rawFields struct {
	routes   []rawItem
	services []rawItem
	// subscribers is nil if the document has no such list, and empty if the list has no items.
	subscribers []rawItem
	others      map[string]json.RawMessage // all fields except the lists and the version
}

// rawDocument is a document's JSON as it was sent: the bytes, the fields, or both. Each form is derived from the other
// when it is first needed, so that a changed large configuration is encoded only when it is read.
type rawDocument struct {
	mu     sync.Mutex
	data   []byte
	fields *rawFields

	lastChange []byte    // the last validated change of this document; nil: none
	lastResult *Document // the document that resulted from lastChange
}

func newRawDocument(data []byte) *rawDocument { return &rawDocument{data: data} }

// json returns the JSON of the document, whose version is given.
func (r *rawDocument) json(version uint64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.data == nil {
		r.data = r.fields.encode(version)
	}
	return r.data
}

// cacheResult keeps the result of a validated change of this document, as the change is usually accepted and applied
// next.
func (r *rawDocument) cacheResult(change []byte, modified *Document) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastChange, r.lastResult = change, modified
}

// cachedResult returns the result of a change if it was the last one validated, and nil otherwise.
func (r *rawDocument) cachedResult(change []byte) *Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastResult == nil || !bytes.Equal(r.lastChange, change) {
		return nil
	}
	return r.lastResult
}

// split returns the JSON by field; d is the document decoded from it.
func (r *rawDocument) split(d *Document) (*rawFields, *result.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fields == nil {
		fields, err := decodeFields(r.data, d)
		if err != nil {
			return nil, err
		}
		r.fields = fields
	}
	return r.fields, nil
}

// decodeFields decodes a document's JSON by field. Item names are taken from the decoded document.
func decodeFields(data []byte, d *Document) (*rawFields, *result.Error) {
	all := map[string]json.RawMessage{}
	if err := decodeJSON(data, &all); err != nil {
		return nil, result.Errorf(result.Malformed, "configuration in place: %s", describeJSONError(err))
	}
	for _, key := range []string{routesKey, servicesKey, subscribersKey, versionKey} {
		normalizeKeyCase(all, key)
	}
	routes, err := decodeList(all[routesKey], len(d.Routes), func(i int) string { return d.Routes[i].Name })
	if err != nil {
		return nil, err
	}
	services, err := decodeList(all[servicesKey], len(d.Services), func(i int) string { return d.Services[i].Name })
	if err != nil {
		return nil, err
	}
	var subscribers []rawItem
	if d.Subscribers != nil {
		subscribers, err = decodeList(all[subscribersKey], len(d.Subscribers), func(i int) string { return d.Subscribers[i].Name })
		if err != nil {
			return nil, err
		}
		delete(all, subscribersKey)
	}
	for _, key := range []string{routesKey, servicesKey, versionKey} {
		delete(all, key)
	}
	return &rawFields{routes: routes, services: services, subscribers: subscribers, others: all}, nil
}

// normalizeKeyCase renames a field that equals key except for case to key: decoding the document ignores case too.
func normalizeKeyCase(fields map[string]json.RawMessage, key string) {
	if _, exact := fields[key]; exact {
		return
	}
	for name, value := range fields {
		if strings.EqualFold(name, key) {
			fields[key] = value
			delete(fields, name)
			return
		}
	}
}

// decodeList splits a list of a document into items; an absent list is empty. name returns the name of each of the
// count items that the document has, so that items need not be decoded again.
func decodeList(data json.RawMessage, count int, name func(i int) string) ([]rawItem, *result.Error) {
	var list []json.RawMessage
	if len(data) > 0 {
		if err := json.Unmarshal(data, &list); err != nil {
			return nil, result.Errorf(result.Malformed, "configuration in place: %s", describeJSONError(err))
		}
	}
	if len(list) != count { // the key occurs in the JSON more than once
		return namedItems(list)
	}
	items := make([]rawItem, count)
	for i := range list {
		items[i] = rawItem{name: name(i), json: list[i]}
	}
	return items, nil
}

// namedItems decodes the names of a list's items. It fails with result.InvalidField if an item has none.
func namedItems(list []json.RawMessage) ([]rawItem, *result.Error) {
	items := make([]rawItem, 0, len(list))
	for _, data := range list {
		var named struct {
			Name string `json:"name"`
		}
		if err := json.Unmarshal(data, &named); err != nil || named.Name == "" {
			return nil, result.Errorf(result.InvalidField, "an item has no name")
		}
		items = append(items, rawItem{name: named.Name, json: data})
	}
	return items, nil
}

// encode returns the JSON of a document with the given version.
func (f *rawFields) encode(version uint64) []byte {
	document := map[string]any{}
	for name, value := range f.others {
		document[name] = value
	}
	document[routesKey] = rawMessages(f.routes)
	document[servicesKey] = rawMessages(f.services)
	document[versionKey] = json.RawMessage(strconv.FormatUint(version, 10))
	if f.subscribers != nil {
		document[subscribersKey] = rawMessages(f.subscribers)
	}
	data, _ := json.Marshal(document) // fields of valid JSON always marshal
	return data
}

func rawMessages(items []rawItem) []json.RawMessage {
	messages := make([]json.RawMessage, len(items))
	for i := range items {
		messages[i] = items[i].json
	}
	return messages
}
