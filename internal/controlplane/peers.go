package controlplane

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
	"marlreel/internal/process/transport"
)

const (
	// mostWaiting is how many small messages wait for one peer; beyond it the oldest go.
	mostWaiting = 256
	// mostLargeWaiting is the same for large ones, which are sent again by the chain.
	mostLargeWaiting = 4
	// largestCall bounds the messages of one call, in bytes.
	largestCall = 128 << 10
	// deliverTimeout is how long a delivery to a peer may take. A call of the largest size needs a
	// link of 2.6 Mbit/s for that.
	deliverTimeout = 400 * time.Millisecond
)

// Peers sends messages to other members: heartbeats as datagrams, which may be lost, and
// all else over a goroutine for each member. Large messages go in parts, between which
// small ones pass: votes and acknowledgements don't wait for a snapshot.
type Peers struct {
	client *transport.Client
	socket net.PacketConn // nil: heartbeats go like the rest
	life   uint64
	mu     sync.Mutex
	boxes  map[string]*mailbox
	ctx    context.Context
}

// mailbox is what waits for a peer.
type mailbox struct {
	mu    sync.Mutex
	small []*api.ChainMessage
	large []*api.ChainMessage
	wake  chan struct{}
}

// NewPeers makes a sender that ends with ctx.
func NewPeers(ctx context.Context, client *transport.Client, socket net.PacketConn) *Peers {
	return &Peers{client: client, socket: socket, life: rand.Uint64(), boxes: map[string]*mailbox{}, ctx: ctx}
}

// largestDatagram fits into a packet.
const largestDatagram = 1200

// Send implements Sender.
func (p *Peers) Send(message *api.ChainMessage) {
	if message.GetHeartbeat() != nil && p.sendDatagram(message) {
		return
	}
	box := p.box(message.To.GetAddress())
	box.put(message)
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// put adds a message behind those that wait.
func (b *mailbox) put(message *api.ChainMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if proto.Size(message) > fragmentSize {
		b.large = append(b.large, message)
		b.large = b.large[max(0, len(b.large)-mostLargeWaiting):]
		return
	}
	b.small = append(b.small, message)
	b.small = b.small[max(0, len(b.small)-mostWaiting):]
}

// takeSmall takes the small messages that go in one call.
func (b *mailbox) takeSmall() []*api.ChainMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, taken := 0, 0
	for taken < len(b.small) && (taken == 0 || size+proto.Size(b.small[taken]) <= largestCall) {
		size += proto.Size(b.small[taken])
		taken++
	}
	messages := b.small[:taken:taken]
	b.small = b.small[taken:]
	return messages
}

// takeLarge takes a large message, or nil.
func (b *mailbox) takeLarge() *api.ChainMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.large) == 0 {
		return nil
	}
	message := b.large[0]
	b.large = b.large[1:]
	return message
}

// sendDatagram tells whether a message went out in one packet.
func (p *Peers) sendDatagram(message *api.ChainMessage) bool {
	if p.socket == nil {
		return false
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > largestDatagram {
		return false
	}
	to, err := netip.ParseAddrPort(message.To.GetAddress())
	if err != nil {
		return false
	}
	_, err = p.socket.WriteTo(data, net.UDPAddrFromAddrPort(to))
	return err == nil
}

// receiveDatagrams takes heartbeats in until the socket is closed.
func receiveDatagrams(socket net.PacketConn, deliver func([]*api.ChainMessage)) {
	buffer := make([]byte, 2*largestDatagram)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		message := new(api.ChainMessage)
		if err != nil || proto.Unmarshal(buffer[:n], message) != nil || message.GetHeartbeat() == nil {
			continue
		}
		deliver([]*api.ChainMessage{message})
	}
}

func (p *Peers) box(address string) *mailbox {
	p.mu.Lock()
	defer p.mu.Unlock()
	box := p.boxes[address]
	if box == nil {
		box = &mailbox{wake: make(chan struct{}, 1)}
		p.boxes[address] = box
		go p.deliver(address, box)
	}
	return box
}

// deliver hands a peer its messages: the small ones that wait, then a part of a large one, and so on.
func (p *Peers) deliver(address string, box *mailbox) {
	peer := api.NewChainPeerProtobufClient("http://"+address, p.client)
	var parts *outgoing
	for p.ctx.Err() == nil {
		if messages := box.takeSmall(); len(messages) > 0 {
			// What is lost is sent again by the chain.
			_ = p.call(peer, &api.ChainBatch{Messages: messages})
			continue
		}
		if parts == nil {
			parts = p.divide(box.takeLarge())
		}
		if parts == nil {
			select {
			case <-box.wake:
			case <-p.ctx.Done():
			}
			continue
		}
		if parts.done(p.call(peer, &api.ChainBatch{Fragment: parts.next()})) {
			parts = nil
			continue
		}
		if !parts.failing.IsZero() {
			pause(p.ctx, fragmentPause)
		}
	}
}

// call makes one call.
func (p *Peers) call(peer api.ChainPeer, batch *api.ChainBatch) error {
	ctx, cancel := context.WithTimeout(p.ctx, deliverTimeout)
	defer cancel()
	_, err := peer.Deliver(ctx, batch)
	return err
}
