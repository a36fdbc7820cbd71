package config

import (
	"testing"

	"tinpin/internal/dedup"
)

// replicaOf restores a store from a snapshot of another.
func replicaOf(t *testing.T, store *Store) (replica *Store) {
	t.Helper()
	replica = New()
	replica.SetColumns(store.Columns())
	if err := replica.Restore(store.Items()); err != nil {
		t.Fatal(err)
	}
	var err error
	if replica.Superseded, err = dedup.Restore(MaxSuperseded, store.Superseded.Snapshot()); err != nil {
		t.Fatal(err)
	}
	return replica
}

// Whatever is sent: a rejected update changes nothing; an accepted one is accepted
// again and takes effect once; replicas that apply the same updates, one of them from
// a snapshot, describe the same; and what is described can be sent.
func FuzzUpdates(f *testing.F) {
	for _, call := range []string{
		firstUpdate, serviceAt("5"), serviceAt("0"), serviceAt("1.5"), serviceAt("18446744073709551615"), `{}`, `[]`,
		`{"upserts":null,"removals":{}}`,
		route("r1", "a.example", "/nine/", "idempotent", "1s", "1s", "s1", "9"),
		route("r1", "a.example", "/x/", "idempotent", "1s", "1s", "s1", "7"),
		`{"removals":{"routes":[{"name":"r1","version":12},{"name":"r2","version":12}],` +
			`"services":[{"name":"s1","version":12}]}}`,
		`{"upserts":{"limits":{"version":9,"x":[1e5,{"a":null}]}},"removals":{"limits":[{"name":"","version":8}]}}`,
		`{"upserts":{"tenants":{"column_names":["name","hostnames","rate","version"],` +
			`"row_values":[["t1",["a.example"],5,1]]}}}`,
	} {
		f.Add([]byte(call), []byte(serviceAt("5")))
		f.Add([]byte(serviceAt("5")), []byte(call))
	}
	f.Fuzz(func(t *testing.T, one, other []byte) {
		store := newStore(t)
		for i, call := range [][]byte{one, other, one, other} {
			replica := replicaOf(t, store)
			before, remembered := string(store.EncodeUpserts()), store.Superseded.Len()
			err := store.update(call, uint64(i+2))
			after := string(store.EncodeUpserts())
			if err != nil && (after != before || store.Superseded.Len() != remembered) {
				t.Fatalf("rejected with %v, and changed", err)
			}
			// An update that cannot be read is not proposed, so no replica gets it.
			if _, readErr := ParseUpdate(call); readErr != nil {
				continue
			}
			replicaErr := replica.Apply(call, uint64(i+2))
			sameRecord := string(replica.Superseded.Snapshot().Entries) == string(store.Superseded.Snapshot().Entries)
			if (replicaErr == nil) != (err == nil) || string(replica.EncodeUpserts()) != after || !sameRecord {
				t.Fatalf("replicas differ: %v, %v", err, replicaErr)
			}
			if err != nil {
				continue
			}
			remembered = store.Superseded.Len()
			err = store.update(call, uint64(i+20))
			if err != nil || string(store.EncodeUpserts()) != after || store.Superseded.Len() != remembered {
				t.Fatalf("sent again: %v", err)
			}
			if err = New().Apply([]byte(`{"upserts":`+after+`}`), 1); err != nil {
				t.Fatalf("the configuration in force cannot be sent: %v", err)
			}
		}
	})
}
