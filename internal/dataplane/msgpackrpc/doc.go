// Package msgpackrpc speaks MessagePack-RPC with callers and with backends, after the
// MessagePack-RPC specification (github.com/msgpack-rpc/msgpack-rpc, spec.md) and the
// MessagePack specification (github.com/msgpack/msgpack, spec.md): requests
// [0, msgid, method, params], responses [1, msgid, error, result], notifications
// [2, method, params].
//
// It decides nothing: which backend, whether again and what to refuse comes from the
// engine, which sees calls and not protocols. Parameters, errors and results pass
// through as the bytes that they came as.
//
// What proves that an attempt never ran, and what it is told as:
//
//	outcome                                               told as         never ran
//	error nil                                             OK              no
//	error a map with "$unprocessed": true                 Full            yes
//	error a map with "$failed": true                      Error           no
//	any other error: the method's own answer, passed on   Declined        no
//	no connection, or it breaks before the last byte      ConnectFailed   yes
//	every connection is full                              Full            yes
//	the permit was revoked before the first byte          Moot            yes
//	it breaks, or can't be read, after the last byte      Reset           no
//	nothing until its time is up                          Timeout         no
//	a notification was written whole                      Cancelled       no; its call is over with it
package msgpackrpc
