package registry

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tinpin/internal/rpc"
	"tinpin/internal/testutil/malformed"
)

func TestChangeLogGivesOnlyLaterChanges(t *testing.T) {
	counter := &RevisionCounter{}
	log := NewChangeLog[string, int](counter)
	since := func(revision rpc.Revision) (changes string) {
		for _, key := range []string{"a", "b", "c"} {
			log.Since(revision, func(k string, value int, gone bool) {
				if k == key {
					changes += fmt.Sprint(k, value, gone, " ")
				}
			})
		}
		return changes
	}
	log.Set("a", 1)
	log.Set("b", 2)
	seen := counter.Current()
	if log.Set("a", 1) || counter.Current() != seen {
		t.Fatal("the same value is no change")
	}
	log.Set("c", 3)
	log.Remove("a")
	if got := since(seen); got != "a1 true c3 false " {
		t.Fatalf("since %d: %q", seen, got)
	}
	if got := since(0); got != "b2 false c3 false " {
		t.Fatalf("since the start: %q", got)
	}
}

func TestNodeRegistry(t *testing.T) {
	registry := NewNodeRegistry(&RevisionCounter{}, NodeTimeouts{Absent: time.Second, Expired: 5 * time.Second})
	registry.Heartbeat(0, rpc.Node{ID: "a"})
	registry.Heartbeat(0, rpc.Node{ID: "b"})
	registry.Heartbeat(2*time.Second, rpc.Node{ID: "b"})
	registry.Tick(2 * time.Second)
	if len(registry.Absent()) != 1 || registry.Present("a") || len(registry.Members()) != 2 {
		t.Fatal("a silent node is absent and stays in the map for now")
	}
	registry.Heartbeat(2500*time.Millisecond, rpc.Node{ID: "b", Stopping: true})
	if len(registry.Members()) != 1 || len(registry.Absent()) != 2 {
		t.Fatal("a stopping node leaves the map and is absent at once")
	}
	registry.Tick(6 * time.Second)
	if len(registry.Members()) != 0 {
		t.Fatal("an expired node is removed")
	}
}

func TestEndpointList(t *testing.T) {
	list := NewEndpointList(&RevisionCounter{})
	endpoint := func(id string, draining bool) rpc.Endpoint {
		return rpc.Endpoint{ID: rpc.EndpointID(id), Service: "s", Address: "x:1", Draining: draining}
	}
	has := func(id string) bool { _, known := list.Endpoints.Get(rpc.EndpointID(id)); return known }
	walk := func(endpoints ...rpc.Endpoint) {
		list.ApplyPage(endpoints)
		list.FinishWalk(endpoints)
	}
	walk(endpoint("a", false), endpoint("b", false))
	list.ApplyPage([]rpc.Endpoint{endpoint("a", true)})
	if a, _ := list.Endpoints.Get("a"); !a.Draining || !has("b") {
		t.Fatal("what a page shows counts at once, what it lacks does not")
	}
	walk(endpoint("a", true))
	if !has("b") {
		t.Fatal("one walk without an endpoint does not remove it")
	}
	walk(endpoint("a", false))
	if a, _ := list.Endpoints.Get("a"); has("b") || !a.Draining {
		t.Fatal("two walks without it do; what drains does not come back")
	}
	walk()
	if has("a") {
		t.Fatal("a draining endpoint is removed by the first walk without it")
	}
}

func TestWalkIsCompleteOrFails(t *testing.T) {
	page := func(id, next string) string {
		return fmt.Sprintf(`{"instances":{"column_names":["service_name","address","zone","state","cold_remaining",`+
			`"instance_id","capacity_slots"],"row_values":[["s","1.2.3.4:5","a","ready","1500ms",%q,3]]},`+
			`"next_page_token":%s}`, id, next)
	}
	broken := false
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("page_token") {
		case "":
			_, _ = fmt.Fprint(w, page("i-1", `"p 2"`))
		case "p 2":
			if broken {
				w.WriteHeader(http.StatusTooManyRequests)
				return
			}
			_, _ = fmt.Fprint(w, page("i-2", "null"))
		}
	}))
	defer platform.Close()
	client := NewPlatformClient(strings.TrimPrefix(platform.URL, "http://"))
	shown := 0
	endpoints, pages, err := client.Walk(0, func(page []rpc.Endpoint) { shown += len(page) })
	if err != nil || pages != 2 || len(endpoints) != 2 || endpoints[1].ID != "i-2" ||
		endpoints[0].WarmupRemaining != 1500*time.Millisecond || endpoints[0].Slots != 3 {
		t.Fatal(endpoints, pages, err)
	}
	broken = true
	endpoints, _, err = client.Walk(0, func(page []rpc.Endpoint) { shown += len(page) })
	if err == nil || endpoints != nil {
		t.Fatal("a walk that failed gave something")
	}
	if shown != 3 {
		t.Fatalf("%d endpoints were shown by pages", shown)
	}
	for _, body := range []string{
		"", "{}", `{"instances":{"column_names":["a"],"row_values":[[1,2]]}}`, page("", "null"),
	} {
		if _, _, err = ParsePage([]byte(body)); !errors.Is(err, ErrInvalidPage) {
			t.Errorf("%q: %v", body, err)
		}
	}
}

// A page whose head is malformed is no page, and says nothing about endpoints.
func TestAMalformedPageIsNoPage(t *testing.T) {
	const body = `{"instances":{"column_names":["instance_id"],"row_values":[]},"next_page_token":null}`
	for head, good := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                   true,
		"HTTP/1.1 200 OK\r\nX-Other: 1\r\n":     true,
		"HTTP/1.1 200 OK\r\nX Other: 1\r\n":     false,
		"HTTP/1.1 200 OK\r\nX-Other : 1\r\n":    false,
		"HTTP/1.1 200 OK\r\nX\x01Other: 1\r\n":  false,
		"HTTP/1.1 200 OK\r\nX-Other\r\n":        false,
		"HTTP/1.1 200 OK\r\n\nX-Other: 1\r\n":   false,
		"HTTP/1.1 000 OK\r\n":                   false,
		"HTTP/1.1 200 OK\r\n\r\n{},":            false,
		"HTTP/1.1 200 OK\r\nContent-Length: +9": false,
	} {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if err := malformed.Send(w, head+"Connection: close\r\n\r\n"+body); err != nil {
				t.Error(err)
			}
		}))
		client := NewPlatformClient(strings.TrimPrefix(platform.URL, "http://"))
		if _, _, err := client.Walk(0, func([]rpc.Endpoint) {}); good != (err == nil) {
			t.Errorf("%q: %v", head, err)
		}
		platform.Close()
	}
}
