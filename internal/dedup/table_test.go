package dedup

import (
	"fmt"
	"testing"
)

// A table keeps the first content of a key, evicts the oldest entry, and is the same
// after it was stored and restored.
func TestATableKeepsTheFirstAndEvictsTheOldest(t *testing.T) {
	table := New(3)
	key := func(i int) Key { return Key{"routes", fmt.Sprint("r", i), uint64(i)} }
	for i := range 5 {
		table.Remember(key(i), DigestJSON([]byte(fmt.Sprint(i))))
		table.Remember(key(i), DigestJSON([]byte(`"other"`)))
	}
	restored, err := Restore(3, table.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for _, held := range []*Table{table, restored} {
		if held.Len() != 3 || held.Evicted() != 2 {
			t.Fatalf("%d held, %d evicted", held.Len(), held.Evicted())
		}
		for i := range 5 {
			content, known := held.Lookup(key(i))
			if known != (i >= 2) || known && content != DigestJSON([]byte(fmt.Sprint(i))) {
				t.Errorf("request %d: known %v", i, known)
			}
		}
	}
	if _, err = Restore(3, Snapshot{Entries: make([]byte, entryBytes+1)}); err == nil {
		t.Error("a truncated table was read")
	}
}
