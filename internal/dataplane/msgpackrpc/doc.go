// Package msgpackrpc speaks MessagePack-RPC with clients and with backends, after the
// MessagePack-RPC specification (github.com/msgpack-rpc/msgpack-rpc, spec.md) and the
// MessagePack specification (github.com/msgpack/msgpack, spec.md): requests
// [0, msgid, method, params], responses [1, msgid, error, result], notifications
// [2, method, params].
//
// Server owns the connections of clients and Carrier those to backends; many calls can be pending on each connection.
// The choice of backends, retries and rejections is the engine's, which handles calls independently of the protocol.
// Parameters, errors and results are forwarded byte for byte.
//
// The balancer.Result of each outcome of an attempt, and whether the outcome proves that the attempt never ran:
//
//	outcome                                               result          never ran
//	nil error                                             OK              no
//	error is a map with "$unprocessed": true              Rejected        yes
//	error is a map with "$failed": true                   Error           no
//	any other error: the method's own, forwarded          Unprocessable   no
//	no connection, or it breaks before the last byte      ConnectFailed   yes
//	every connection is full                              Rejected        yes
//	the permit was revoked before the first byte          NotSent         yes
//	malformed reply or broken connection after last byte  Reset           no
//	no reply before the timeout                           Timeout         no
//	a notification was written completely                 Cancelled       no; its call ends with it
package msgpackrpc
