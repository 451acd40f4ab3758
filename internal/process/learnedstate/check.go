package learnedstate

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"
)

// Bounds of stored values.
const (
	maxSpan   = 1000 * time.Hour // longer than any process runs without a restart
	maxNumber = 1e15
)

// InvalidError means that a field has an impossible value.
type InvalidError struct {
	Field  string // its path in the stored state, such as "state.Classes[0].Line[4]"
	Reason string
}

var _ error = (*InvalidError)(nil)

// Error implements error.
func (e *InvalidError) Error() string { return "learned state: " + e.Field + " " + e.Reason }

// TooManyError means that a list in a state is longer than allowed.
type TooManyError struct {
	What       string
	Count, Max int
}

var _ error = (*TooManyError)(nil)

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("learned state: %d %s exceed the limit of %d", e.Count, e.What, e.Max)
}

// Check returns an InvalidError or a TooManyError for the first impossible value, or nil. A state from another process
// is accepted as a whole or not at all.
func (s *State) Check() error {
	for _, list := range [...]TooManyError{
		{"backends", len(s.Backends), MaxBackends},
		{"classes", len(s.Classes), MaxClasses},
		{"tenants", len(s.Tenants), MaxTenants},
	} {
		if list.Count > list.Max {
			return &list
		}
	}
	for i := range s.Backends {
		b := &s.Backends[i]
		if len(b.Cells) != len(s.Classes) {
			reason := fmt.Sprintf("has %d classes, want %d", len(b.Cells), len(s.Classes))
			return &InvalidError{fmt.Sprintf("backend %q", b.Name), reason}
		}
	}
	return checkValue(reflect.ValueOf(s).Elem(), "state")
}

// checkValue rejects NaN and numbers out of range, spans longer than maxSpan, and names that are too long. It uses
// reflection so that no field can be forgotten; as it runs once per process, its speed doesn't matter.
func checkValue(v reflect.Value, path string) error {
	switch v.Kind() {
	case reflect.Float64:
		return checkNumber(v.Float(), path)
	case reflect.Int64:
		if d := time.Duration(v.Int()); d > maxSpan || d < -maxSpan {
			return &InvalidError{path, fmt.Sprintf("is %v", d)}
		}
	case reflect.Int:
		if n := v.Int(); n < 0 || n > math.MaxInt32 {
			return &InvalidError{path, fmt.Sprintf("is %d", n)}
		}
	case reflect.String:
		if v.Len() > maxNameBytes {
			return &InvalidError{path, fmt.Sprintf("has %d bytes", v.Len())}
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			if err := checkValue(v.Index(i), fmt.Sprintf("%s[%d]", path, i)); err != nil {
				return err
			}
		}
	case reflect.Struct:
		return checkFields(v, path)
	}
	return nil
}

func checkNumber(f float64, path string) error {
	outOfRange := math.IsNaN(f) || math.Abs(f) > maxNumber
	if outOfRange || f < 0 && !mayBeNegative(path) {
		return &InvalidError{path, fmt.Sprintf("is %v", f)}
	}
	return nil
}

func checkFields(v reflect.Value, path string) error {
	if v.Type() == reflect.TypeFor[time.Time]() {
		return nil
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		if err := checkValue(v.Field(i), path+"."+storedName(field)); err != nil {
			return err
		}
	}
	return nil
}

// storedName returns the name of a field as users see it: its JSON name, which stays when the field is renamed in the
// code.
func storedName(field reflect.StructField) string {
	if name := field.Tag.Get("json"); name != "" {
		return name
	}
	return field.Name
}

// mayBeNegative reports whether a number may be negative: overdrawn budgets and sums of logarithms may. All other
// numbers are counts, sums or shares of positive quantities.
func mayBeNegative(path string) bool {
	for _, field := range [...]string{".Tokens", ".Forecast.Sum", ".Gray.Dev"} {
		if strings.HasSuffix(path, field) {
			return true
		}
	}
	return false
}
