//go:build linux

package fleettest

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/memberlist"

	"marlreel/internal/standin"
)

// Rogue is a malicious peer, with the fleet's key or another one, that sends messages that no proxy sends.
type Rogue struct {
	list *memberlist.Memberlist
	to   *memberlist.Node
}

// NewRogue starts a peer with a name, a key and a fleet name, and tries to join the fleet through proxy p.
func (f *Fleet) NewRogue(p *Proxy, name, fleet string, key []byte) (*Rogue, error) {
	addr, err := standin.Address()
	if err != nil {
		return nil, err
	}
	host, port := split(addr)
	c := memberlist.DefaultLocalConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = name, host, port, host, port
	c.SecretKey, c.Label, c.LogOutput = key, fleet, io.Discard
	c.Delegate = rogueMeta{fleet}
	list, err := memberlist.Create(c)
	if err != nil {
		return nil, err
	}
	list.Join([]string{p.Name + "/" + p.fleetAddr}) // may fail: the tests check whether the proxy admits it
	host, port = split(p.fleetAddr)
	return &Rogue{list, &memberlist.Node{Name: p.Name, Addr: net.ParseIP(host), Port: uint16(port)}}, nil
}

type rogueMeta struct{ fleet string }

func (r rogueMeta) NodeMeta(int) []byte {
	return fmt.Appendf(nil, `{"f":%q,"b":7,"s":%d}`, r.fleet, time.Now().UnixMilli()+1000)
}
func (rogueMeta) NotifyMsg([]byte)                {}
func (rogueMeta) GetBroadcasts(int, int) [][]byte { return nil }
func (rogueMeta) LocalState(bool) []byte          { return nil }
func (rogueMeta) MergeRemoteState([]byte, bool)   {}

func split(addr string) (host string, port int) {
	host, text, _ := net.SplitHostPort(addr)
	fmt.Sscan(text, &port)
	return host, port
}

// Send sends a message to the proxy, with from as the claimed sender.
func (r *Rogue) Send(from string, data []byte) {
	r.list.SendReliable(r.to, append(append([]byte{byte(len(from))}, from...), data...))
}

// SendGarbage sends random bytes, an oversized message, one in an old format, and forged messages of consensus and leases.
func (r *Rogue) SendGarbage(rng *rand.Rand) {
	for range 20 {
		noise := make([]byte, rng.IntN(2000))
		for i := range noise {
			noise[i] = byte(rng.Uint32())
		}
		r.Send("n1", noise)
	}
	r.Send("n1", bytes.Repeat([]byte("x"), 6<<20))
	r.Send("n1", []byte(`{"f":0,"renew":{"n":1}}`))
	r.Send("rogue", []byte(`{"f":1,"raft":"AAAA"}`))
	r.Send("rogue", []byte(`{"f":1,"grant":{"n":1,"boot":1,"seq":99}}`))
	r.Send("", nil)
}

// Close shuts the peer down.
func (r *Rogue) Close() { r.list.Shutdown() }

// SendNoise sends random bytes, encrypted with no key, to a proxy's fleet address by TCP and UDP.
func (p *Proxy) SendNoise(rng *rand.Rand) {
	for range 5 {
		noise := make([]byte, 1+rng.IntN(4000))
		for i := range noise {
			noise[i] = byte(rng.Uint32())
		}
		if c, err := net.DialTimeout("tcp", p.fleetAddr, time.Second); err == nil {
			c.Write(noise)
			c.Close()
		}
		if c, err := net.Dial("udp", p.fleetAddr); err == nil {
			c.Write(noise[:min(len(noise), 1400)])
			c.Close()
		}
	}
}
