package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
)

const (
	// bufferBytes is the size of a connection's buffer at first; few heads are larger.
	bufferBytes = 4 << 10
	// maxHeadBytes bounds the head of a response, and the trailer of its body; it is bufferBytes doubled some times.
	maxHeadBytes = 64 << 10
)

// getRequest is what responses to GET are read for; nobody changes it.
var getRequest = &http.Request{Method: http.MethodGet}

// Reader reads the responses that arrive on one connection.
type Reader struct {
	conn     io.Reader
	buffered *bufio.Reader
}

// NewReader makes the reader of a connection.
func NewReader(conn io.Reader) *Reader {
	return &Reader{conn: conn, buffered: bufio.NewReaderSize(conn, bufferBytes)}
}

// Buffered is how many bytes have been taken from the connection and not been read yet.
func (r *Reader) Buffered() int { return r.buffered.Buffered() }

// ReadResponse reads the head of the next response, final or interim, to a request with a method. The response's body
// must be read to its end before the next one. Bytes that are no response give a *MalformedError, from here or from
// the body; nothing of that response may be used, nor the connection again.
func (r *Reader) ReadResponse(method string) (*http.Response, error) {
	if err := r.checkHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(r.buffered, requestOf(method))
	if err != nil {
		return nil, asMalformed(err)
	}
	if len(response.TransferEncoding) > 0 && response.Body != http.NoBody {
		response.Body = newChunkedBody(r)
	}
	return response, nil
}

// requestOf is a request as http.ReadResponse wants it: only the method counts.
func requestOf(method string) *http.Request {
	if method == http.MethodGet {
		return getRequest
	}
	return &http.Request{Method: method}
}

// peekLine returns the unread line that begins at an offset, with its line end, and leaves it unread.
func (r *Reader) peekLine(offset int) (line []byte, err error) {
	scanned := offset
	for {
		unread, _ := r.buffered.Peek(r.buffered.Buffered())
		if length := bytes.IndexByte(unread[scanned:], '\n') + 1; length > 0 {
			return unread[offset : scanned+length], nil
		}
		scanned = len(unread)
		if scanned >= maxHeadBytes {
			return nil, malformed("head or trailer too long", unread[offset:])
		}
		if scanned == r.buffered.Size() {
			r.grow(unread)
		}
		if _, err = r.buffered.Peek(scanned + 1); err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		} else if err != nil {
			return nil, err
		}
	}
}

// grow replaces the buffer, which is full of unread bytes, by one of twice its size.
func (r *Reader) grow(unread []byte) {
	source := io.MultiReader(bytes.NewReader(bytes.Clone(unread)), r.conn)
	r.buffered = bufio.NewReaderSize(source, 2*len(unread))
}
