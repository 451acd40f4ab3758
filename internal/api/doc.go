// Package api holds the messages that processes of the system exchange over twirp,
// and the records that control keeps on disk. The generated files are committed;
// after a change of a .proto file run buf generate in this folder.
package api

//go:generate buf generate
