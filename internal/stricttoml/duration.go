package stricttoml

import (
	"encoding"
	"fmt"
	"time"
)

// Duration is a time as these files write it: "250ms", "8s". Its form is that of time.ParseDuration.
type Duration time.Duration

var (
	_ encoding.TextUnmarshaler = (*Duration)(nil)
	_ encoding.TextMarshaler   = Duration(0)
)

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no span of time like \"250ms\" or \"8s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// D is the duration as the standard library has it.
func (d Duration) D() time.Duration { return time.Duration(d) }
