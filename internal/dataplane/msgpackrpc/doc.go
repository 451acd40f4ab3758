// Package msgpackrpc speaks MessagePack-RPC with clients and with backends, after the
// MessagePack-RPC specification (github.com/msgpack-rpc/msgpack-rpc, spec.md) and the
// MessagePack specification (github.com/msgpack/msgpack, spec.md): requests
// [0, msgid, method, params], responses [1, msgid, error, result], notifications
// [2, method, params].
//
// Server owns clients' connections and Carrier those to backends; many calls are pending on each. The package decides
// nothing: which backend, which retry and what to reject comes from the engine, which sees calls and not protocols.
// Parameters, errors and results pass through as the bytes that they came as.
//
// What proves that an attempt never ran, and which balancer.Result that is:
//
//	outcome                                               result          never ran
//	error nil                                             OK              no
//	error a map with "$unprocessed": true                 Rejected        yes
//	error a map with "$failed": true                      Error           no
//	any other error: the method's own answer, passed on   Unprocessable   no
//	no connection, or it breaks before the last byte      ConnectFailed   yes
//	every connection is full                              Rejected        yes
//	the permit was revoked before the first byte          NotSent         yes
//	it breaks, or can't be read, after the last byte      Reset           no
//	nothing until its time is up                          Timeout         no
//	a notification was written whole                      Cancelled       no; its call is over with it
package msgpackrpc
