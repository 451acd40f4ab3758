package control

import (
	"context"
	"sync"
	"time"

	"marlreel/internal/system/api"
	"marlreel/internal/system/transport"
)

const (
	// mostWaiting is how many messages wait for one peer; beyond it the oldest go.
	mostWaiting = 256
	// deliverTimeout is how long a delivery to a peer may take.
	deliverTimeout = 400 * time.Millisecond
)

// Peers sends messages to other members, each over a goroutine of its own.
type Peers struct {
	client *transport.Client
	mu     sync.Mutex
	boxes  map[string]*mailbox
	ctx    context.Context
}

type mailbox struct {
	mu       sync.Mutex
	messages []*api.ChainMessage
	wake     chan struct{}
}

// NewPeers makes a sender that ends with ctx.
func NewPeers(ctx context.Context, client *transport.Client) *Peers {
	return &Peers{client: client, boxes: map[string]*mailbox{}, ctx: ctx}
}

// Send implements Sender.
func (p *Peers) Send(message *api.ChainMessage) {
	box := p.box(message.To.GetAddress())
	box.mu.Lock()
	if len(box.messages) >= mostWaiting {
		box.messages = box.messages[1:]
	}
	box.messages = append(box.messages, message)
	box.mu.Unlock()
	select {
	case box.wake <- struct{}{}:
	default:
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

// deliver hands a peer its messages, as many at a time as wait.
func (p *Peers) deliver(address string, box *mailbox) {
	peer := api.NewChainPeerProtobufClient("http://"+address, p.client)
	for {
		select {
		case <-box.wake:
		case <-p.ctx.Done():
			return
		}
		box.mu.Lock()
		messages := box.messages
		box.messages = nil
		box.mu.Unlock()
		if len(messages) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, deliverTimeout)
		// What is lost is sent again by the chain.
		_, _ = peer.Deliver(ctx, &api.ChainBatch{Messages: messages})
		cancel()
	}
}
