// Verdict is the small value that says what a client is answered: a status,
// the head lines and a body, or a problem from the closed table. Write is the
// one place where it becomes bytes.
package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"tinpin/internal/apierror"
)

// HeaderField is one head line of an answer.
type HeaderField = [2]string

// Response answers one request.
type Response struct {
	Status  int
	Headers []HeaderField
	Body    []byte
	// ContentLength is the whole body's length; Rest brings what Body does not hold.
	ContentLength int64
	BodyRest      io.Reader
	// Finish is told whether Rest was read whole.
	Finish func(whole bool)
	// NoBody leaves the body out but tells its length, as HEAD wants it.
	NoBody bool
	// Close ends the stream behind the answer.
	Close bool
	// KeepAlive is how long the client may leave the stream idle, where it is told.
	KeepAlive time.Duration
	// Chunked sends Rest in chunks, its length not being known.
	Chunked bool
}

// ErrorResponse makes the verdict of a problem for a request id.
func ErrorResponse(kind apierror.Kind, request string) (verdict Response) {
	return ErrorResponseAfter(kind, request, 0)
}

// ErrorResponseAfter also says when to come back, where that is known better than the
// table does.
func ErrorResponseAfter(kind apierror.Kind, request string, back time.Duration) (verdict Response) {
	answer := kind.Response()
	if back > 0 {
		answer.RetryAfterMS = int(back / time.Millisecond)
	}
	verdict.Status, verdict.Close = answer.Status, answer.Close
	verdict.Body = []byte(`{"error_message":` + strconv.Quote(answer.Text) + `}`)
	verdict.ContentLength = int64(len(verdict.Body))
	verdict.Headers = append(verdict.Headers, HeaderField{"Content-Type", "application/json"})
	if request != "" {
		verdict.Headers = append(verdict.Headers, HeaderField{headerRequestID, request})
	}
	if answer.RetryAfterMS > 0 {
		verdict.Headers = append(verdict.Headers, HeaderField{"Retry-After", answer.RetryAfter()})
	}
	return verdict
}

func bodyForbidden(status int) bool {
	return status < 200 || status == http.StatusNoContent || status == http.StatusNotModified
}

// appendHead writes the head of the answer.
func (v Response) appendHead(to []byte, old bool) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(v.Status), 10)
	to = append(to, ' ')
	to = append(to, http.StatusText(v.Status)...)
	to = append(to, "\r\n"...)
	for _, line := range v.Headers {
		to = append(to, line[0]...)
		to = append(to, ": "...)
		to = append(to, line[1]...)
		to = append(to, "\r\n"...)
	}
	switch {
	case bodyForbidden(v.Status):
	case v.Chunked:
		to = append(to, "Transfer-Encoding: chunked\r\n"...)
	default:
		to = append(to, "Content-Length: "...)
		to = strconv.AppendInt(to, v.ContentLength, 10)
		to = append(to, "\r\n"...)
	}
	switch {
	case v.Close:
		to = append(to, "Connection: close\r\n"...)
	case old:
		to = append(to, "Connection: keep-alive\r\n"...)
	}
	if !v.Close && v.KeepAlive >= time.Second {
		to = append(to, "Keep-Alive: timeout="...)
		to = strconv.AppendInt(to, int64(v.KeepAlive/time.Second), 10)
		to = append(to, "\r\n"...)
	}
	return append(to, "\r\n"...)
}

// Write sends the answer. Where whole is false the stream must be broken off,
// so that the answer cannot look complete.
func (v Response) Write(to io.Writer, buffer []byte, old bool) (kept []byte, whole bool) {
	buffer = v.appendHead(buffer[:0], old)
	silent := v.NoBody || bodyForbidden(v.Status)
	if v.BodyRest == nil {
		if !silent {
			buffer = append(buffer, v.Body...)
		}
		_, err := to.Write(buffer)
		return buffer, err == nil
	}
	whole = v.writeBodyRest(to, buffer)
	if v.Finish != nil {
		v.Finish(whole)
	}
	return buffer, whole
}

func (v Response) writeBodyRest(to io.Writer, head []byte) (whole bool) {
	if _, err := to.Write(head); err != nil {
		return false
	}
	chunk := make([]byte, 32<<10)
	put := func(part []byte) (err error) {
		if v.Chunked && len(part) > 0 {
			if _, err = to.Write([]byte(strconv.FormatInt(int64(len(part)), 16) + "\r\n")); err != nil {
				return err
			}
			part = append(part[:len(part):len(part)], "\r\n"...)
		}
		_, err = to.Write(part)
		return err
	}
	if put(v.Body) != nil {
		return false
	}
	sent := int64(len(v.Body))
	for {
		size, readErr := v.BodyRest.Read(chunk)
		if size > 0 {
			if put(chunk[:size]) != nil {
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
	if v.Chunked {
		_, err := io.WriteString(to, "0\r\n\r\n")
		return err == nil
	}
	return sent == v.ContentLength
}
