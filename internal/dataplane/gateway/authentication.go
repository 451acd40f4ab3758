package gateway

import (
	"bytes"

	"marlreel/internal/controlplane/configuration"
)

// bearerScheme is the authentication scheme of keys (RFC 6750); schemes are compared without regard to case.
const bearerScheme = "Bearer"

// tenancy is what the configuration says about the sender of a request.
type tenancy struct {
	// listed: the configuration lists subscribers, so clients' headers with keys and tenants are not forwarded.
	listed bool
	// subscriber is the tenant whose key the request has; nil: none.
	subscriber *configuration.Subscriber
}

// authenticate finds the tenant of a request by the values of its Authorization header, in the configuration that the
// route is from. authorized is false if the route needs a key and the request has no known one. A known key identifies
// the tenant on a keyless route too.
func authenticate(document *configuration.Document, route *configuration.Route, credentials [][]byte) (_ tenancy, authorized bool) {
	if !document.RequiresKeys() {
		return tenancy{}, true
	}
	if key, found := bearerKey(credentials); found {
		// A name that is not a valid header value would reach backends altered, or alter the request: it is refused.
		if subscriber := document.SubscriberByKey(key); subscriber != nil && isFieldValue(subscriber.Name) {
			return tenancy{listed: true, subscriber: subscriber}, true
		}
	}
	return tenancy{listed: true}, route.Keyless
}

// bearerKey returns the key of a request's credentials. Several credentials are ambiguous and count as none.
func bearerKey(credentials [][]byte) (key string, found bool) {
	if len(credentials) != 1 {
		return "", false
	}
	scheme, token, _ := bytes.Cut(credentials[0], []byte(" "))
	token = bytes.Trim(token, " \t")
	if !bytes.EqualFold(scheme, []byte(bearerScheme)) || len(token) == 0 {
		return "", false
	}
	return string(token), true
}

// isFieldValue reports whether a text can be sent unchanged as a header's value (RFC 9110, 5.5): not empty, without
// control characters, and without a space at either end.
func isFieldValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != "" && text[0] != ' ' && text[len(text)-1] != ' '
}

// withholds reports whether a client's header is not forwarded to backends.
func (t tenancy) withholds(header string) bool {
	switch header {
	case headerAuthorization, headerSubscriber:
		return t.listed
	case headerPriority:
		return t.hasPriority()
	}
	return false
}

// hasPriority reports whether the tenant has a priority of its own.
func (t tenancy) hasPriority() bool { return t.subscriber != nil && t.subscriber.Priority != nil }

// priority returns a request's priority: its tenant's if that has one, or its route's.
func (t tenancy) priority(route *configuration.Route) int {
	if t.hasPriority() {
		return *t.subscriber.Priority
	}
	return route.Priority
}
