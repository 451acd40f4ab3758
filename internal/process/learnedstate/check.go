package learnedstate

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"time"
)

// Bounds of a value.
const (
	maxSpan   = 1000 * time.Hour // longer than any process runs
	maxNumber = 1e15
)

// InvalidError is a value that no process can have learned.
type InvalidError struct {
	Field  string // by its name in the stored state, such as "state.Classes[0].Line[4]"
	Reason string
}

var _ error = (*InvalidError)(nil)

// Error implements error.
func (e *InvalidError) Error() string { return "learnt: " + e.Field + " " + e.Reason }

// TooManyError is a state with more entries than a process keeps.
type TooManyError struct {
	What       string
	Count, Max int
}

var _ error = (*TooManyError)(nil)

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("learnt: %d %s, %d at most", e.Count, e.What, e.Max)
}

// Check gives an InvalidError or a TooManyError for the first value that can't be true, or nil: a state from elsewhere
// is taken as a whole or not at all.
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
			reason := fmt.Sprintf("has %d classes, there are %d", len(b.Cells), len(s.Classes))
			return &InvalidError{fmt.Sprintf("backend %q", b.Name), reason}
		}
	}
	return checkValue(reflect.ValueOf(s).Elem(), "state")
}

// checkValue finds a number that is none, a span longer than maxSpan, or a name that is too long. It goes by reflection,
// so that no field can be forgotten; it runs once in a process's life.
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

// storedName is the name by which users know a field: that of its JSON, which stays when the code's changes.
func storedName(field reflect.StructField) string {
	if name := field.Tag.Get("json"); name != "" {
		return name
	}
	return field.Name
}

// mayBeNegative tells which numbers are not counts, sums or shares of what is positive: a budget that is overdrawn, and
// sums over logarithms.
func mayBeNegative(path string) bool {
	for _, field := range [...]string{".Tokens", ".Forecast.Sum", ".Gray.Dev"} {
		if strings.HasSuffix(path, field) {
			return true
		}
	}
	return false
}
