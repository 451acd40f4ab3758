package config

import "fmt"

// FileError reports that a configuration file can't be read, or that no path was set.
type FileError struct {
	Path string // "" means that no path was set
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
	return "set NODE_CONFIG or --config to the path of the file, and make the file readable for the user of this process"
}

// KeyError reports that a key of the platform's configuration, or an environment variable, has an invalid value.
type KeyError struct {
	Key string
	Err error // the problem, or the valid values
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }
func (e *KeyError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *KeyError) Advice() string {
	return "mend that key; a process that runs goes on by what it had until then"
}

// PlatformFileError reports that the platform's configuration file is invalid.
type PlatformFileError struct {
	Path string
	Err  error
}

func (e *PlatformFileError) Error() string { return fmt.Sprintf("configuration %s: %v", e.Path, e.Err) }
func (e *PlatformFileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *PlatformFileError) Advice() string {
	return "correct what the error names in the platform's configuration; a running process keeps its previous configuration"
}

// OperatorFileError reports that the file given by --config is invalid.
type OperatorFileError struct {
	Path string
	Err  error
}

func (e *OperatorFileError) Error() string { return e.Path + ": " + e.Err.Error() }
func (e *OperatorFileError) Unwrap() error { return e.Err }

// Advice says what an operator can do.
func (e *OperatorFileError) Advice() string {
	return "correct the key that the error names, and check the file with 'marlreel --check --config FILE'"
}

// SettingError reports that a key of the operator's file has an invalid value.
type SettingError struct {
	Key     string
	Problem string // the value, and the valid values
}

func (e *SettingError) Error() string { return e.Key + " " + e.Problem }

// Advice says what an operator can do.
func (e *SettingError) Advice() string {
	return "set the key to a valid value; deploy/marlreel.toml has an example for each key"
}

// IncompatibleChangeError reports that a configuration can't replace the one in force while the process runs.
type IncompatibleChangeError struct{ Reason string }

func (e *IncompatibleChangeError) Error() string { return e.Reason }

// Advice says what an operator can do.
func (e *IncompatibleChangeError) Advice() string {
	return "put the key back, or start the process anew with the new file; until then it goes on by what it had"
}
