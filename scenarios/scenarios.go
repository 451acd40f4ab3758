// Package scenarios embeds the rehearsal scenarios that ship with the program, as TOML files
// that an operator can read and copy. Parsing them is left to its users.
package scenarios

import "embed"

// Files holds the shipped scenarios, each as NAME.toml.
//
//go:embed *.toml
var Files embed.FS
