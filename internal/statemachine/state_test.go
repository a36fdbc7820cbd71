package statemachine

import (
	"testing"
	"time"
)

func TestCommandsAreDecodedAsEncoded(t *testing.T) {
	commands := []Command{{Kind: CommandClaim, Claim: Claim{"k", "r", "h", 9}}, {Kind: CommandConfig, Body: []byte("{}")}, {Kind: CommandExpireClaims, Number: 77}}
	read, err := DecodeCommands(EncodeCommands(commands))
	if err != nil || len(read) != 3 || read[0].Claim != commands[0].Claim || string(read[1].Body) != "{}" || read[2].Number != 77 {
		t.Fatalf("read back %v, %v", read, err)
	}
	data := EncodeCommands(commands)
	for cut := 1; cut < len(data); cut++ {
		if _, err = DecodeCommands(data[:cut]); err == nil {
			t.Fatalf("an entry cut at %d was read", cut)
		}
	}
}

func TestAKeyIsGrantedToItsFirstRequest(t *testing.T) {
	state := NewState()
	claim := func(key, request string, at time.Duration) Result {
		return state.Apply(1, Command{Kind: CommandClaim, Claim: Claim{Key: key, Request: request, Holder: "h", Incarnation: 1}}, at)
	}
	if !claim("a", "r1", 0).Granted || claim("a", "r2", time.Second).Granted || !claim("a", "r1", time.Second).Granted {
		t.Fatal("a key is granted to its first request alone, however often that asks")
	}
	state.Apply(2, Command{Kind: CommandReleaseClaim, Claim: Claim{Key: "a", Request: "r2", Holder: "h", Incarnation: 1}}, 0)
	if claim("a", "r3", 0).Granted {
		t.Fatal("only its own holder may free a key")
	}
	state.Apply(3, Command{Kind: CommandReleaseClaim, Claim: Claim{Key: "a", Request: "r1", Holder: "h", Incarnation: 1}}, 0)
	if !claim("a", "r3", 5*time.Second).Granted {
		t.Fatal("a freed key can be claimed")
	}
	claim("b", "r4", 50*time.Second)
	if upto := state.ExpiredClaims(64*time.Second, 60*time.Second); upto == 0 {
		t.Fatal("the freed claim is past the window")
	} else {
		state.Apply(4, Command{Kind: CommandExpireClaims, Number: upto}, 0)
	}
	if claim("a", "r5", 0).Granted {
		t.Fatal("the claim of r3 is not yet past the window")
	}
	data, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(data, 100*time.Second)
	if err != nil || restored.ClaimCount() != 2 {
		t.Fatalf("restored %d claims, %v", restored.ClaimCount(), err)
	}
	if restored.ExpiredClaims(159*time.Second, 60*time.Second) != 0 || restored.ExpiredClaims(161*time.Second, 60*time.Second) == 0 {
		t.Fatal("after a restart ages count from the restart")
	}
}

func FuzzCommands(f *testing.F) {
	f.Add(EncodeCommands([]Command{{Kind: CommandClaim, Claim: Claim{"k", "r", "h", 9}}, {Kind: CommandConfig, Body: []byte("{}")}, {Kind: CommandExpireClaims, Number: 77}}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		commands, err := DecodeCommands(data)
		if err != nil {
			return
		}
		again, err := DecodeCommands(EncodeCommands(commands))
		if err != nil || len(again) != len(commands) {
			t.Fatalf("%d commands came back as %d, %v", len(commands), len(again), err)
		}
	})
}
