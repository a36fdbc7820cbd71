package controller

import (
	"encoding/json"
	"reflect"
	"testing"

	"tinpin/internal/coordinator"
)

// The status of a controller of the earlier release is read like today's.
func TestStatusOfTheEarlierReleaseIsRead(t *testing.T) {
	earlier := `{"role":"accord","name":"core-1","id":"x","leads":true,"settled":true,
"contact":true,"term":7,"leader":"c:1",
"members":null,"rev":40,"claims":2,"orders_remembered":3,"overtaken_remembered":4,"orders_forgotten":5,
"bytes_in":6,"bytes_out":8,
"forum":{"fellows":[{"name":"edge-1","site":"a","inner":"e:2","ready":true,"here":true}],
"map_count":9,"map_members":["edge-1"],
"owners":{"s":"edge-1"},"backends":2,"backends_down":1,"lent":[{"bound":"retry slack","lent":0.5}]}}`
	want := Status{
		Role: "controller", Name: "core-1", ID: "x", IsLeader: true, Settled: true, InContact: true, Term: 7,
		Leader: "c:1", Revision: 40, Claims: 2, AcceptedRequests: 3, SupersededVersions: 4, EvictedRequests: 5,
		BytesIn: 6, BytesOut: 8,
		Coordinator: &coordinator.Status{
			Nodes: []coordinator.NodeStatus{
				{Name: "edge-1", Zone: "a", InternalAddress: "e:2", Ready: true, Connected: true},
			},
			ShardMapVersion: 9, ShardMapMembers: []string{"edge-1"}, Owners: map[string]string{"s": "edge-1"},
			Backends: 2, Down: 1, Granted: []coordinator.GrantStatus{{Limit: "retry slack", Granted: 0.5}},
		},
	}
	today, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{earlier, string(today)} {
		var got Status
		if err := json.Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %v", got, err)
		}
	}
}
