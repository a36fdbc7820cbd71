package statemachine

import (
	"fmt"
	"testing"

	"tinpin/internal/policy"
)

// Whatever is sent as a document: a rejected one changes nothing, and an accepted one is
// accepted again after another one and a snapshot, and changes nothing.
func FuzzDocuments(f *testing.F) {
	f.Add(uint8(0), drainPolicyCommand(5, "pay", "1s").Body)
	f.Add(uint8(0), []byte(`{"Version":5,"version":6,"rules":[{"service":"*","notice":"1s","finish":"5s","keyed":"deadline","least_share":0}],"lost_touch":"2s","cut_off":"stop"}`))
	f.Add(uint8(1), []byte(`{"version":1,"step":1,"every":"1s","room":1,"targets":[{"host":"shop.example","time_zone":"UTC","spans":[{"from":"00:00","to":"24:00","weights":{"coast":1},"ramp":"0s"}]}]}`))
	f.Add(uint8(2), []byte(`{"version":1,"rules":[{"service":"pay","ratio":0.5,"least_per_s":0,"window":"10s"}]}`))
	f.Add(uint8(3), []byte(`{"version":18446744073709551615}`))
	f.Fuzz(func(t *testing.T, pick uint8, body []byte) {
		kind := policy.Kinds[int(pick)%len(policy.Kinds)]
		state := NewState()
		state.Apply(1, Command{Kind: CommandConfig, Body: []byte(services)}, 0)
		inForce := func() (text string) { return fmt.Sprint(state.Documents[kind].Summary(), state.Documents[kind].Body) }
		command := Command{Kind: CommandDocument, Subject: string(kind), Body: body}
		before := inForce()
		if len(body) == 0 {
			return
		}
		if result := state.Apply(2, command, 0); result.Err != nil {
			if inForce() != before {
				t.Fatalf("rejected with %s, and changed", result.Err)
			}
			return
		}
		version := uint64(state.Documents[kind].Version)
		if version+1 > version {
			state.Apply(3, Command{Kind: CommandDocument, Subject: string(kind), Number: version + 1}, 0)
		}
		state = restored(t, state)
		after := inForce()
		if result := state.Apply(4, command, 0); result.Err != nil || inForce() != after {
			t.Fatalf("version %d sent again: %q", version, result.Err)
		}
	})
}
