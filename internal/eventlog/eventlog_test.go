package eventlog

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

func TestEveryNumberHasItsOwnEntry(t *testing.T) {
	texts := map[string]Event{}
	for event := Started; event <= SignalIgnored; event++ {
		entry, found := Catalogue[event]
		if !found || entry.Text == "" {
			t.Errorf("event %d has no text", event)
		}
		if other, used := texts[entry.Text]; used {
			t.Errorf("events %d and %d have the same text", other, event)
		}
		texts[entry.Text] = event
	}
	if len(Catalogue) != int(MembershipWaits-Started)+1 {
		t.Errorf("%d entries for %d numbers", len(Catalogue), MembershipWaits-Started+1)
	}
}

// A number stays with its event: what operators search for must not move.
func TestNumbersStay(t *testing.T) {
	for event, number := range map[Event]int{
		Started: 101, LeaderElected: 106, DiskWriteFailed: 110, NodeExpired: 113, ChangeObserved: 120,
		EjectionChanged: 122, IsolationChanged: 125, PeerMessageRejected: 131, RecordCorrupt: 132,
		OperatorRequestRejected: 133, DiskFull: 134, ClientsLeft: 135, MetricsNotServed: 136,
		ShutdownPhase: 137, SignalIgnored: 138,
	} {
		if int(event) != number {
			t.Errorf("%q is %d, must be %d", Catalogue[event].Text, event, number)
		}
	}
}

func TestEmitWritesNumberLevelTextAndFields(t *testing.T) {
	core, lines := observer.New(zapcore.DebugLevel)
	log := &Logger{zap: zap.New(core)}
	log.Emit(NodeExpired, KeyNode, "edge-1", KeyTerm, uint64(7))
	all := lines.All()
	if len(all) != 1 || all[0].Level != zapcore.WarnLevel || all[0].Message != "node expired" {
		t.Fatalf("%+v", all)
	}
	fields := all[0].ContextMap()
	if fields["event"] != int64(NodeExpired) || fields["node"] != "edge-1" || fields["term"] != uint64(7) {
		t.Fatalf("%v", fields)
	}
}
