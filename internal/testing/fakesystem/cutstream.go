package fakesystem

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// StreamFault makes a backend send streams without a length, which end with their connection, and cut some of them.
type StreamFault struct {
	// Unframed is the share of streams without a length, Cut the share of these that are cut.
	Unframed, Cut float64
	// Seed determines which streams these are and where they are cut.
	Seed uint64
}

// streamCut is where and how a stream without a length ends early.
type streamCut struct {
	event  int // the ID of the event in which the stream ends; 0: it ends whole
	offset int // bytes of that event that are sent
	resets bool
}

// SetStreamFault changes how later streams end. The zero value ends the fault.
func (b *Backend) SetStreamFault(fault StreamFault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streamFault = fault
	b.streamRandom = rand.New(rand.NewPCG(fault.Seed, uint64(len(b.executions))))
}

// CutStreams returns the IDs of the requests whose streams were cut.
func (b *Backend) CutStreams() map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	ids := map[string]bool{}
	for id := range b.cutStreams {
		ids[id] = true
	}
	return ids
}

// drawStreamEnd draws whether a stream is sent without a length, and where it is cut. A cut by a close is always inside an
// event: nobody can tell one outside of an event from the end of a whole stream.
func (b *Backend) drawStreamEnd(s *eventStream) (unframed bool, cut streamCut) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.streamRandom == nil || b.streamRandom.Float64() >= b.streamFault.Unframed {
		return false, streamCut{}
	}
	if s.next > s.last || b.streamRandom.Float64() >= b.streamFault.Cut {
		return true, streamCut{}
	}
	cut.event = s.next + b.streamRandom.IntN(s.last-s.next+1)
	length := len(eventOf(s.request, cut.event))
	cut.resets = b.streamRandom.IntN(2) == 0
	cut.offset = 1 + b.streamRandom.IntN(length-1)
	if cut.resets {
		cut.offset--
	}
	b.cutStreams[s.request] = true
	return true, cut
}

// sendUnframed takes the connection over from the server, and sends a stream without a length on it.
func (b *Backend) sendUnframed(ctx *fasthttp.RequestCtx, s *eventStream, cut streamCut) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nBackend-Id: %s\r\nRequest-Id: %s\r\nServer-Seal: %s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
		b.cfg.ID, s.request, b.sealOf(s.request), eventMediaType)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) { // the server closes the connection afterwards
		defer s.Close()
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		for id := s.next; id <= s.last; id++ {
			time.Sleep(s.eventTime)
			text := eventOf(s.request, id)
			if id == cut.event {
				_, _ = io.WriteString(conn, text[:cut.offset]) // the client sees the cut in any case
				endCut(conn, cut)
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	})
}

// endCut makes the close of a connection a reset if the cut demands it.
func endCut(conn net.Conn, cut streamCut) {
	if cut.resets {
		resetOnClose(conn)
	}
}
