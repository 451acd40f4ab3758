package linearizability

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// fromOwnClients assigns each operation its own client, so that any two may overlap.
func fromOwnClients(operations ...porcupine.Operation) []porcupine.Operation {
	for i := range operations {
		operations[i].ClientId = i
	}
	return operations
}

func TestConfigurationModel(t *testing.T) {
	first := Configuration{Version: 1, Text: "first"}
	write := func(call, returned int64, base uint64, text string, answer ConfigurationResponse) porcupine.Operation {
		return porcupine.Operation{Input: ConfigurationRequest{Base: base, Text: text}, Call: call, Output: answer, Return: returned}
	}
	read := func(call, returned int64, version uint64, text string) porcupine.Operation {
		return porcupine.Operation{
			Input: ConfigurationRequest{Read: true}, Call: call,
			Output: ConfigurationResponse{Definite: true, Version: version, Text: text}, Return: returned,
		}
	}
	committed, rejected := ConfigurationResponse{Definite: true, Committed: true}, ConfigurationResponse{Definite: true}
	for name, of := range map[string]struct {
		operations   []porcupine.Operation
		linearizable bool
	}{
		"one of two on the same base is committed":   {fromOwnClients(write(1, 5, 1, "a", committed), write(2, 6, 1, "b", rejected), read(7, 8, 2, "a")), true},
		"both of two on the same base are committed": {fromOwnClients(write(1, 5, 1, "a", committed), write(2, 6, 1, "b", committed)), false},
		"none of two on the same base is committed":  {fromOwnClients(write(1, 5, 1, "a", rejected), write(2, 6, 1, "b", rejected)), false},
		"a stale version is read":                    {fromOwnClients(write(1, 2, 1, "a", committed), read(3, 4, 1, "first")), false},
		"unknown outcome, took effect":               {fromOwnClients(write(1, 20, 1, "a", ConfigurationResponse{}), read(3, 4, 2, "a")), true},
		"unknown outcome, no effect so far":          {fromOwnClients(write(1, 20, 1, "a", ConfigurationResponse{}), read(3, 4, 1, "first")), true},
		"unknown outcome, effect reverted":           {fromOwnClients(write(1, 20, 1, "a", ConfigurationResponse{}), read(3, 4, 2, "a"), read(5, 6, 1, "first")), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(porcupine.CheckOperations(ConfigurationModel(first), of.operations), of.linearizable)
		})
	}
}

func TestFlagModel(t *testing.T) {
	set := func(call, returned int64, on, known bool) porcupine.Operation {
		return porcupine.Operation{Input: FlagRequest{On: on}, Call: call, Output: FlagResponse{Definite: known}, Return: returned}
	}
	read := func(call, returned int64, on bool) porcupine.Operation {
		return porcupine.Operation{Input: FlagRequest{Read: true}, Call: call, Output: FlagResponse{Definite: true, On: on}, Return: returned}
	}
	for name, of := range map[string]struct {
		operations   []porcupine.Operation
		linearizable bool
	}{
		"on and off":                  {fromOwnClients(set(1, 2, true, true), read(3, 4, true), set(5, 6, false, true), read(7, 8, false)), true},
		"on again by a delayed write": {fromOwnClients(set(1, 2, true, true), set(3, 4, false, true), read(5, 6, true)), false},
		"unknown outcome, and on":     {fromOwnClients(set(1, 2, true, false), read(3, 4, true)), true},
		"unknown outcome, and off":    {fromOwnClients(set(1, 2, true, false), read(3, 4, false)), true},
		"acknowledged, and reverted":  {fromOwnClients(set(1, 2, true, true), read(3, 4, false)), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(porcupine.CheckOperations(FlagModel(), of.operations), of.linearizable)
		})
	}
}
