package accord

import (
	"testing"
	"time"
)

// What nobody waits for any more is not put before the cores: this node has none
// to put it before.
func TestAWishThatNobodyWaitsForIsDropped(t *testing.T) {
	node := &Node{wishes: make(chan wish, 4)}
	answers := node.Wishes([]Command{{Kind: CommandClaim}, {Kind: CommandClaim}}, 0)
	for _, answer := range answers {
		if answer.Clear || answer.Refused {
			t.Fatalf("%+v before anybody looked at it", answer)
		}
	}
	first := <-node.wishes
	for !time.Now().After(first.stale) {
	}
	node.propose(first)
	if answer := <-first.done; !answer.Refused {
		t.Fatalf("%+v", answer)
	}
	if len(node.wishes) != 0 {
		t.Fatal("one is left")
	}
}
