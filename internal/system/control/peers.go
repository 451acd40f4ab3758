package control

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/system/api"
	"marlreel/internal/system/transport"
)

const (
	// mostWaiting is how many messages wait for one peer; beyond it the oldest go.
	mostWaiting = 256
	// deliverTimeout is how long a delivery to a peer may take.
	deliverTimeout = 400 * time.Millisecond
)

// Peers sends messages to other members: heartbeats as datagrams, which may be lost, and
// all else over a goroutine for each member.
type Peers struct {
	client *transport.Client
	socket net.PacketConn // nil: heartbeats go like the rest
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
func NewPeers(ctx context.Context, client *transport.Client, socket net.PacketConn) *Peers {
	return &Peers{client: client, socket: socket, boxes: map[string]*mailbox{}, ctx: ctx}
}

// largestDatagram fits into a packet.
const largestDatagram = 1200

// Send implements Sender.
func (p *Peers) Send(message *api.ChainMessage) {
	if message.GetHeartbeat() != nil && p.sendDatagram(message) {
		return
	}
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
