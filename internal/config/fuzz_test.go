// Whatever is sent: a refused call changes nothing, the same call is confirmed
// twice and takes effect once, replicas that apply the same calls, one of them
// from a snapshot, describe the same, and what is described can be sent.
package config

import (
	"testing"

	"tinpin/internal/dedup"
)

func copied(t *testing.T, c *Store) (again *Store) {
	t.Helper()
	again = New()
	again.SetColumns(c.Columns())
	if err := again.Restore(c.Items()); err != nil {
		t.Fatal(err)
	}
	var err error
	if again.Superseded, err = dedup.Restore(MaxSuperseded, c.Superseded.Snapshot()); err != nil {
		t.Fatal(err)
	}
	return again
}

func FuzzCalls(f *testing.F) {
	for _, call := range []string{
		firstCall, at("5"), at("0"), at("1.5"), at("18446744073709551615"), `{}`, `[]`, `{"upserts":null,"removals":{}}`,
		route("r1", "a.example", "/nine/", "idempotent", "1s", "1s", "s1", "9"), route("r1", "a.example", "/x/", "idempotent", "1s", "1s", "s1", "7"),
		`{"removals":{"routes":[{"name":"r1","version":12},{"name":"r2","version":12}],"services":[{"name":"s1","version":12}]}}`,
		`{"upserts":{"limits":{"version":9,"x":[1e5,{"a":null}]}},"removals":{"limits":[{"name":"","version":8}]}}`,
		`{"upserts":{"tenants":{"column_names":["name","hostnames","rate","version"],"row_values":[["t1",["a.example"],5,1]]}}}`,
	} {
		f.Add([]byte(call), []byte(at("5")))
		f.Add([]byte(at("5")), []byte(call))
	}
	f.Fuzz(func(t *testing.T, one, other []byte) {
		c := set(t)
		for i, call := range [][]byte{one, other, one, other} {
			replica := copied(t, c)
			before, noted := string(c.EncodeUpserts()), c.Superseded.Len()
			err := c.update(call, uint64(i+2))
			after := string(c.EncodeUpserts())
			if err != nil && (after != before || c.Superseded.Len() != noted) {
				t.Fatalf("refused with %v, and changed", err)
			}
			// What was not let in never comes to a replica.
			if _, readErr := ParseUpdate(call); readErr != nil {
				continue
			}
			if replicaErr := replica.Apply(call, uint64(i+2)); (replicaErr == nil) != (err == nil) || string(replica.EncodeUpserts()) != after || string(replica.Superseded.Snapshot().Entries) != string(c.Superseded.Snapshot().Entries) {
				t.Fatalf("replicas part: %v, %v", err, replicaErr)
			}
			if err != nil {
				continue
			}
			noted = c.Superseded.Len()
			if err = c.update(call, uint64(i+20)); err != nil || string(c.EncodeUpserts()) != after || c.Superseded.Len() != noted {
				t.Fatalf("sent again: %v", err)
			}
			if err = New().Apply([]byte(`{"upserts":`+after+`}`), 1); err != nil {
				t.Fatalf("what stands cannot be sent: %v", err)
			}
		}
	})
}
