// Package linearizability says what the calls of control may answer, as models for a checker of
// linearizability: whole clusters under faults, in whatever simulation, are checked by the same
// models. The daemon never links it.
package linearizability

import "github.com/anishathalye/porcupine"

// ConfigurationCall is an operator's call: a read, or a configuration on top of a version.
type ConfigurationCall struct {
	Read bool
	Base uint64
	Text string
}

// ConfigurationAnswer is what came of a call.
type ConfigurationAnswer struct {
	Known   bool // there was a clear answer
	Taken   bool
	Version uint64 // of a read
	Text    string // of a read
}

// Configuration is a version and its text.
type Configuration struct {
	Version uint64
	Text    string
}

// ConfigurationModel says what a register with one order of changes may answer. Each change makes
// the next version.
func ConfigurationModel(first Configuration) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			s, call, answer := state.(Configuration), input.(ConfigurationCall), output.(ConfigurationAnswer)
			switch {
			case call.Read:
				return answer.Version == s.Version && answer.Text == s.Text, s
			case answer.Known && !answer.Taken:
				return call.Base != s.Version, s
			case call.Base == s.Version:
				return true, Configuration{s.Version + 1, call.Text}
			}
			return !answer.Known, s // what came to nothing is taken to come after all others
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// SwitchCall is a call at something that is on or off, as a zone's evacuation is: it is set, or read.
type SwitchCall struct {
	Read bool
	On   bool // what it is set to
}

// SwitchAnswer is what came of a call.
type SwitchAnswer struct {
	Known bool // there was a clear answer
	On    bool // what was read
}

// SwitchModel says what a switch that is off at first may answer. A call without a clear answer may
// have had no effect.
func SwitchModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{false} },
		Step: func(state, input, output any) []any {
			on, call, answer := state.(bool), input.(SwitchCall), output.(SwitchAnswer)
			switch {
			case call.Read && answer.On == on:
				return []any{on}
			case call.Read:
				return nil
			case answer.Known:
				return []any{call.On}
			}
			return []any{on, call.On}
		},
		Equal: func(a, b any) bool { return a == b },
	}
	return model.ToModel()
}
