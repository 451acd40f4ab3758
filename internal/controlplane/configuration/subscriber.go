package configuration

// UnitTokens says that a subscriber's limits count tokens. Without a unit they count requests.
const UnitTokens = "token_metering"

// Subscriber is a tenant: who sends requests under some keys, and how many it may send.
type Subscriber struct {
	// Name is what backends are told of the tenant.
	Name string `json:"name"`
	// AccessKeys are the keys of its requests. They must not be logged, nor passed to a backend.
	AccessKeys []string `json:"access_keys"`
	// Priority takes the place of the routes' priority, from 0 (first) to 9 (last); nil: the route's counts.
	Priority *int `json:"priority"`
	// Unit is UnitTokens, or empty for requests.
	Unit string `json:"unit"`
	// RawTokens is what a request counts that doesn't say its tokens, where the unit is UnitTokens.
	RawTokens float64 `json:"raw_tokens"`
	// RatePerS is how many requests or tokens the tenant may send in a second, over all proxies; 0: not limited.
	RatePerS float64 `json:"rate_per_s"`
	// BurstSize is what it may send at once beside the rate.
	BurstSize float64 `json:"burst_size"`
}

// String returns the tenant's name: a subscriber that is printed must not give its keys away.
func (s Subscriber) String() string { return "subscriber " + s.Name }

// GoString is String, for %#v.
func (s Subscriber) GoString() string { return s.String() }

// Limited reports whether the tenant has a quota.
func (s *Subscriber) Limited() bool { return s.RatePerS > 0 }

// Cost is what a request counts towards the tenant's quota: 1, or its tokens. tokens is negative where the request
// doesn't say them.
func (s *Subscriber) Cost(tokens float64) float64 {
	switch {
	case s.Unit != UnitTokens:
		return 1
	case tokens < 0:
		return s.RawTokens
	}
	return tokens
}

// RequiresKeys reports whether requests need a key on routes that are not keyless: subscribers are listed, be it none.
func (d *Document) RequiresKeys() bool { return d.Subscribers != nil }

// SubscriberByKey returns the tenant that has a key, or nil.
func (d *Document) SubscriberByKey(key string) *Subscriber {
	if d.subscribers == nil || len(d.subscribers.byKey) == 0 {
		return nil
	}
	return d.subscribers.byKey[digestOfKey(key)]
}

// Subscriber returns the tenant of a name, or nil.
func (d *Document) Subscriber(name string) *Subscriber {
	if d.subscribers == nil {
		return nil
	}
	return d.subscribers.byName[name]
}
