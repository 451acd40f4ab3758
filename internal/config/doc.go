// Package config reads what the platform tells a proxy ($NODE_CONFIG, JSON) and what an operator sets
// (deploy/marlreel.toml), strictly: what can't be used is one error of one line that names the file, the key and what
// would be right. It also says which configuration may follow another while the process runs, and how the process's
// descriptors, memory and time at its stop are divided.
//
// It opens nothing but these files and keeps no state: a configuration doesn't change once it is read, and whoever
// read it owns it. What settings mean is said by the packages that go by them.
package config
