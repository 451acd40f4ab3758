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

// deliverTimeout bounds a call to a peer. A call of maxCallBytes needs a link of 2.6 Mbit/s to finish within it; raising
// it delays the messages behind a lost call.
const deliverTimeout = 400 * time.Millisecond

// PeerSender sends messages to other members: heartbeats as datagrams, which may be lost, and all others by calls, from
// one goroutine for each member. Large messages are sent in fragments, with small messages in between: votes and
// acknowledgements don't wait for a snapshot.
type PeerSender struct {
	ctx         context.Context // the goroutines end with it
	client      *transport.Client
	socket      net.PacketConn // nil: heartbeats are sent by calls, too
	incarnation uint64         // of this process; receivers reassemble fragments by it
	running     sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*sendQueue // by the peer's address
}

var _ Sender = (*PeerSender)(nil)

// NewPeerSender makes a sender whose goroutines end with ctx.
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

// Wait waits for the sender's goroutines, after its context has ended and the last message was sent. That takes up to
// deliverTimeout if a call is pending.
func (p *PeerSender) Wait() { p.running.Wait() }

// queueFor returns the queue for a peer. On first use it makes the queue and starts its goroutine.
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

// deliver delivers a peer's messages until the context ends: all queued small ones, then one fragment of a large one,
// and so on.
func (p *PeerSender) deliver(address string, queue *sendQueue) {
	peer := api.NewChainPeerProtobufClient("http://"+address, p.client)
	var large *fragmentedMessage
	for p.ctx.Err() == nil {
		if messages := queue.dequeueSmall(); len(messages) > 0 {
			// The chain sends lost messages again.
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
		done := large.onSent(p.call(peer, &api.ChainBatch{Fragment: large.next()}))
		switch {
		case done:
			large = nil
		case large.isFailing():
			timing.Sleep(p.ctx, fragmentRetryInterval)
		}
	}
}

// call makes one Deliver call, bounded by deliverTimeout.
func (p *PeerSender) call(peer api.ChainPeer, batch *api.ChainBatch) error {
	ctx, cancel := context.WithTimeout(p.ctx, deliverTimeout)
	defer cancel()
	_, err := peer.Deliver(ctx, batch)
	return err
}
