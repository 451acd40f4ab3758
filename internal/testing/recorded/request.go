package recorded

import (
	"bufio"
	"io"
	"net/http"
	"strings"
)

// byteReader returns one byte per read, so that a buffered reader on top of it doesn't read past the end of the request.
type byteReader struct{ from *bufio.Reader }

// Read implements io.Reader.
func (r *byteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return r.from.Read(p[:1])
}

// ReadRequest reads an HTTP request, which must have a Content-Length or no body, and returns it with its raw bytes, in
// which \r\n is replaced by \n. The request's body has been consumed.
func ReadRequest(in *bufio.Reader) (*http.Request, string, error) {
	var raw strings.Builder
	request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(&byteReader{in}, &raw)))
	if err != nil {
		return nil, "", err
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return nil, "", err
	}
	return request, strings.ReplaceAll(raw.String(), "\r\n", "\n"), nil
}
