package configuration

// UnitTokens is the Unit of subscribers whose limits count tokens. Without a unit, limits count requests.
const UnitTokens = "token_metering"

// Subscriber is a tenant: the sender of all requests with certain access keys, and its limits.
type Subscriber struct {
	// Name identifies the tenant to backends.
	Name string `json:"name"`
	// AccessKeys authenticate the tenant's requests. They must not be logged or passed to a backend.
	AccessKeys []string `json:"access_keys"`
	// Priority overrides the routes' priority, from 0 (highest) to 9 (lowest); nil: the route's priority applies.
	Priority *int `json:"priority"`
	// Unit is UnitTokens, or empty for requests.
	Unit string `json:"unit"`
	// RawTokens is the cost of a request that doesn't state its tokens, if the unit is UnitTokens.
	RawTokens float64 `json:"raw_tokens"`
	// RatePerS is how many requests or tokens the tenant may send per second across all proxies; 0: unlimited.
	RatePerS float64 `json:"rate_per_s"`
	// BurstSize is how many requests or tokens it may send at once in addition to the rate.
	BurstSize float64 `json:"burst_size"`
}

// String returns only the tenant's name, so that a printed subscriber doesn't reveal its keys.
func (s Subscriber) String() string { return "subscriber " + s.Name }

// GoString is String for %#v, which would otherwise print the keys.
func (s Subscriber) GoString() string { return s.String() }

// Limited reports whether the tenant has a quota.
func (s *Subscriber) Limited() bool { return s.RatePerS > 0 }

// Cost is what a request counts towards the tenant's quota: 1, or its tokens. tokens is negative if the request doesn't
// state them.
func (s *Subscriber) Cost(tokens float64) float64 {
	switch {
	case s.Unit != UnitTokens:
		return 1
	case tokens < 0:
		return s.RawTokens
	}
	return tokens
}

// RequiresKeys reports whether requests need a key on routes that are not keyless: the configuration has a list of
// subscribers, even if it is empty.
func (d *Document) RequiresKeys() bool { return d.Subscribers != nil }

// SubscriberByKey returns the tenant that has the given key, or nil.
func (d *Document) SubscriberByKey(key string) *Subscriber {
	if d.subscribers == nil || len(d.subscribers.byKey) == 0 {
		return nil
	}
	return d.subscribers.byKey[digestOfKey(key)]
}

// Subscriber returns the tenant with the given name, or nil.
func (d *Document) Subscriber(name string) *Subscriber {
	if d.subscribers == nil {
		return nil
	}
	return d.subscribers.byName[name]
}
