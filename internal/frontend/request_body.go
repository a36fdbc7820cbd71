package frontend

import (
	"io"
	"net/http"
	"strings"
	"time"

	"tinpin/internal/apierror"
	"tinpin/internal/config"
	"tinpin/internal/message"
)

// readRequest makes the request that is forwarded from its head, and reads its body.
func (r *requestReader) readRequest(
	parsed *http.Request, limits config.ClientLimits,
) (request *message.Request, kind apierror.Kind) {
	s, client := r.server, r.client
	target, valid := originForm(parsed)
	if !valid || parsed.Host == "" {
		return nil, apierror.BadRequest
	}
	request = &message.Request{
		Method: parsed.Method, Target: target, Host: parsed.Host,
		ID: parsed.Header.Get(message.HeaderRequestID), Headers: message.ForwardedHeaders(parsed.Header),
	}
	if parsed.ContentLength == 0 {
		request.HasBody = len(parsed.Header["Content-Length"]) > 0
		return request, apierror.None
	}
	if parsed.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, apierror.BodyTooLarge
	}
	if strings.EqualFold(parsed.Header.Get("Expect"), "100-continue") {
		r.awaitAnswers(0)
		_, _ = io.WriteString(client.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	_ = client.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	request.HasBody = true
	if parsed.ContentLength > 0 {
		request.Body, kind = s.readSizedBody(parsed)
	} else {
		request.Body, kind = s.readChunkedBody(parsed, int64(limits.MaxBodyBytes))
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
func (s *Server) readSizedBody(parsed *http.Request) (body []byte, kind apierror.Kind) {
	if s.bodyBytesLeft.Add(-parsed.ContentLength) < 0 {
		s.bodyBytesLeft.Add(parsed.ContentLength)
		return nil, apierror.Overloaded
	}
	body = make([]byte, parsed.ContentLength)
	if _, err := io.ReadFull(parsed.Body, body); err != nil {
		s.bodyBytesLeft.Add(parsed.ContentLength)
		return nil, apierror.BadRequest
	}
	return body, apierror.None
}

// readChunkedBody reads a body that comes in chunks, up to its limit or what memory is left.
func (s *Server) readChunkedBody(parsed *http.Request, limit int64) (body []byte, kind apierror.Kind) {
	available := min(limit, max(s.bodyBytesLeft.Load(), 0))
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
	s.bodyBytesLeft.Add(-int64(len(body)))
	return body, apierror.None
}
