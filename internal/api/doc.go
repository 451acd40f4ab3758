// Package api defines the messages that processes of the system exchange over Twirp, and the
// records that the control process stores on disk. The generated files are committed: run
// go generate (or buf generate) in this folder after changing a .proto file.
package api

//go:generate buf generate
