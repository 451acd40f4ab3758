// Package experiments holds the questions that are shipped with the rehearsal kit, a file each: to be
// played as they are, or copied and changed.
package experiments

import "embed"

// Files are the shipped questions, NAME.toml each.
//
//go:embed *.toml
var Files embed.FS
