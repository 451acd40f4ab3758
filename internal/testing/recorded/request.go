package recorded

import (
	"bufio"
	"io"
	"net/http"
	"strings"
)

// byteReader gives a byte at a time, so that what is recorded ends where the request does.
type byteReader struct{ from *bufio.Reader }

// Read implements io.Reader.
func (r *byteReader) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return r.from.Read(p[:1])
}

// ReadRequest reads an HTTP request, which must have a length or no body, and returns it with its bytes as they were
// sent. Lines of the bytes end in \n in place of \r\n. The request's body has been read.
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
