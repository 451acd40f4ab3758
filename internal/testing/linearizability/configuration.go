package linearizability

import "github.com/anishathalye/porcupine"

// Configuration is a version of the configuration and its text. Version 0 means that there is no configuration.
type Configuration struct {
	Version uint64
	Text    string
}

// ConfigurationRequest is an operator's request: a read, or a change that replaces the version it is based on.
type ConfigurationRequest struct {
	Read bool
	Base uint64 // of a change
	Text string // of a change
}

// ConfigurationResponse is the response that the operator received.
type ConfigurationResponse struct {
	Definite  bool   // it is known whether a change was committed
	Committed bool   // only for a definite change
	Version   uint64 // of a read
	Text      string // of a read
}

// ConfigurationModel is a compare-and-swap register with an initial configuration: a change is committed if and only if
// its base is the current version, and increments the version by one.
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
	// A change that had no effect, and whose client doesn't know the outcome, is ordered after all others.
	return !response.Definite, current
}
