package linearizability

import "github.com/anishathalye/porcupine"

// Configuration is a version of the configuration and its text. Version 0 is none.
type Configuration struct {
	Version uint64
	Text    string
}

// ConfigurationRequest is an operator's request: a read, or a configuration based on a version, which it replaces.
type ConfigurationRequest struct {
	Read bool
	Base uint64 // of a change
	Text string // of a change
}

// ConfigurationResponse is what the operator was answered.
type ConfigurationResponse struct {
	Definite  bool   // whether a change was committed is known
	Committed bool   // of a definite change
	Version   uint64 // of a read
	Text      string // of a read
}

// ConfigurationModel is a compare-and-swap register that begins with a configuration: a change is committed if and only
// if its base is the current version, and makes the next version.
func ConfigurationModel(first Configuration) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			return stepConfiguration(state.(Configuration), input.(ConfigurationRequest), output.(ConfigurationResponse))
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

func stepConfiguration(current Configuration, request ConfigurationRequest, response ConfigurationResponse) (bool, any) {
	switch {
	case request.Read:
		return response.Version == current.Version && response.Text == current.Text, current
	case response.Definite && !response.Committed:
		return request.Base != current.Version, current
	case request.Base == current.Version:
		return true, Configuration{current.Version + 1, request.Text}
	}
	// One that had no effect, and whose client doesn't know, is ordered behind all others.
	return !response.Definite, current
}
