// Package scenarios holds the rehearsal scenarios that are shipped, as files that an
// operator can read and copy. It parses nothing.
package scenarios

import "embed"

// Files are the shipped scenarios, NAME.toml each.
//
//go:embed *.toml
var Files embed.FS
