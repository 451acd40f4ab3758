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
	// maxQueuedSmall is how many small messages wait for one peer; beyond it the oldest go.
	maxQueuedSmall = 256
	// maxQueuedLarge is the same for large ones, which are sent again by the chain.
	maxQueuedLarge = 4
	// maxCallBytes bounds the messages of one call, in bytes.
	maxCallBytes = 128 << 10
	// deliverTimeout is how long a delivery to a peer may take. A call of the largest size needs a
	// link of 2.6 Mbit/s for that.
	deliverTimeout = 400 * time.Millisecond
)

// PeerSender sends messages to other members: heartbeats as datagrams, which may be lost, and
// all else over a goroutine for each member. Large messages go in parts, between which
// small ones pass: votes and acknowledgements don't wait for a snapshot.
type PeerSender struct {
	client      *transport.Client
	socket      net.PacketConn // nil: heartbeats go like the rest
	incarnation uint64
	mu          sync.Mutex
	queues      map[string]*sendQueue
	ctx         context.Context
}

// sendQueue is what waits for a peer.
type sendQueue struct {
	mu    sync.Mutex
	small []*api.ChainMessage
	large []*api.ChainMessage
	wake  chan struct{}
}

// NewPeerSender makes a sender that ends with ctx.
func NewPeerSender(ctx context.Context, client *transport.Client, socket net.PacketConn) *PeerSender {
	return &PeerSender{client: client, socket: socket, incarnation: rand.Uint64(), queues: map[string]*sendQueue{}, ctx: ctx}
}

// maxDatagramBytes fits into a packet.
const maxDatagramBytes = 1200

// Send implements Sender.
func (p *PeerSender) Send(message *api.ChainMessage) {
	if message.GetHeartbeat() != nil && p.sendDatagram(message) {
		return
	}
	box := p.queueFor(message.To.GetAddress())
	box.enqueue(message)
	select {
	case box.wake <- struct{}{}:
	default:
	}
}

// enqueue adds a message behind those that wait.
func (b *sendQueue) enqueue(message *api.ChainMessage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if proto.Size(message) > maxFragmentBytes {
		b.large = append(b.large, message)
		b.large = b.large[max(0, len(b.large)-maxQueuedLarge):]
		return
	}
	b.small = append(b.small, message)
	b.small = b.small[max(0, len(b.small)-maxQueuedSmall):]
}

// dequeueSmall takes the small messages that go in one call.
func (b *sendQueue) dequeueSmall() []*api.ChainMessage {
	b.mu.Lock()
	defer b.mu.Unlock()
	size, taken := 0, 0
	for taken < len(b.small) && (taken == 0 || size+proto.Size(b.small[taken]) <= maxCallBytes) {
		size += proto.Size(b.small[taken])
		taken++
	}
	messages := b.small[:taken:taken]
	b.small = b.small[taken:]
	return messages
}

// dequeueLarge takes a large message, or nil.
func (b *sendQueue) dequeueLarge() *api.ChainMessage {
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
func (p *PeerSender) sendDatagram(message *api.ChainMessage) bool {
	if p.socket == nil {
		return false
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagramBytes {
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
	buffer := make([]byte, 2*maxDatagramBytes)
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

func (p *PeerSender) queueFor(address string) *sendQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	box := p.queues[address]
	if box == nil {
		box = &sendQueue{wake: make(chan struct{}, 1)}
		p.queues[address] = box
		go p.deliver(address, box)
	}
	return box
}

// deliver hands a peer its messages: the small ones that wait, then a part of a large one, and so on.
func (p *PeerSender) deliver(address string, box *sendQueue) {
	peer := api.NewChainPeerProtobufClient("http://"+address, p.client)
	var parts *fragmentedMessage
	for p.ctx.Err() == nil {
		if messages := box.dequeueSmall(); len(messages) > 0 {
			// What is lost is sent again by the chain.
			_ = p.call(peer, &api.ChainBatch{Messages: messages})
			continue
		}
		if parts == nil {
			parts = p.split(box.dequeueLarge())
		}
		if parts == nil {
			select {
			case <-box.wake:
			case <-p.ctx.Done():
			}
			continue
		}
		if parts.onSent(p.call(peer, &api.ChainBatch{Fragment: parts.next()})) {
			parts = nil
			continue
		}
		if !parts.failing.IsZero() {
			sleep(p.ctx, fragmentRetryInterval)
		}
	}
}

// call makes one call.
func (p *PeerSender) call(peer api.ChainPeer, batch *api.ChainBatch) error {
	ctx, cancel := context.WithTimeout(p.ctx, deliverTimeout)
	defer cancel()
	_, err := peer.Deliver(ctx, batch)
	return err
}
