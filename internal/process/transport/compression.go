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
	// minCompressedBytes is the least size of a body that is compressed: smaller ones save less than the work costs.
	minCompressedBytes = 2 << 10
	// compressionWindow is how far back in a body repetitions are found. Raising it costs memory on both sides.
	compressionWindow = 256 << 10
	// maxRecentBytes bounds the bodies that are kept with their compression, for others who get the same, as all
	// subscribers of a topic do. Raising it costs memory, and time for looking them through.
	maxRecentBytes = 2 << 20
)

// compressor compresses replies for clients that accept that. Any goroutine may use it.
type compressor struct {
	mu      sync.Mutex
	encoder *zstd.Encoder    // nil: nothing was compressed yet
	recent  []compressedBody // the oldest first
	bytes   int              // of their plain bodies
}

// compressedBody is a body as it was and compressed; neither changes.
type compressedBody struct{ plain, compressed []byte }

// apply compresses the reply to a request whose client accepts that.
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

// compress returns a body compressed: once for all who get the same in a row.
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

// keep keeps a body, and drops the oldest that there is no room for beside it.
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
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true)) // it fails with options that are wrong alone
	return encoder
}

// decompressor decompresses replies. Any goroutine may use it.
type decompressor struct {
	once    sync.Once
	decoder *zstd.Decoder
}

// body returns the body of a reply, which must not be used after the reply was released.
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
		zstd.WithDecoderMaxMemory(maxMessageBytes)) // it fails with options that are wrong alone
	return decoder
}
