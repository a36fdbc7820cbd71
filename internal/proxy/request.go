package proxy

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/rpc"
)

// Request is a client's request as it is forwarded.
type Request struct {
	Method, Target, Host string
	ID                   string
	Headers              []HeaderField
	Body                 []byte
	HasBody              bool
	// StreamBody passes the response on as it comes, but for its beginning.
	StreamBody bool
	// Pipelined tells that requests before it on the client's connection were not answered
	// when it was read, so that it may yet count as not read.
	Pipelined bool
	// commonHead is the part of the head that is the same in every attempt, built once;
	// attempts may run beside each other.
	headOnce   sync.Once
	commonHead []byte
}

// buildCommonHead writes the part of the head that is the same in every attempt.
func (r *Request) buildCommonHead() {
	head := make([]byte, 0, 512)
	head = append(head, r.Method+" "+r.Target+" HTTP/1.1\r\nHost: "+r.Host+"\r\n"...)
	for _, field := range r.Headers {
		head = append(head, field[0]...)
		head = append(head, ": "...)
		head = append(head, field[1]...)
		head = append(head, "\r\n"...)
	}
	if r.HasBody {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	r.commonHead = head
}

// bufferLimit is how many bytes of a body are read before the response is passed on: one
// that is read completely can still be replaced by another backend's.
func (r *Request) bufferLimit() int64 {
	if r.StreamBody {
		return maxStreamedPrefix
	}
	return maxBufferedBody
}

// encode writes the request for one backend.
func (r *Request) encode(left time.Duration, target rpc.EndpointID) (data []byte) {
	r.headOnce.Do(r.buildCommonHead)
	data = make([]byte, 0, len(r.commonHead)+len(r.Body)+96)
	data = append(data, r.commonHead...)
	data = append(data, headerRequestDeadline+": "...)
	data = strconv.AppendInt(data, max(1, left.Milliseconds()), 10)
	data = append(data, "\r\n"+headerTargetInstance+": "...)
	data = append(data, target...)
	data = append(data, "\r\n\r\n"...)
	return append(data, r.Body...)
}

// readRequest makes the request that is forwarded from its head, and reads its body.
func (f *Frontend) readRequest(client *clientConn, parsed *http.Request, limits config.ClientLimits) (request *Request, kind apierror.Kind) {
	target, valid := originForm(parsed)
	if !valid || parsed.Host == "" {
		return nil, apierror.BadRequest
	}
	request = &Request{
		Method: parsed.Method, Target: target, Host: parsed.Host,
		ID: parsed.Header.Get(headerRequestID), Headers: forwardedHeaders(parsed.Header),
	}
	if parsed.ContentLength == 0 {
		request.HasBody = len(parsed.Header["Content-Length"]) > 0
		return request, apierror.None
	}
	if parsed.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, apierror.BodyTooLarge
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		client.unanswered.Wait()
		_, _ = io.WriteString(client.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	_ = client.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	request.HasBody = true
	if parsed.ContentLength > 0 {
		request.Body, kind = f.readSizedBody(parsed)
	} else {
		request.Body, kind = f.readChunkedBody(parsed, int64(limits.MaxBodyBytes))
	}
	if kind != apierror.None {
		return nil, kind
	}
	return request, apierror.None
}

// originForm gives the path and query of a request that may name its host in the target too.
func originForm(parsed *http.Request) (target string, valid bool) {
	target = parsed.RequestURI
	if parsed.Method != http.MethodConnect && target != "" && (target[0] == '/' || target == "*") {
		return target, true
	}
	if parsed.URL == nil || parsed.URL.Host == "" || parsed.Method == http.MethodConnect {
		return "", false
	}
	at := strings.Index(target, "://")
	slash := strings.IndexByte(target[at+3:], '/')
	if at < 0 || slash < 0 {
		return "/", true
	}
	return target[at+3+slash:], true
}

// readSizedBody reads a body whose length is known; its bytes are reserved first.
func (f *Frontend) readSizedBody(parsed *http.Request) (body []byte, kind apierror.Kind) {
	if f.bodyBytesLeft.Add(-parsed.ContentLength) < 0 {
		f.bodyBytesLeft.Add(parsed.ContentLength)
		return nil, apierror.Overloaded
	}
	body = make([]byte, parsed.ContentLength)
	if _, err := io.ReadFull(parsed.Body, body); err != nil {
		f.bodyBytesLeft.Add(parsed.ContentLength)
		return nil, apierror.BadRequest
	}
	return body, apierror.None
}

// readChunkedBody reads a body that comes in chunks, up to its limit or what memory is left.
func (f *Frontend) readChunkedBody(parsed *http.Request, limit int64) (body []byte, kind apierror.Kind) {
	available := min(limit, max(f.bodyBytesLeft.Load(), 0))
	body, err := io.ReadAll(io.LimitReader(parsed.Body, available+1))
	if err != nil {
		return nil, apierror.BadRequest
	}
	if int64(len(body)) > limit {
		return nil, apierror.BodyTooLarge
	}
	if int64(len(body)) > available {
		return nil, apierror.Overloaded
	}
	f.bodyBytesLeft.Add(-int64(len(body)))
	return body, apierror.None
}
