package linearizability

import "github.com/anishathalye/porcupine"

// FlagRequest is a read or a write of a boolean, such as whether a zone is evacuated.
type FlagRequest struct {
	Read bool
	On   bool // value of a write
}

// FlagResponse is the response that the client received.
type FlagResponse struct {
	Definite bool // a write is known to have taken effect
	On       bool // value of a read
}

// FlagModel is a boolean register whose initial value is off. A write without a definite response may have had no effect.
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

// stepFlag returns the possible values after an operation. It returns none if the operation is not possible.
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
