package message

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"tinpin/internal/apierror"
)

// Response is what a client is answered: a backend's response, or an error of the closed table
// in apierror. Write is the one place where it becomes bytes.
type Response struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// ContentLength is the whole body's length; BodyRest reads what Body does not hold.
	ContentLength int64
	BodyRest      io.Reader
	// Finish is called with whether BodyRest was read to its end.
	Finish func(complete bool)
	// NoBody leaves the body out but tells its length, as HEAD wants it.
	NoBody bool
	// Close closes the connection behind the response.
	Close bool
	// KeepAlive is how long the client may leave the connection idle; under a second it is not told.
	KeepAlive time.Duration
	// Chunked sends BodyRest in chunks, its length not being known.
	Chunked bool
}

// copyBufferBytes is how much of a body's rest is read at once.
const copyBufferBytes = 32 << 10

// ErrorResponse makes the response of an error kind to the request of an id.
func ErrorResponse(kind apierror.Kind, requestID string) Response {
	return ErrorResponseAfter(kind, requestID, 0)
}

// ErrorResponseAfter also says when to retry, where that is known better than the table does.
func ErrorResponseAfter(kind apierror.Kind, requestID string, retryAfter time.Duration) (response Response) {
	answer := kind.Response()
	if retryAfter > 0 {
		answer.RetryAfterMS = int(retryAfter / time.Millisecond)
	}
	response.Status, response.Close = answer.Status, answer.Close
	response.Body = []byte(`{"error_message":` + strconv.Quote(answer.Text) + `}`)
	response.ContentLength = int64(len(response.Body))
	response.Headers = append(response.Headers, HeaderField{"Content-Type", "application/json"})
	if requestID != "" {
		response.Headers = append(response.Headers, HeaderField{HeaderRequestID, requestID})
	}
	if answer.RetryAfterMS > 0 {
		response.Headers = append(response.Headers, HeaderField{"Retry-After", answer.RetryAfter()})
	}
	return response
}

// bodyForbidden tells that responses of a status have no body.
func bodyForbidden(status int) bool {
	return status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// appendHead appends the head of the response.
func (r Response) appendHead(to []byte, http10 bool) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(r.Status), 10)
	to = append(to, ' ')
	to = append(to, http.StatusText(r.Status)...)
	to = append(to, "\r\n"...)
	for _, field := range r.Headers {
		to = appendField(to, field)
	}
	switch {
	case bodyForbidden(r.Status):
	case r.Chunked:
		to = append(to, "Transfer-Encoding: chunked\r\n"...)
	default:
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, r.ContentLength, 10)
		to = append(to, "\r\n"...)
	}
	switch {
	case r.Close:
		to = append(to, "Connection: close\r\n"...)
	case http10:
		to = append(to, "Connection: keep-alive\r\n"...)
	}
	if !r.Close && r.KeepAlive >= time.Second {
		to = append(to, "Keep-Alive: timeout="...)
		to = strconv.AppendInt(to, int64(r.KeepAlive/time.Second), 10)
		to = append(to, "\r\n"...)
	}
	return append(to, "\r\n"...)
}

// Write sends the response, by way of a buffer that it gives back for the next one. Where
// complete is false the connection must be aborted, so that the response cannot look complete.
func (r Response) Write(to io.Writer, buffer []byte, http10 bool) (kept []byte, complete bool) {
	buffer = r.appendHead(buffer[:0], http10)
	if r.BodyRest == nil {
		if !r.NoBody && !bodyForbidden(r.Status) {
			buffer = append(buffer, r.Body...)
		}
		_, err := to.Write(buffer)
		return buffer, err == nil
	}
	complete = r.writeBodyRest(to, buffer)
	if r.Finish != nil {
		r.Finish(complete)
	}
	return buffer, complete
}

// writeBodyRest writes the head, and the body as it is read.
func (r Response) writeBodyRest(to io.Writer, head []byte) (complete bool) {
	if _, err := to.Write(head); err != nil {
		return false
	}
	buffer := make([]byte, copyBufferBytes)
	if r.writePart(to, r.Body) != nil {
		return false
	}
	sent := int64(len(r.Body))
	for {
		size, readErr := r.BodyRest.Read(buffer)
		if size > 0 {
			if r.writePart(to, buffer[:size]) != nil {
				return false
			}
			sent += int64(size)
		}
		if readErr == io.EOF {
			break
		}
		if readErr != nil {
			return false
		}
	}
	if r.Chunked {
		_, err := io.WriteString(to, "0\r\n\r\n")
		return err == nil
	}
	return sent == r.ContentLength
}

// writePart writes a part of the body, as a chunk where the response is chunked.
func (r Response) writePart(to io.Writer, part []byte) error {
	if r.Chunked && len(part) > 0 {
		if _, err := to.Write([]byte(strconv.FormatInt(int64(len(part)), 16) + "\r\n")); err != nil {
			return err
		}
		part = append(part[:len(part):len(part)], "\r\n"...)
	}
	_, err := to.Write(part)
	return err
}
