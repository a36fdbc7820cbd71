package http1

import (
	"bytes"
	"io"
	"net/http/httputil"

	"golang.org/x/net/http/httpguts"
)

// chunkedBody reads a body in chunks, and checks the trailer that follows the last one. The trailer's fields are
// dropped.
type chunkedBody struct {
	reader *Reader
	chunks io.Reader
	// ended is io.EOF, or the error of reading, once there is one.
	ended error
}

func newChunkedBody(reader *Reader) *chunkedBody {
	return &chunkedBody{reader: reader, chunks: httputil.NewChunkedReader(reader.buffered)}
}

// Read gives the content of the chunks.
func (b *chunkedBody) Read(into []byte) (size int, err error) {
	if b.ended != nil {
		return 0, b.ended
	}
	size, err = b.chunks.Read(into)
	if err == io.EOF {
		err = b.reader.readTrailer()
	}
	if err != nil && err != io.EOF {
		err = asMalformed(err)
	}
	b.ended = err
	return size, err
}

// Close does nothing: what is not read is left on the connection.
func (b *chunkedBody) Close() error { return nil }

// readTrailer consumes a trailer, and returns io.EOF where it is one.
func (r *Reader) readTrailer() error {
	offset := 0
	for {
		line, err := r.peekLine(offset)
		if err != nil {
			return err
		}
		offset += len(line)
		name, err := fieldName(line)
		if err != nil {
			return err
		}
		if name == nil {
			_, _ = r.buffered.Discard(offset)
			return io.EOF
		}
		value := bytes.TrimSuffix(line[len(name)+len(colon):], lineEnd)
		if !httpguts.ValidHeaderFieldValue(string(value)) {
			return malformed("field value", line)
		}
	}
}
