package responsecheck

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// CheckTrailer makes the end of a response's body an *ErrFieldName if the trailer is malformed.
func CheckTrailer(response *http.Response) {
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerBody{ReadCloser: response.Body, response: response}
	}
}

// trailerBody is a chunked body. Its end is where net/http sets the response's trailer.
type trailerBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader. In place of io.EOF it returns an *ErrFieldName if the trailer is malformed.
func (b *trailerBody) Read(buffer []byte) (int, error) {
	read, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			return read, malformed
		}
	}
	return read, err
}
