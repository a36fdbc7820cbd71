package rpc

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"
)

// waitingService answers when its caller's connection has ended.
type waitingService struct {
	begun chan int
	ended chan error
}

func (s *waitingService) Wait(call Incoming[int], _ *GatedResponse) (err error) {
	s.begun <- call.Request
	<-call.Context().Done()
	s.ended <- context.Cause(call.Context())
	return nil
}

// A call that is held open ends when its caller's connection does.
func TestACallEndsWithItsCallersConnection(t *testing.T) {
	service := &waitingService{begun: make(chan int, 1), ended: make(chan error, 1)}
	address := fmt.Sprintf("127.%d.%d.2:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20900+clientPorts.Add(1))
	listener, err := Serve(address, map[string]any{"Waiting": service})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client := NewClient(address)
	called := make(chan error, 1)
	go func() {
		var response GatedResponse
		called <- client.Call("Waiting.Wait", 7, &response, time.Minute)
	}()
	if number := <-service.begun; number != 7 {
		t.Fatalf("asked for %d", number)
	}
	client.Close()
	if err = <-called; err == nil {
		t.Error("the call was answered")
	}
	select {
	case cause := <-service.ended:
		if cause != context.Canceled {
			t.Error(cause)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the call goes on without its caller")
	}
}

func TestARequestWithoutACallerHasNoEnd(t *testing.T) {
	if err := (Incoming[int]{}).Context().Err(); err != nil {
		t.Error(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if call := NewIncoming(ctx, 3); call.Request != 3 || call.Context().Err() == nil {
		t.Errorf("%+v", call)
	}
}
