package rpc

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"
)

// heldService answers when it is let go; it fails where its caller is gone by then.
type heldService struct {
	begun chan int
	letGo chan struct{}
}

func (s *heldService) Hold(call Incoming[int], _ *GatedResponse) (err error) {
	s.begun <- call.Request
	<-s.letGo
	return call.Context().Err()
}

// A call that was read before its server shuts down is answered, and the shutdown waits for that.
func TestACallThatWasReadIsAnswered(t *testing.T) {
	service := &heldService{begun: make(chan int, 1), letGo: make(chan struct{})}
	address := fmt.Sprintf("127.%d.%d.2:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20900+clientPorts.Add(1))
	server, err := Serve(address, map[string]any{"Held": service})
	if err != nil {
		t.Fatal(err)
	}
	client := NewClient(address)
	defer client.Close()
	var response GatedResponse
	called := make(chan error, 1)
	go func() { called <- client.Call("Held.Hold", 7, &response, time.Minute) }()
	<-service.begun
	ended := make(chan struct{})
	go func() {
		server.Shutdown(t.Context())
		close(ended)
	}()
	for {
		var late GatedResponse
		if err = NewClient(address).Call("Held.Hold", 8, &late, time.Second); errors.Is(err, ErrNotSent) {
			break
		}
	}
	select {
	case <-ended:
		t.Error("the shutdown did not wait for the call")
	default:
	}
	close(service.letGo)
	if err = <-called; err != nil {
		t.Error(err)
	}
	<-ended
}

// A shutdown waits no longer than it may.
func TestAShutdownEndsWithItsTime(t *testing.T) {
	service := &heldService{begun: make(chan int, 1), letGo: make(chan struct{})}
	defer close(service.letGo)
	address := fmt.Sprintf("127.%d.%d.2:%d", 128+os.Getpid()>>8&63, os.Getpid()&255, 20900+clientPorts.Add(1))
	server, err := Serve(address, map[string]any{"Held": service})
	if err != nil {
		t.Fatal(err)
	}
	client := NewClient(address)
	called := make(chan error, 1)
	go func() {
		var response GatedResponse
		called <- client.Call("Held.Hold", 7, &response, time.Minute)
	}()
	<-service.begun
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	server.Shutdown(ctx)
	if err = <-called; err == nil {
		t.Error("the call was answered")
	}
}
