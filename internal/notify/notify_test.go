package notify

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"tinpin/internal/eventlog"
	"tinpin/internal/history"
)

func TestChangesAreSent(t *testing.T) {
	got := make(chan *http.Request, 1)
	body := make(chan []byte, 1)
	receiver := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		got <- r
		body <- data
		w.WriteHeader(http.StatusAccepted)
	}))
	defer receiver.Close()
	notifier, err := New(receiver.URL, "core-1", eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	notifier.Notify(history.Change{
		Subject: history.Subject{Kind: history.Item, Name: "routes/r1"}, Action: "applied", State: "7", Revision: 12,
	})
	request := <-got
	for header, want := range map[string]string{
		"Ce-Type": "tinpin.item.applied", "Ce-Source": "/tinpin/core-1", "Ce-Subject": "routes/r1",
		"Ce-Specversion": "1.0",
	} {
		if request.Header.Get(header) != want {
			t.Errorf("%s is %q, want %q", header, request.Header.Get(header), want)
		}
	}
	var data map[string]any
	if err = json.Unmarshal(<-body, &data); err != nil || data["stamp"] != "7" || data["rev"] != 12.0 {
		t.Fatalf("%v %v", data, err)
	}
}

// A receiver that accepts nothing must not block the caller.
func TestSlowReceiverBlocksNothing(t *testing.T) {
	gate := make(chan struct{})
	receiver := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-gate }))
	defer receiver.Close()
	defer close(gate)
	notifier, err := New(receiver.URL, "core-1", eventlog.Discard())
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < 5*queueCapacity; i++ {
		notifier.Notify(history.Change{Subject: history.Subject{Kind: history.Backend, Name: "b"}, Action: "listed"})
	}
	if dropped := notifier.Dropped(); dropped < 4*queueCapacity-2 {
		t.Fatalf("only %d dropped: the ring is not bounded", dropped)
	}
}
