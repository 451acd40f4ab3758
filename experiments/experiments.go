// Package experiments embeds the experiments that ship with the rehearsal kit, as TOML files
// that an operator can run as they are, or copy and change.
package experiments

import "embed"

// Files holds the shipped experiments, each as NAME.toml.
//
//go:embed *.toml
var Files embed.FS
