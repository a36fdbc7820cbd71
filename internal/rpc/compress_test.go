package rpc

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tinpin/internal/config"
)

func TestDecompressedRowsEqualTheOriginal(t *testing.T) {
	var items []config.Item
	size := 0
	for i := range 500 {
		item := config.Item{
			Set:     config.Routes,
			Name:    fmt.Sprint("r-", i),
			Version: config.Version(i),
			Rev:     7,
			Dropped: i%9 == 0,
		}
		for _, field := range []string{"hostname", "path_prefix", "route_type", "timeout"} {
			item.Fields = append(item.Fields, config.Field{Name: field, JSON: fmt.Sprintf("%q", fmt.Sprint(field, i))})
			size += len(field) + 20
		}
		items = append(items, item)
	}
	packed, err := Compress(items)
	if err != nil {
		t.Fatal(err)
	}
	if len(packed) > size/3 {
		t.Errorf("%d bytes were packed into %d", size, len(packed))
	}
	back, err := DecompressItems(packed)
	if diff := cmp.Diff(items, back); err != nil || diff != "" {
		t.Fatal(err, diff)
	}
	if _, err = DecompressItems(packed[:len(packed)/2]); err == nil {
		t.Error("half a part was taken")
	}
}
