package linearizability

import "github.com/anishathalye/porcupine"

// FlagRequest is a read or a write of something that is on or off, as a zone's evacuation is.
type FlagRequest struct {
	Read bool
	On   bool // what is written
}

// FlagResponse is what the client was answered.
type FlagResponse struct {
	Definite bool // a write is known to have had its effect
	On       bool // what was read
}

// FlagModel is a register of one bit that begins off. A write without a definite response may have had no effect.
func FlagModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, output any) []any {
			return stepFlag(state.(bool), input.(FlagRequest), output.(FlagResponse))
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}

// stepFlag gives the values that are possible after an operation; none: the operation is not possible.
func stepFlag(on bool, request FlagRequest, response FlagResponse) []any {
	switch {
	case request.Read && response.On == on:
		return []any{on}
	case request.Read:
		return nil
	case response.Definite:
		return []any{request.On}
	}
	return []any{on, request.On}
}
