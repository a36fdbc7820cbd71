package registry

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tinpin/internal/rpc"
)

func TestLedgerTellsOnlyWhatCameAfter(t *testing.T) {
	clock := &RevisionCounter{}
	ledger := NewChangeLog[string, int](clock)
	since := func(epoch rpc.Revision) (told string) {
		for _, key := range []string{"a", "b", "c"} {
			ledger.Since(epoch, func(k string, value int, gone bool) {
				if k == key {
					told += fmt.Sprint(k, value, gone, " ")
				}
			})
		}
		return told
	}
	ledger.Set("a", 1)
	ledger.Set("b", 2)
	seen := clock.Current()
	if ledger.Set("a", 1) || clock.Current() != seen {
		t.Fatal("the same value is no change")
	}
	ledger.Set("c", 3)
	ledger.Remove("a")
	if got := since(seen); got != "a1 true c3 false " {
		t.Fatalf("since %d: %q", seen, got)
	}
	if got := since(0); got != "b2 false c3 false " {
		t.Fatalf("to a newcomer: %q", got)
	}
}

func TestRoll(t *testing.T) {
	roll := NewNodeRegistry(&RevisionCounter{}, NodeTimeouts{Absent: time.Second, Expired: 5 * time.Second})
	roll.Heartbeat(0, rpc.Node{ID: "a"})
	roll.Heartbeat(0, rpc.Node{ID: "b"})
	roll.Heartbeat(2*time.Second, rpc.Node{ID: "b"})
	roll.Tick(2 * time.Second)
	if len(roll.Absent()) != 1 || roll.Present("a") || len(roll.Members()) != 2 {
		t.Fatal("a silent fellow is absent and stays in the map for now")
	}
	roll.Heartbeat(2500*time.Millisecond, rpc.Node{ID: "b", Stopping: true})
	if len(roll.Members()) != 1 || len(roll.Absent()) != 2 {
		t.Fatal("a stopping fellow leaves the map and is told absent at once")
	}
	roll.Tick(6 * time.Second)
	if len(roll.Members()) != 0 {
		t.Fatal("a long silent fellow is struck off")
	}
}

func TestList(t *testing.T) {
	list := NewEndpointList(&RevisionCounter{})
	server := func(id string, draining bool) rpc.Endpoint {
		return rpc.Endpoint{ID: rpc.EndpointID(id), Service: "s", Address: "x:1", Draining: draining}
	}
	has := func(id string) bool { _, known := list.Endpoints.Get(rpc.EndpointID(id)); return known }
	walk := func(servers ...rpc.Endpoint) {
		list.ApplyPage(servers)
		list.FinishWalk(servers)
	}
	walk(server("a", false), server("b", false))
	list.ApplyPage([]rpc.Endpoint{server("a", true)})
	if a, _ := list.Endpoints.Get("a"); !a.Draining || !has("b") {
		t.Fatal("what a page shows counts at once, what it does not show is nothing")
	}
	walk(server("a", true))
	if !has("b") {
		t.Fatal("one walk without an entry is not its end")
	}
	walk(server("a", false))
	if a, _ := list.Endpoints.Get("a"); has("b") || !a.Draining {
		t.Fatal("two walks without it are; what drains does not come back")
	}
	walk()
	if has("a") {
		t.Fatal("a draining entry is gone with the first walk without it")
	}
}

func TestWalkIsWholeOrNothing(t *testing.T) {
	page := func(id, next string) string {
		return fmt.Sprintf(`{"instances":{"column_names":["service_name","address","zone","state","cold_remaining","instance_id","capacity_slots"],"row_values":[["s","1.2.3.4:5","a","ready","1500ms",%q,3]]},"next_page_token":%s}`, id, next)
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
	caller := NewPlatformClient(strings.TrimPrefix(platform.URL, "http://"))
	shown := 0
	servers, pages, err := caller.Walk(0, func(page []rpc.Endpoint) { shown += len(page) })
	if err != nil || pages != 2 || len(servers) != 2 || servers[1].ID != "i-2" || servers[0].WarmupRemaining != 1500*time.Millisecond || servers[0].Slots != 3 {
		t.Fatal(servers, pages, err)
	}
	broken = true
	if servers, _, err = caller.Walk(0, func(page []rpc.Endpoint) { shown += len(page) }); err == nil || servers != nil {
		t.Fatal("a walk that broke off gave something")
	}
	if shown != 3 {
		t.Fatalf("%d entries were shown by pages", shown)
	}
	for _, body := range []string{"", "{}", `{"instances":{"column_names":["a"],"row_values":[[1,2]]}}`, page("", "null")} {
		if _, _, err = ParsePage([]byte(body)); err == nil {
			t.Errorf("%q was read", body)
		}
	}
}
