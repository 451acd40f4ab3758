package controlplane

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"marlreel/internal/api"
	"marlreel/internal/process/timing"
	"marlreel/internal/process/transport"
)

// deliverTimeout bounds a call to a peer. A call of maxCallBytes needs a link of 2.6 Mbit/s for that; raising it holds
// up what waits behind a call that is lost.
const deliverTimeout = 400 * time.Millisecond

// PeerSender sends messages to other members: heartbeats as datagrams, which may be lost, and all else over calls that
// a goroutine for each member makes. Large messages go in fragments, between which small ones pass: votes and
// acknowledgements don't wait for a snapshot.
type PeerSender struct {
	ctx         context.Context // the goroutines end with it
	client      *transport.Client
	socket      net.PacketConn // nil: heartbeats go like the rest
	incarnation uint64         // of this process, by which receivers tell fragments apart
	running     sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*sendQueue // by the peer's address
}

var _ Sender = (*PeerSender)(nil)

// NewPeerSender makes a sender that ends with ctx.
func NewPeerSender(ctx context.Context, client *transport.Client, socket net.PacketConn) *PeerSender {
	return &PeerSender{ctx: ctx, client: client, socket: socket, incarnation: rand.Uint64(), queues: map[string]*sendQueue{}}
}

// Send implements Sender.
func (p *PeerSender) Send(message *api.ChainMessage) {
	if message.GetHeartbeat() != nil && p.sendDatagram(message) {
		return
	}
	queue := p.queueFor(message.To.GetAddress())
	queue.enqueue(message)
	select {
	case queue.wake <- struct{}{}:
	default:
	}
}

// Wait waits for the sender's goroutines, after its context has ended and the last message was sent: up to
// deliverTimeout, where a call is pending.
func (p *PeerSender) Wait() { p.running.Wait() }

// queueFor returns the queue for a peer, and makes it and its goroutine where there is none.
func (p *PeerSender) queueFor(address string) *sendQueue {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := p.queues[address]
	if queue == nil {
		queue = newSendQueue()
		p.queues[address] = queue
		p.running.Go(func() { p.deliver(address, queue) })
	}
	return queue
}

// deliver delivers a peer's messages until the context ends: the small ones that wait, then a fragment of a large one,
// and so on.
func (p *PeerSender) deliver(address string, queue *sendQueue) {
	peer := api.NewChainPeerProtobufClient("http://"+address, p.client)
	var large *fragmentedMessage
	for p.ctx.Err() == nil {
		if messages := queue.dequeueSmall(); len(messages) > 0 {
			// What is lost is sent again by the chain.
			_ = p.call(peer, &api.ChainBatch{Messages: messages})
			continue
		}
		if large == nil {
			large = p.split(queue.dequeueLarge())
		}
		if large == nil {
			queue.wait(p.ctx)
			continue
		}
		over := large.onSent(p.call(peer, &api.ChainBatch{Fragment: large.next()}))
		switch {
		case over:
			large = nil
		case large.isFailing():
			timing.Sleep(p.ctx, fragmentRetryInterval)
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
