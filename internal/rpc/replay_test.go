package rpc

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/testutil/wiretest"
)

// recordedCall is one call of a connection as it was recorded between a client and
// a server of the version before messages were renamed: all calls between nodes, and
// from nodes to controllers, twice, so that types are sent once and used again, and
// a call that nobody answers. A recording stands for what is in the field, and is
// never made anew.
type recordedCall struct {
	method            string
	request, response any
	sent, received    []byte
}

func recordedCalls(t *testing.T) (calls []recordedCall) {
	t.Helper()
	values := map[string]any{}
	for _, fixture := range wireFixtures {
		values[fixture.Name] = fixture.Value
	}
	names := map[string][]string{}
	for _, line := range strings.Split(string(wiretest.ReadFile(t, filepath.Join("testdata", "methods.txt"))), "\n") {
		if parts := strings.Fields(line); len(parts) == 3 {
			names[parts[0]] = parts[1:]
		}
	}
	recorded := string(wiretest.ReadFile(t, filepath.Join("testdata", "connection.txt")))
	for _, line := range strings.Split(strings.TrimSpace(recorded), "\n") {
		var call recordedCall
		var sent, received string
		if _, err := fmt.Sscan(line, &call.method, &sent, &received); err != nil {
			t.Fatal(err)
		}
		var sentErr, receivedErr error
		call.sent, sentErr = hex.DecodeString(sent)
		call.received, receivedErr = hex.DecodeString(received)
		if err := errors.Join(sentErr, receivedErr); err != nil {
			t.Fatal(err)
		}
		call.request = LeaderRequest{}
		if name := names[call.method]; name != nil {
			call.request, call.response = values[name[0]], values[name[1]]
		}
		calls = append(calls, call)
	}
	return calls
}

// recordedService answers each call as the recorded server did, and passes on what
// it was asked.
type recordedService struct {
	calls map[string]recordedCall
	asked chan any
}

func answerRecorded[Request, Response any](
	s *recordedService, method string, request *Request, response *Response,
) (err error) {
	s.asked <- *request
	*response = s.calls[method].response.(Response)
	return nil
}

type (
	recordedLeader     struct{ *recordedService }
	recordedNode       struct{ *recordedService }
	recordedDiagnostic struct{ *recordedService }
)

//words:frozen the name of the method on the wire
func (l recordedLeader) Beat(request *HeartbeatRequest, response *Update) (err error) {
	return answerRecorded(l.recordedService, MethodHeartbeat, request, response)
}

func (l recordedLeader) Bind(request *BindRequest, response *BindResponse) (err error) {
	return answerRecorded(l.recordedService, MethodBind, request, response)
}

func (l recordedLeader) Claim(request *ClaimRequest, response *ClaimResponse) (err error) {
	return answerRecorded(l.recordedService, MethodClaim, request, response)
}

func (l recordedLeader) Lead(request *LeaderRequest, response *LeaderResponse) (err error) {
	return answerRecorded(l.recordedService, MethodLeader, request, response)
}

func (l recordedLeader) Report(request *HealthReport, response *HealthReportResponse) (err error) {
	return answerRecorded(l.recordedService, MethodHealthReport, request, response)
}

func (n recordedNode) Keep(request *StoreRequest, response *StoreAcknowledgement) (err error) {
	return answerRecorded(n.recordedService, MethodStoreResponse, request, response)
}

func (n recordedNode) Kept(request *StoredResponseRequest, response *StoredResponse) (err error) {
	return answerRecorded(n.recordedService, MethodMovedResponse, request, response)
}

func (n recordedNode) Orders(request *RetirementsRequest, response *RetirementsResponse) (err error) {
	return answerRecorded(n.recordedService, MethodRetirements, request, response)
}

func (n recordedNode) Recall(request *StoredResponseRequest, response *StoredResponse) (err error) {
	return answerRecorded(n.recordedService, MethodStoredResponse, request, response)
}

//words:frozen the name of the method on the wire
func (d recordedDiagnostic) Tell(request *StatusRequest, response *StatusResponse) (err error) {
	return answerRecorded(d.recordedService, MethodStatus, request, response)
}

func (d recordedDiagnostic) Trace(request *TraceRequest, response *TraceResponse) (err error) {
	return answerRecorded(d.recordedService, MethodTrace, request, response)
}

func replayAddress(last int) (address string) {
	return fmt.Sprintf("127.%d.%d.%d:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, last, 20900+clientPorts.Add(1))
}

// A server answers a client of the earlier version: it reads each request as it was
// meant. The responses are checked as their own client reads them; that an earlier
// one can too is what the golden field names hold.
func TestServerAnswersARecordedClient(t *testing.T) {
	calls := recordedCalls(t)
	service := &recordedService{calls: map[string]recordedCall{}, asked: make(chan any, 1)}
	for _, call := range calls {
		service.calls[call.method] = call
	}
	address := replayAddress(3)
	server, err := Serve(address, map[string]any{
		"Forum": recordedLeader{service}, "Fellow": recordedNode{service}, "Status": recordedDiagnostic{service},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	conn, err := Dial(t.Context(), address, 5*time.Second, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	codec := newClientCodec(conn)
	for sequence, call := range calls {
		if _, err = conn.Write(call.sent); err != nil {
			t.Fatal(err)
		}
		checkAnswer(t, codec, call, uint64(sequence), service.asked)
	}
}

// checkAnswer reads the response to a recorded call, and compares it and the
// request as the service got it with what was recorded.
func checkAnswer(t *testing.T, codec rpc.ClientCodec, call recordedCall, sequence uint64, asked <-chan any) {
	t.Helper()
	var header rpc.Response
	if err := codec.ReadResponseHeader(&header); err != nil || header.ServiceMethod != call.method ||
		header.Seq != sequence {
		t.Fatalf("%s: header %+v, %v", call.method, header, err)
	}
	if call.response == nil {
		if err := codec.ReadResponseBody(nil); err != nil || header.Error == "" {
			t.Fatalf("%s: header %+v, %v", call.method, header, err)
		}
		return
	}
	if diff := cmp.Diff(call.request, <-asked); diff != "" {
		t.Errorf("%s: request (-want +got):\n%s", call.method, diff)
	}
	response := reflect.New(reflect.TypeOf(call.response))
	if err := codec.ReadResponseBody(response.Interface()); err != nil || header.Error != "" {
		t.Fatalf("%s: header %+v, %v", call.method, header, err)
	}
	if diff := cmp.Diff(call.response, response.Elem().Interface()); diff != "" {
		t.Errorf("%s: response (-want +got):\n%s", call.method, diff)
	}
}

// A client understands a server of the earlier version, which answers each call with
// the recorded bytes.
func TestClientUnderstandsARecordedServer(t *testing.T) {
	calls := recordedCalls(t)
	listener, err := Listen(replayAddress(4), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	served := make(chan error, 1)
	go func() { served <- playResponses(listener, calls) }()
	client := NewClient(listener.Addr().String())
	t.Cleanup(client.Close)
	for _, call := range calls {
		response := reflect.New(reflect.TypeFor[LeaderResponse]())
		if call.response != nil {
			response = reflect.New(reflect.TypeOf(call.response))
		}
		err = client.Call(call.method, call.request, response.Interface(), 5*time.Second)
		if call.response == nil {
			if err == nil ||
				!strings.Contains(err.Error(), "can't find service") &&
					!strings.Contains(err.Error(), "can't find method") {
				t.Fatalf("%s: %v", call.method, err)
			}
			continue
		}
		if err != nil {
			t.Fatalf("%s: %v", call.method, err)
		}
		if diff := cmp.Diff(call.response, response.Elem().Interface()); diff != "" {
			t.Errorf("%s: response (-want +got):\n%s", call.method, diff)
		}
	}
	if err = <-served; err != nil {
		t.Error(err)
	}
}

// playResponses reads requests of one connection, with the names on the wire, and
// answers with the recorded bytes.
func playResponses(listener net.Listener, calls []recordedCall) (err error) {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	codec := newServerCodec(conn)
	for sequence, call := range calls {
		var header rpc.Request
		if err = codec.ReadRequestHeader(&header); err != nil {
			return err
		}
		if header.ServiceMethod != call.method || header.Seq != uint64(sequence) {
			return fmt.Errorf("%s: header %+v", call.method, header)
		}
		request := reflect.New(reflect.TypeOf(call.request))
		if err = codec.ReadRequestBody(request.Interface()); err != nil {
			return err
		}
		if diff := cmp.Diff(call.request, request.Elem().Interface()); diff != "" {
			return fmt.Errorf("%s: request (-want +got):\n%s", call.method, diff)
		}
		if _, err = conn.Write(call.received); err != nil {
			return err
		}
	}
	return nil
}
