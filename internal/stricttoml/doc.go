// Package stricttoml decodes hand-written TOML files strictly: an unknown key is an error that names the file, the line
// and the closest known key (by Levenshtein distance), and every error is one line. It is independent of the content of
// the files, opens none itself, and holds no state. The parser is github.com/pelletier/go-toml.
package stricttoml
