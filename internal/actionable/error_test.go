package actionable

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

type diskFullError struct{}

func (diskFullError) Error() string  { return "disk full" }
func (diskFullError) Advice() string { return "make room" }

func TestMessage(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want string
	}{
		{"without advice", errors.New("odd"), "odd"},
		{"with advice", diskFullError{}, "disk full (make room)"},
		{"wrapped", fmt.Errorf("saving: %w", diskFullError{}), "saving: disk full (make room)"},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Message(c.err), c.want) })
	}
}
