package controlplane

import (
	"errors"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"marlreel/internal/api"
)

// maxDatagramBytes bounds a datagram, so that it fits into one packet.
const maxDatagramBytes = 1200

// sendDatagram sends a message in one packet. It returns false if the message has to be sent by a call instead.
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

// receiveDatagrams delivers the heartbeats that a socket receives, until it is closed.
func receiveDatagrams(socket net.PacketConn, deliver func([]*api.ChainMessage)) {
	buffer := make([]byte, 2*maxDatagramBytes)
	for {
		n, _, err := socket.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if message := parseHeartbeat(buffer[:n]); message != nil {
			deliver([]*api.ChainMessage{message})
		}
	}
}

// parseHeartbeat decodes a datagram. It returns nil if that holds no heartbeat.
func parseHeartbeat(datagram []byte) *api.ChainMessage {
	message := new(api.ChainMessage)
	err := proto.Unmarshal(datagram, message)
	if err != nil || message.GetHeartbeat() == nil {
		return nil
	}
	return message
}
