// Package config reads the platform's configuration of a proxy ($NODE_CONFIG, JSON) and the operator's file
// (deploy/marlreel.toml). It is strict: an invalid value gives an error of one line that names the file, the key and the
// valid values. The package also decides which configuration may replace another while the process runs, and how the
// process's file descriptors, memory and shutdown time are divided.
//
// It opens no other files and keeps no state: a configuration is immutable once it is read, and its reader owns it. The
// meaning of the settings is documented in the packages that use them.
package config
