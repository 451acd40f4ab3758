package config

import "fmt"

// FileError is a file that can't be read.
type FileError struct {
	Path string // "" is that none was named
	Err  error
}

func (e *FileError) Error() string {
	if e.Path == "" {
		return "NODE_CONFIG is not set"
	}
	return fmt.Sprintf("configuration: %v", e.Err)
}
func (e *FileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *FileError) Advice() string {
	return "name the file in NODE_CONFIG or --config, and let this program's user read it"
}

// KeyError is a key of the platform's configuration, or of the environment, that can't be used.
type KeyError struct {
	Key string
	Err error // what is wrong, or what would be right
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }
func (e *KeyError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *KeyError) Advice() string {
	return "mend that key; a process that runs goes on by what it had until then"
}

// PlatformFileError is a configuration of the platform's that can't be used.
type PlatformFileError struct {
	Path string
	Err  error
}

func (e *PlatformFileError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Path, e.Err) }
func (e *PlatformFileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *PlatformFileError) Advice() string {
	return "mend what it names in the platform's configuration; a process that runs goes on by what it had until then"
}

// OperatorFileError is a file of --config that can't be used.
type OperatorFileError struct {
	Path string
	Err  error
}

func (e *OperatorFileError) Error() string { return e.Path + ": " + e.Err.Error() }
func (e *OperatorFileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *OperatorFileError) Advice() string {
	return "mend the key that it names, and try the file with 'marlreel --check --config FILE'"
}

// SettingError is a key of the operator's own file whose value makes no sense.
type SettingError struct {
	Key     string
	Problem string // the value, and what is needed in its place
}

func (e *SettingError) Error() string { return e.Key + " " + e.Problem }

// Advice says what an operator can do.
func (e *SettingError) Advice() string {
	return "set the key to what is needed; deploy/marlreel.toml shows each with a good value"
}

// IncompatibleChangeError is a configuration that can't take the place of the one in force.
type IncompatibleChangeError struct{ Reason string }

func (e *IncompatibleChangeError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *IncompatibleChangeError) Advice() string {
	return "put the key back, or start the process anew with the new file; until then it goes on by what it had"
}
