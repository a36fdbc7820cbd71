package message

import (
	"strconv"
	"sync"
	"time"

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
	for _, part := range [...]string{r.Method, " ", r.Target, " HTTP/1.1\r\nHost: ", r.Host, "\r\n"} {
		head = append(head, part...)
	}
	for _, field := range r.Headers {
		head = appendField(head, field)
	}
	if r.HasBody {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	r.commonHead = head
}

// Encode writes the request for one backend.
func (r *Request) Encode(left time.Duration, target rpc.EndpointID) (data []byte) {
	r.headOnce.Do(r.buildCommonHead)
	data = make([]byte, 0, len(r.commonHead)+len(r.Body)+96)
	data = append(data, r.commonHead...)
	data = append(data, HeaderRequestDeadline+": "...)
	data = strconv.AppendInt(data, max(1, left.Milliseconds()), 10)
	data = append(data, "\r\n"+HeaderTargetInstance+": "...)
	data = append(data, target...)
	data = append(data, "\r\n\r\n"...)
	return append(data, r.Body...)
}

// OperationKey is the request's operation key, or "".
func (r *Request) OperationKey() (key string) {
	for _, field := range r.Headers {
		if field[0] == HeaderOperationKey {
			key = field[1]
		}
	}
	return key
}
