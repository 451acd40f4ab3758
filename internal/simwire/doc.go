// Package simwire connects the decision module to the simulator's wire protocol and parses the platform's settings.
//
// The wire is the simulator's own binary protocol, little endian: a [Batch] is a frame of event records that
// share one time, and a [Reply] is the frame of action records that answers it. Each event is a call of a method
// of balancer.Balancer, each action a call of balancer.Host, which [Actions] implements. Times on the wire are
// milliseconds as float64, rounded to microseconds when read. Settings come as lines of text (BootInfo) on the wire
// and as a JSON object in the configuration of a real proxy; both are read into the same balancer.Config.
//
// It only translates: it makes no decisions, opens no connections and starts no goroutines. Its values are not safe for
// concurrent use: cmd/wirehost reads a batch, handles it and writes the reply before it reads the next.
package simwire
