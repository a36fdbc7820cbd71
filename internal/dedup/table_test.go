package dedup

import (
	"fmt"
	"testing"
)

// A record keeps the first content of a number, drops the oldest, and is the
// same after it was written out and read back.

func TestARecordKeepsTheFirstAndDropsTheOldest(t *testing.T) {
	record := New(3)
	number := func(i int) Key { return Key{"routes", fmt.Sprint("r", i), uint64(i)} }
	for i := range 5 {
		record.Remember(number(i), DigestJSON([]byte(fmt.Sprint(i))))
		record.Remember(number(i), DigestJSON([]byte(`"other"`)))
	}
	again, err := Restore(3, record.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	for _, held := range []*Table{record, again} {
		if held.Len() != 3 || held.Evicted() != 2 {
			t.Fatalf("%d held, %d dropped", held.Len(), held.Evicted())
		}
		for i := range 5 {
			content, known := held.Lookup(number(i))
			if known != (i >= 2) || known && content != DigestJSON([]byte(fmt.Sprint(i))) {
				t.Errorf("order %d: known %v", i, known)
			}
		}
	}
	if _, err = Restore(3, Snapshot{Entries: make([]byte, entryBytes+1)}); err == nil {
		t.Error("a cut record was read")
	}
}
