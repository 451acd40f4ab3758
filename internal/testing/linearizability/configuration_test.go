package linearizability

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// calls are operations in a row, each between two instants.
func calls(operations ...porcupine.Operation) []porcupine.Operation {
	for i := range operations {
		operations[i].ClientId = i
	}
	return operations
}

func TestConfigurationsThatFitNoOrderAreFound(t *testing.T) {
	first := Configuration{Version: 1, Text: "first"}
	write := func(call, returned int64, base uint64, text string, answer ConfigurationAnswer) porcupine.Operation {
		return porcupine.Operation{Input: ConfigurationCall{Base: base, Text: text}, Call: call, Output: answer, Return: returned}
	}
	read := func(call, returned int64, version uint64, text string) porcupine.Operation {
		return porcupine.Operation{
			Input: ConfigurationCall{Read: true}, Call: call,
			Output: ConfigurationAnswer{Known: true, Version: version, Text: text}, Return: returned,
		}
	}
	taken, refused := ConfigurationAnswer{Known: true, Taken: true}, ConfigurationAnswer{Known: true}
	for name, of := range map[string]struct {
		operations []porcupine.Operation
		right      bool
	}{
		"one of two on a base":          {calls(write(1, 5, 1, "a", taken), write(2, 6, 1, "b", refused), read(7, 8, 2, "a")), true},
		"both of two on a base":         {calls(write(1, 5, 1, "a", taken), write(2, 6, 1, "b", taken)), false},
		"none of two on a base":         {calls(write(1, 5, 1, "a", refused), write(2, 6, 1, "b", refused)), false},
		"an old one is read":            {calls(write(1, 2, 1, "a", taken), read(3, 4, 1, "first")), false},
		"unclear and in force":          {calls(write(1, 20, 1, "a", ConfigurationAnswer{}), read(3, 4, 2, "a")), true},
		"unclear and not in force":      {calls(write(1, 20, 1, "a", ConfigurationAnswer{}), read(3, 4, 1, "first")), true},
		"in force and in force no more": {calls(write(1, 20, 1, "a", ConfigurationAnswer{}), read(3, 4, 2, "a"), read(5, 6, 1, "first")), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(porcupine.CheckOperations(ConfigurationModel(first), of.operations), of.right)
		})
	}
}

func TestSwitchesThatFitNoOrderAreFound(t *testing.T) {
	set := func(call, returned int64, on, known bool) porcupine.Operation {
		return porcupine.Operation{Input: SwitchCall{On: on}, Call: call, Output: SwitchAnswer{Known: known}, Return: returned}
	}
	read := func(call, returned int64, on bool) porcupine.Operation {
		return porcupine.Operation{Input: SwitchCall{Read: true}, Call: call, Output: SwitchAnswer{Known: true, On: on}, Return: returned}
	}
	for name, of := range map[string]struct {
		operations []porcupine.Operation
		right      bool
	}{
		"on and off":               {calls(set(1, 2, true, true), read(3, 4, true), set(5, 6, false, true), read(7, 8, false)), true},
		"on again by a late call":  {calls(set(1, 2, true, true), set(3, 4, false, true), read(5, 6, true)), false},
		"unclear, and on":          {calls(set(1, 2, true, false), read(3, 4, true)), true},
		"unclear, and off":         {calls(set(1, 2, true, false), read(3, 4, false)), true},
		"acknowledged, and undone": {calls(set(1, 2, true, true), read(3, 4, false)), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(porcupine.CheckOperations(SwitchModel(), of.operations), of.right)
		})
	}
}
