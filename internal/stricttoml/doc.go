// Package stricttoml decodes TOML files that people write: an unknown key is an error that names the file, the line
// and the nearest known key, and every error is one line. It knows no file's meaning, opens nothing and holds no
// state. The parser is github.com/pelletier/go-toml; nearness is the edit distance of Levenshtein.
package stricttoml
