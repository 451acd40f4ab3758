package configuration

import (
	"math"
	"strings"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"marlreel/internal/controlplane/result"
)

// validateSubscribers checks the tenants. Its errors contain names of tenants and fields, but never a key.
func (d *Document) validateSubscribers(isNew func(name string) bool) []*result.Error {
	var violations []*result.Error
	names := make(map[string]bool, len(d.Subscribers))
	for i := range d.Subscribers {
		subscriber := &d.Subscribers[i]
		if isNew(subscriber.Name) {
			if err := subscriber.validate(); err != nil {
				violations = append(violations, err)
			}
		}
		if names[subscriber.Name] {
			violations = append(violations, result.Errorf(result.DuplicateName, "subscribers: two are named %q", subscriber.Name))
		}
		names[subscriber.Name] = true
	}
	for _, shared := range d.subscribers.shared {
		violations = append(violations, result.Errorf(result.SharedKey, "subscribers: %q and %q have a key in common", shared.first, shared.second))
	}
	return violations
}

// validate checks the tenant's own fields. An unknown unit is accepted and counts requests, as an empty one does: the
// user documentation calls no unit invalid.
func (s *Subscriber) validate() *result.Error {
	err := validation.ValidateStruct(s,
		validation.Field(&s.Name, validation.Required, validation.Length(1, maxNameLength), validation.By(validateHeaderValue)),
		validation.Field(&s.AccessKeys, validation.By(validateKeys)),
		validation.Field(&s.RawTokens, validation.By(validateAmount)),
		validation.Field(&s.RatePerS, validation.By(validateAmount)),
		validation.Field(&s.BurstSize, validation.By(validateAmount)))
	if err != nil {
		return result.Errorf(result.InvalidField, "subscriber %q: %v", s.Name, err)
	}
	return nil
}

// validateHeaderValue rejects control characters: the name is sent to backends as a header value, and a line break in
// it would end the header.
func validateHeaderValue(value any) error {
	name, _ := value.(string)
	if strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == '\x7f' }) {
		return validation.NewError("header_value", "must not have control characters")
	}
	return nil
}

func validateKeys(value any) error {
	keys, _ := value.([]string)
	for _, key := range keys {
		if key == "" {
			return validation.NewError("empty_key", "must not have an empty key")
		}
	}
	return nil
}

func validateAmount(value any) error {
	amount, _ := value.(float64)
	if amount < 0 || math.IsInf(amount, 0) || math.IsNaN(amount) {
		return validation.NewError("amount", "must be a finite number, 0 or more")
	}
	return nil
}
