package rpc

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"log"
	"net/rpc"
	"os"

	"tinpin/internal/rpc/wire"
)

// The codecs send what those of net/rpc send: the gob of a header and that of a
// body, flushed together. They differ in that the fields of bodies go under their
// names on the wire, see package wire.

// clientCodec is one connection as a client uses it. net/rpc lets one goroutine
// write and another read at a time.
type clientCodec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newClientCodec(conn io.ReadWriteCloser) (codec *clientCodec) {
	buffer := bufio.NewWriter(conn)
	return &clientCodec{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer}
}

func (c *clientCodec) WriteRequest(header *rpc.Request, body any) (err error) {
	if err = c.encoder.Encode(header); err != nil {
		return err
	}
	if err = wire.Encode(c.encoder, body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

func (c *clientCodec) ReadResponseHeader(header *rpc.Response) (err error) {
	return c.decoder.Decode(header)
}

func (c *clientCodec) ReadResponseBody(body any) (err error) { return wire.Decode(c.decoder, body) }

func (c *clientCodec) Close() (err error) { return c.conn.Close() }

// serverCodec is one connection as a server uses it. net/rpc lets one goroutine
// write and another read at a time.
type serverCodec struct {
	conn    io.ReadWriteCloser
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
	closed  bool
	// ctx is the lifetime of the connection; cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
}

func newServerCodec(conn io.ReadWriteCloser) (codec *serverCodec) {
	buffer := bufio.NewWriter(conn)
	codec = &serverCodec{conn: conn, decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(buffer), buffer: buffer}
	codec.ctx, codec.cancel = context.WithCancel(context.Background())
	return codec
}

// ReadRequestHeader also notices the end of the connection: net/rpc waits for the calls at work
// before it closes the codec. A deadline is set only by Server.Shutdown, whose callers still wait.
func (c *serverCodec) ReadRequestHeader(header *rpc.Request) (err error) {
	if err = c.decoder.Decode(header); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	return err
}

func (c *serverCodec) ReadRequestBody(body any) (err error) {
	if incoming, is := body.(withLifetime); is {
		incoming.setContext(c.ctx)
		body = incoming.body()
	}
	return wire.Decode(c.decoder, body)
}

func (c *serverCodec) WriteResponse(header *rpc.Response, body any) (err error) {
	if err = c.encoder.Encode(header); err == nil {
		err = wire.Encode(c.encoder, body)
	}
	if err != nil {
		// Half a response is in the buffer, and what came after it could not be read:
		// the connection ends, unless it has already.
		if c.buffer.Flush() == nil {
			log.Println("rpc: encoding a response:", err)
			_ = c.Close()
		}
		return err
	}
	return c.buffer.Flush()
}

// Close ends the connection, once.
func (c *serverCodec) Close() (err error) {
	c.cancel()
	if c.closed {
		return nil
	}
	c.closed = true
	return c.conn.Close()
}
