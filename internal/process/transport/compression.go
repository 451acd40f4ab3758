package transport

import (
	"bytes"
	"slices"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	// encodingZstd names Zstandard (RFC 8878) in Accept-Encoding and Content-Encoding.
	encodingZstd = "zstd"
	// minCompressedBytes is the minimum size of a body that is compressed: for smaller ones the saving isn't worth the CPU
	// time.
	minCompressedBytes = 2 << 10
	// compressionWindow is the distance within which the compressor finds repetitions. Raising it costs memory on both
	// sides.
	compressionWindow = 256 << 10
	// maxRecentBytes bounds the cache of bodies with their compressed form. The cache serves clients that get the same
	// body, such as the subscribers of a topic. Raising it costs memory, and time to search the cache.
	maxRecentBytes = 2 << 20
)

// compressor compresses replies for clients that accept that. It is safe for concurrent use.
type compressor struct {
	mu      sync.Mutex
	encoder *zstd.Encoder    // nil until the first use
	recent  []compressedBody // oldest first
	bytes   int              // sum of the plain bodies in recent
}

// compressedBody is a body in plain and compressed form; both are immutable.
type compressedBody struct{ plain, compressed []byte }

// apply compresses the reply to a request if the client accepts that and the body is large enough.
func (c *compressor) apply(ctx *fasthttp.RequestCtx) {
	if !ctx.Request.Header.HasAcceptEncoding(encodingZstd) || len(ctx.Response.Header.ContentEncoding()) > 0 {
		return
	}
	body := ctx.Response.Body()
	if len(body) < minCompressedBytes {
		return
	}
	ctx.Response.Header.SetContentEncoding(encodingZstd)
	ctx.Response.SetBodyRaw(c.compress(body))
}

// compress returns the compressed form of a body, from the cache if possible.
func (c *compressor) compress(body []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.recent {
		if bytes.Equal(known.plain, body) {
			return known.compressed
		}
	}
	if c.encoder == nil {
		c.encoder = newEncoder()
	}
	compressed := c.encoder.EncodeAll(body, make([]byte, 0, len(body)/4))
	if len(body) <= maxRecentBytes {
		c.keep(compressedBody{bytes.Clone(body), compressed})
	}
	return compressed
}

// keep adds a body to the cache, and evicts the oldest ones beyond maxRecentBytes.
func (c *compressor) keep(body compressedBody) {
	c.recent = append(c.recent, body)
	c.bytes += len(body.plain)
	dropped := 0
	for ; c.bytes > maxRecentBytes; dropped++ {
		c.bytes -= len(c.recent[dropped].plain)
	}
	c.recent = slices.Delete(c.recent, 0, dropped)
}

func newEncoder() *zstd.Encoder {
	encoder, _ := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true)) // fails only if the options are invalid
	return encoder
}

// decompressor decompresses replies. It is safe for concurrent use.
type decompressor struct {
	once    sync.Once
	decoder *zstd.Decoder
}

// body returns a decompressed copy of the body of a reply.
func (d *decompressor) body(in *fasthttp.Response) ([]byte, error) {
	encoding := string(in.Header.ContentEncoding())
	switch encoding {
	case "":
		return bytes.Clone(in.Body()), nil
	case encodingZstd:
		d.once.Do(func() { d.decoder = newDecoder() })
		body, err := d.decoder.DecodeAll(in.Body(), nil)
		return body, eris.Wrap(err, "decompressing a reply")
	}
	return nil, eris.Errorf("a reply is encoded as %q", encoding)
}

func newDecoder() *zstd.Decoder {
	decoder, _ := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(maxMessageBytes)) // fails only if the options are invalid
	return decoder
}
